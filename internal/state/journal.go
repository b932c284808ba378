package state

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	eventjournal "github.com/martenstage/martenstage/internal/journal"
)

// controlSource is the source of events that the machine records itself.
const controlSource = "control"

// journal keeps events of planned work and events of failures apart, each under
// bounds of its own, so that a day of changes and restarts can't push out what
// failed in the night.
type journal struct {
	failures eventLog
	routine  eventLog
	// arrivals counts the events that were ever added.
	arrivals uint64
	dropped  uint64
}

// eventBounds bound one log of events.
type eventBounds struct {
	events int
	bytes  int
}

func newJournal() journal {
	return journal{failures: newEventLog(), routine: newEventLog()}
}

// append adds an event unless it was added before, or counts it into an equal
// one.
func (j *journal) append(event *v1.Event, limits Limits) {
	log := j.logOf(event.GetKind())
	if _, duplicate := log.known[event.GetId()]; duplicate {
		return
	}
	if !log.join(event) {
		j.insert(event, limits)
	}
}

// insert adds an event as it is.
func (j *journal) insert(event *v1.Event, limits Limits) {
	bounds := eventBounds{events: limits.Events, bytes: limits.EventBytes}
	if eventjournal.Kind(event.GetKind()).Routine() {
		bounds = eventBounds{events: limits.RoutineEvents, bytes: limits.RoutineEventBytes}
	}
	j.arrivals++
	j.dropped += j.logOf(event.GetKind()).insert(event, j.arrivals, bounds)
}

// repeat counts a repetition into a recent event; see eventLog.repeat.
func (j *journal) repeat(now time.Time, source, kind, detailPrefix string) bool {
	return j.logOf(kind).repeat(now, source, kind, detailPrefix)
}

func (j *journal) logOf(kind string) *eventLog {
	if eventjournal.Kind(kind).Routine() {
		return &j.routine
	}
	return &j.failures
}

// all returns the events in their order of arrival.
func (j *journal) all() []*v1.Event {
	return j.newest(EventFilter{Limit: len(j.failures.events) + len(j.routine.events)})
}

// newest returns the last events that a filter selects, in their order of
// arrival.
func (j *journal) newest(filter EventFilter) []*v1.Event {
	selected := append(j.failures.newest(filter), j.routine.newest(filter)...)
	slices.SortFunc(selected, func(one, other arrivedEvent) int { return cmp.Compare(one.arrival, other.arrival) })
	selected = selected[max(0, len(selected)-filter.Limit):]
	events := make([]*v1.Event, len(selected))
	for index := range selected {
		events[index] = selected[index].event
	}
	return events
}

// record appends an event of the machine itself.
func (m *Machine) record(id string, kind eventjournal.Kind, address, detail string) {
	now := timestamppb.New(m.Now())
	m.journal.append(&v1.Event{
		Id:       controlSource + "/" + id,
		Time:     now,
		Kind:     string(kind),
		Source:   controlSource,
		Address:  address,
		Detail:   detail,
		Count:    1,
		LastTime: now,
	}, m.limits)
}

// EventFilter selects events of the journal.
type EventFilter struct {
	// Since selects events that happened, or happened again, at that time or
	// later; the zero time selects all.
	Since time.Time
	// Service selects one service's events; empty selects all.
	Service string
	// Limit keeps the newest ones.
	Limit int
}

// Events returns the selected events in order of arrival. The caller must not
// change them.
func (m *Machine) Events(filter EventFilter) []*v1.Event { return m.journal.newest(filter) }

func (f EventFilter) matches(event *v1.Event) bool {
	if f.Service != "" && event.GetService() != f.Service {
		return false
	}
	return f.Since.IsZero() || !lastTimeOf(event).Before(f.Since)
}

// EventsDropped returns how many events were dropped because of the bounds.
func (m *Machine) EventsDropped() uint64 { return m.journal.dropped }
