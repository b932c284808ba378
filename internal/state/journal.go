package state

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	eventjournal "github.com/martenstage/martenstage/internal/journal"
)

// controlSource is the source of events that the machine records itself.
const controlSource = "control"

// journal holds the newest events, oldest first.
type journal struct {
	events  []*v1.Event
	sizes   []int
	bytes   int
	known   map[string]struct{}
	dropped uint64
}

func newJournal() journal { return journal{known: map[string]struct{}{}} }

// append adds an event unless one with its id is there.
func (j *journal) append(event *v1.Event, limits Limits) {
	if _, duplicate := j.known[event.GetId()]; duplicate {
		return
	}
	size := proto.Size(event)
	j.known[event.GetId()] = struct{}{}
	j.events = append(j.events, event)
	j.sizes = append(j.sizes, size)
	j.bytes += size
	for len(j.events) > limits.Events || (j.bytes > limits.EventBytes && len(j.events) > 1) {
		j.dropOldest()
	}
}

// Bounds of the search for an event that a repetition counts into.
const (
	repeatWindow = time.Minute
	repeatSearch = 64
)

// repeat counts a repetition into an event of the last minute, found by its
// source, kind and the beginning of its detail, and reports whether there is
// one. A program that submits refused changes in a loop must not push a
// night's events out of the journal.
func (j *journal) repeat(now time.Time, source, kind, detailPrefix string) bool {
	for index := len(j.events) - 1; index >= max(0, len(j.events)-repeatSearch); index-- {
		event := j.events[index]
		if event.GetSource() != source || event.GetKind() != kind || !strings.HasPrefix(event.GetDetail(), detailPrefix) {
			continue
		}
		if now.Sub(event.GetTime().AsTime()) >= repeatWindow {
			return false
		}
		// Readers hold the event that is in the list.
		counted := proto.Clone(event).(*v1.Event)
		counted.Count++
		counted.LastTime = timestamppb.New(now)
		size := proto.Size(counted)
		j.bytes += size - j.sizes[index]
		j.events[index], j.sizes[index] = counted, size
		return true
	}
	return false
}

func (j *journal) dropOldest() {
	delete(j.known, j.events[0].GetId())
	j.bytes -= j.sizes[0]
	j.events[0] = nil
	j.events, j.sizes = j.events[1:], j.sizes[1:]
	j.dropped++
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
func (m *Machine) Events(filter EventFilter) []*v1.Event {
	var selected []*v1.Event
	for index := len(m.journal.events) - 1; index >= 0 && len(selected) < filter.Limit; index-- {
		if filter.matches(m.journal.events[index]) {
			selected = append(selected, m.journal.events[index])
		}
	}
	for left, right := 0, len(selected)-1; left < right; left, right = left+1, right-1 {
		selected[left], selected[right] = selected[right], selected[left]
	}
	return selected
}

func (f EventFilter) matches(event *v1.Event) bool {
	if f.Service != "" && event.GetService() != f.Service {
		return false
	}
	last := event.GetTime()
	if event.GetLastTime() != nil {
		last = event.GetLastTime()
	}
	return f.Since.IsZero() || !last.AsTime().Before(f.Since)
}

// EventsDropped returns how many events were dropped because of the bounds.
func (m *Machine) EventsDropped() uint64 { return m.journal.dropped }
