package state

import (
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	eventjournal "github.com/martenstage/martenstage/internal/journal"
)

// joinGap is the longest time between an event and an equal one of the same
// source that is counted into it. A failure that goes on all night is one event
// per witness and subject; after a quiet time it is told anew.
const joinGap = 5 * time.Minute

// eventLog holds the newest events of one class, oldest first.
type eventLog struct {
	events []*v1.Event
	// arrivals are the numbers of the events in their order of arrival in the
	// whole journal.
	arrivals []uint64
	sizes    []int
	bytes    int
	known    map[string]struct{}
	// latest is the number, counted from the first event ever held, of the
	// latest event of each sameness.
	latest  map[eventjournal.Sameness]uint64
	removed uint64
}

func newEventLog() eventLog {
	return eventLog{known: map[string]struct{}{}, latest: map[eventjournal.Sameness]uint64{}}
}

// insert adds an event as it is and returns how many it pushed out.
func (l *eventLog) insert(event *v1.Event, arrival uint64, bounds eventBounds) (dropped uint64) {
	size := proto.Size(event)
	l.known[event.GetId()] = struct{}{}
	if _, numbered := numberOf(event.GetId()); numbered {
		l.latest[eventjournal.SamenessOf(event)] = l.removed + uint64(len(l.events))
	}
	l.events = append(l.events, event)
	l.arrivals = append(l.arrivals, arrival)
	l.sizes = append(l.sizes, size)
	l.bytes += size
	for len(l.events) > bounds.events || (l.bytes > bounds.bytes && len(l.events) > 1) {
		l.dropOldest()
		dropped++
	}
	return dropped
}

// join counts an event into an equal one that is not long over, and reports
// whether there is one. Sources number their events and send them in order, so
// one whose number is not above the last that was counted is a repeated
// delivery. Events that are named otherwise stay apart.
func (l *eventLog) join(event *v1.Event) bool {
	number, numbered := numberOf(event.GetId())
	position, found := l.latest[eventjournal.SamenessOf(event)]
	if !numbered || !found {
		return false
	}
	index := position - l.removed
	earlier := l.events[index]
	last, _ := numberOf(lo.CoalesceOrEmpty(earlier.GetLastId(), earlier.GetId()))
	if number.run == last.run && number.sequence <= last.sequence {
		return true
	}
	if event.GetTime().AsTime().Sub(lastTimeOf(earlier)) >= joinGap {
		return false
	}
	// Readers hold the event that is in the list.
	joined := proto.Clone(earlier).(*v1.Event)
	joined.Count = max(joined.GetCount(), 1) + max(event.GetCount(), 1)
	joined.LastId = event.GetId()
	if lastTimeOf(event).After(lastTimeOf(joined)) {
		joined.LastTime = timestamppb.New(lastTimeOf(event))
	}
	l.replace(int(index), joined)
	return true
}

func (l *eventLog) replace(index int, event *v1.Event) {
	size := proto.Size(event)
	l.bytes += size - l.sizes[index]
	l.events[index], l.sizes[index] = event, size
}

func lastTimeOf(event *v1.Event) time.Time {
	if event.GetLastTime() != nil {
		return event.GetLastTime().AsTime()
	}
	return event.GetTime().AsTime()
}

// eventNumber is an id that a source gave by counting.
type eventNumber struct {
	// run names the source and its start.
	run      string
	sequence uint64
}

// numberOf reads an id of the form SOURCE/BOOT/SEQUENCE.
func numberOf(id string) (number eventNumber, numbered bool) {
	cut := strings.LastIndexByte(id, '/')
	if cut < 0 {
		return eventNumber{}, false
	}
	run := id[:cut]
	boot := run[strings.LastIndexByte(run, '/')+1:]
	sequence, err := strconv.ParseUint(id[cut+1:], 10, 64)
	_, bootErr := strconv.ParseUint(boot, 10, 64)
	return eventNumber{run: run, sequence: sequence}, err == nil && bootErr == nil
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
func (l *eventLog) repeat(now time.Time, source, kind, detailPrefix string) bool {
	for index := len(l.events) - 1; index >= max(0, len(l.events)-repeatSearch); index-- {
		event := l.events[index]
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
		l.replace(index, counted)
		return true
	}
	return false
}

func (l *eventLog) dropOldest() {
	delete(l.known, l.events[0].GetId())
	if key := eventjournal.SamenessOf(l.events[0]); l.latest[key] == l.removed {
		delete(l.latest, key)
	}
	l.removed++
	l.bytes -= l.sizes[0]
	l.events[0] = nil
	l.events, l.arrivals, l.sizes = l.events[1:], l.arrivals[1:], l.sizes[1:]
}

// arrivedEvent is an event with its place in the order of arrival.
type arrivedEvent struct {
	event   *v1.Event
	arrival uint64
}

// newest returns the last events that a filter selects, newest first.
func (l *eventLog) newest(filter EventFilter) []arrivedEvent {
	var selected []arrivedEvent
	for index := len(l.events) - 1; index >= 0 && len(selected) < filter.Limit; index-- {
		if filter.matches(l.events[index]) {
			selected = append(selected, arrivedEvent{event: l.events[index], arrival: l.arrivals[index]})
		}
	}
	return selected
}
