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

// controlSource is the source of events that the machine records itself.
const controlSource = "control"

// joinGap is the longest time between an event and an equal one of the same
// source that is counted into it. A failure that goes on all night is one event
// per witness and subject; after a quiet time it is told anew.
const joinGap = 5 * time.Minute

// journal holds the newest events, oldest first.
type journal struct {
	events []*v1.Event
	sizes  []int
	bytes  int
	known  map[string]struct{}
	// latest is the number, counted from the first event ever held, of the
	// latest event of each sameness.
	latest  map[sameness]uint64
	removed uint64
	dropped uint64
}

// sameness is what equal events have in common.
type sameness struct {
	kind, source, service, shard, address, detail string
}

func samenessOf(event *v1.Event) sameness {
	return sameness{
		kind: event.GetKind(), source: event.GetSource(), service: event.GetService(),
		shard: event.GetShard(), address: event.GetAddress(), detail: event.GetDetail(),
	}
}

func newJournal() journal {
	return journal{known: map[string]struct{}{}, latest: map[sameness]uint64{}}
}

// append adds an event unless it was added before, or counts it into an equal
// one.
func (j *journal) append(event *v1.Event, limits Limits) {
	if _, duplicate := j.known[event.GetId()]; duplicate {
		return
	}
	if !j.join(event) {
		j.insert(event, limits)
	}
}

// insert adds an event as it is.
func (j *journal) insert(event *v1.Event, limits Limits) {
	size := proto.Size(event)
	j.known[event.GetId()] = struct{}{}
	if _, numbered := numberOf(event.GetId()); numbered {
		j.latest[samenessOf(event)] = j.removed + uint64(len(j.events))
	}
	j.events = append(j.events, event)
	j.sizes = append(j.sizes, size)
	j.bytes += size
	for len(j.events) > limits.Events || (j.bytes > limits.EventBytes && len(j.events) > 1) {
		j.dropOldest()
	}
}

// join counts an event into an equal one that is not long over, and reports
// whether there is one. Sources number their events and send them in order, so
// one whose number is not above the last that was counted is a repeated
// delivery. Events that are named otherwise stay apart.
func (j *journal) join(event *v1.Event) bool {
	number, numbered := numberOf(event.GetId())
	position, found := j.latest[samenessOf(event)]
	if !numbered || !found {
		return false
	}
	index := position - j.removed
	earlier := j.events[index]
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
	j.replace(int(index), joined)
	return true
}

func (j *journal) replace(index int, event *v1.Event) {
	size := proto.Size(event)
	j.bytes += size - j.sizes[index]
	j.events[index], j.sizes[index] = event, size
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
		j.replace(index, counted)
		return true
	}
	return false
}

func (j *journal) dropOldest() {
	delete(j.known, j.events[0].GetId())
	if key := samenessOf(j.events[0]); j.latest[key] == j.removed {
		delete(j.latest, key)
	}
	j.removed++
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
	return f.Since.IsZero() || !lastTimeOf(event).Before(f.Since)
}

// EventsDropped returns how many events were dropped because of the bounds.
func (m *Machine) EventsDropped() uint64 { return m.journal.dropped }
