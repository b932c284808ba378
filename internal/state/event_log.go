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

// maxMergeGap is the longest time between two equal events of the same source that
// are merged. A failure that lasts all night is one event per source and subject;
// if it recurs after a longer gap, it is a new event.
const maxMergeGap = 5 * time.Minute

// eventLog holds the newest events of one class, oldest first.
type eventLog struct {
	events []*v1.Event
	// arrivals holds the position of each event in the arrival order of the
	// journal, across all its logs.
	arrivals []uint64
	sizes    []int
	bytes    int
	ids      map[string]struct{}
	// latest maps each equality key to the position of its latest event, counted
	// from the first event that the log ever held.
	latest       map[eventjournal.EventKey]uint64
	removedCount uint64
}

func newEventLog() eventLog {
	return eventLog{ids: map[string]struct{}{}, latest: map[eventjournal.EventKey]uint64{}}
}

// insert adds an event without merging and returns how many old events it
// evicted.
func (l *eventLog) insert(event *v1.Event, arrival uint64, bounds eventBounds) (dropped uint64) {
	size := proto.Size(event)
	l.ids[event.GetId()] = struct{}{}
	if _, sequenced := parseSequencedID(event.GetId()); sequenced {
		l.latest[eventjournal.EventKeyOf(event)] = l.removedCount + uint64(len(l.events))
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

// merge adds the count of an event to an equal event within maxMergeGap, and
// reports whether the event needs no entry of its own. Sources number their events
// and send them in order, so an event whose number is not above the last merged
// one is a repeated delivery. Events with other ids are not merged.
func (l *eventLog) merge(event *v1.Event) bool {
	id, sequenced := parseSequencedID(event.GetId())
	position, found := l.latest[eventjournal.EventKeyOf(event)]
	if !sequenced || !found {
		return false
	}
	index := position - l.removedCount
	earlier := l.events[index]
	last, _ := parseSequencedID(lo.CoalesceOrEmpty(earlier.GetLastId(), earlier.GetId()))
	if id.incarnation == last.incarnation && id.sequence <= last.sequence {
		return true
	}
	if event.GetTime().AsTime().Sub(lastTimeOf(earlier)) >= maxMergeGap {
		return false
	}
	// Readers may hold the stored event, so it is replaced and not modified.
	merged := proto.Clone(earlier).(*v1.Event)
	merged.Count = max(merged.GetCount(), 1) + max(event.GetCount(), 1)
	merged.LastId = event.GetId()
	if lastTimeOf(event).After(lastTimeOf(merged)) {
		merged.LastTime = timestamppb.New(lastTimeOf(event))
	}
	l.replace(int(index), merged)
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

// sequencedID is an event id with a sequence number.
type sequencedID struct {
	// incarnation is the source with its boot number.
	incarnation string
	sequence    uint64
}

// parseSequencedID parses an id of the form SOURCE/BOOT/SEQUENCE.
func parseSequencedID(id string) (parsed sequencedID, ok bool) {
	cut := strings.LastIndexByte(id, '/')
	if cut < 0 {
		return sequencedID{}, false
	}
	incarnation := id[:cut]
	boot := incarnation[strings.LastIndexByte(incarnation, '/')+1:]
	sequence, err := strconv.ParseUint(id[cut+1:], 10, 64)
	_, bootErr := strconv.ParseUint(boot, 10, 64)
	return sequencedID{incarnation: incarnation, sequence: sequence}, err == nil && bootErr == nil
}

// Bounds of the search for an event that countRepeat adds to: its age, and the
// number of newest events searched.
const (
	repeatWindow      = time.Minute
	repeatSearchDepth = 64
)

// countRepeat increments the count of an event of the last minute that has the
// given source, kind and detail prefix, and reports whether there is one. It keeps
// a client that submits refused changes in a loop from evicting other events from
// the journal.
func (l *eventLog) countRepeat(now time.Time, source, kind, detailPrefix string) bool {
	for index := len(l.events) - 1; index >= max(0, len(l.events)-repeatSearchDepth); index-- {
		event := l.events[index]
		if event.GetSource() != source || event.GetKind() != kind || !strings.HasPrefix(event.GetDetail(), detailPrefix) {
			continue
		}
		if now.Sub(event.GetTime().AsTime()) >= repeatWindow {
			return false
		}
		// Readers may hold the stored event, so it is replaced and not modified.
		counted := proto.Clone(event).(*v1.Event)
		counted.Count++
		counted.LastTime = timestamppb.New(now)
		l.replace(index, counted)
		return true
	}
	return false
}

func (l *eventLog) dropOldest() {
	delete(l.ids, l.events[0].GetId())
	if key := eventjournal.EventKeyOf(l.events[0]); l.latest[key] == l.removedCount {
		delete(l.latest, key)
	}
	l.removedCount++
	l.bytes -= l.sizes[0]
	l.events[0] = nil
	l.events, l.arrivals, l.sizes = l.events[1:], l.arrivals[1:], l.sizes[1:]
}

// orderedEvent is an event with its position in the journal's arrival order.
type orderedEvent struct {
	event   *v1.Event
	arrival uint64
}

// newest returns up to filter.Limit of the latest events that match a filter,
// newest first.
func (l *eventLog) newest(filter EventFilter) []orderedEvent {
	var selected []orderedEvent
	for index := len(l.events) - 1; index >= 0 && len(selected) < filter.Limit; index-- {
		if filter.matches(l.events[index]) {
			selected = append(selected, orderedEvent{event: l.events[index], arrival: l.arrivals[index]})
		}
	}
	return selected
}
