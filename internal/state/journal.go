package state

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	eventjournal "github.com/martenstage/martenstage/internal/journal"
)

// controlSource is the source of the events that the machine itself records.
const controlSource = "control"

// journal keeps failure events and routine events in separate logs, each with its
// own bounds, so that many changes and restarts can't evict failure events.
type journal struct {
	failures eventLog
	routine  eventLog
	// arrivalCount is the number of events ever inserted.
	arrivalCount uint64
	dropped      uint64
}

// eventBounds limits the size of one eventLog.
type eventBounds struct {
	events int
	bytes  int
}

func newJournal() journal {
	return journal{failures: newEventLog(), routine: newEventLog()}
}

// append adds an event or merges it into an equal one. It ignores an event whose
// id is already in the journal.
func (j *journal) append(event *v1.Event, limits Limits) {
	log := j.logFor(event.GetKind())
	if _, duplicate := log.ids[event.GetId()]; duplicate {
		return
	}
	if !log.merge(event) {
		j.insert(event, limits)
	}
}

// insert adds an event without merging.
func (j *journal) insert(event *v1.Event, limits Limits) {
	bounds := eventBounds{events: limits.Events, bytes: limits.EventBytes}
	if eventjournal.Kind(event.GetKind()).Routine() {
		bounds = eventBounds{events: limits.RoutineEvents, bytes: limits.RoutineEventBytes}
	}
	j.arrivalCount++
	j.dropped += j.logFor(event.GetKind()).insert(event, j.arrivalCount, bounds)
}

// countRepeat increments the count of a recent event; see eventLog.countRepeat.
func (j *journal) countRepeat(now time.Time, source, kind, detailPrefix string) bool {
	return j.logFor(kind).countRepeat(now, source, kind, detailPrefix)
}

func (j *journal) logFor(kind string) *eventLog {
	if eventjournal.Kind(kind).Routine() {
		return &j.routine
	}
	return &j.failures
}

// all returns the events in order of arrival.
func (j *journal) all() []*v1.Event {
	return j.newest(EventFilter{Limit: len(j.failures.events) + len(j.routine.events)})
}

// newest returns up to filter.Limit of the latest events that match a filter, in
// order of arrival.
func (j *journal) newest(filter EventFilter) []*v1.Event {
	selected := append(j.failures.newest(filter), j.routine.newest(filter)...)
	slices.SortFunc(selected, func(one, other orderedEvent) int { return cmp.Compare(one.arrival, other.arrival) })
	selected = selected[max(0, len(selected)-filter.Limit):]
	events := make([]*v1.Event, len(selected))
	for index := range selected {
		events[index] = selected[index].event
	}
	return events
}

// record appends an event with controlSource as its source.
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
	// Since selects events that last occurred at that time or later; the zero time
	// selects all.
	Since time.Time
	// Service selects one service's events; empty selects all.
	Service string
	// Limit is the maximum number of events; the newest ones are selected.
	Limit int
}

// Events returns the selected events in order of arrival. The caller must not
// modify them.
func (m *Machine) Events(filter EventFilter) []*v1.Event { return m.journal.newest(filter) }

func (f EventFilter) matches(event *v1.Event) bool {
	if f.Service != "" && event.GetService() != f.Service {
		return false
	}
	return f.Since.IsZero() || !lastTimeOf(event).Before(f.Since)
}

// EventsDropped returns how many events were evicted because of the bounds.
func (m *Machine) EventsDropped() uint64 { return m.journal.dropped }
