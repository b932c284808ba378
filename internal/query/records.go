package query

import (
	"time"

	"github.com/martenstage/martenstage/internal/journal"
)

// maxEventKeys bounds the number of keys that the rate limit on events keeps.
const maxEventKeys = 4096

// eventKey identifies equal events for the rate limit.
type eventKey struct {
	kind                            journal.Kind
	service, shard, address, detail string
}

// eventLimiter passes the first of equal events at once and aggregates those that
// follow within an interval into one.
type eventLimiter struct {
	interval     time.Duration
	lastRecorded map[eventKey]time.Time
	aggregated   []journal.Event
}

func newEventLimiter(interval time.Duration) eventLimiter {
	return eventLimiter{interval: interval, lastRecorded: make(map[eventKey]time.Time)}
}

func keyOf(event journal.Event) eventKey {
	return eventKey{
		kind: event.Kind, service: event.Service, shard: event.Shard, address: event.Address, detail: event.Detail,
	}
}

// admit reports whether the event passes now; otherwise it is aggregated.
func (l *eventLimiter) admit(now time.Time, event journal.Event) bool {
	key := keyOf(event)
	recorded, known := l.lastRecorded[key]
	if !known || now.Sub(recorded) >= l.interval {
		l.prune(now)
		l.lastRecorded[key] = now
		return true
	}
	for index := range l.aggregated {
		if stored := &l.aggregated[index]; keyOf(*stored) == key {
			stored.Count++
			stored.LastTime = now
			return false
		}
	}
	l.aggregated = append(l.aggregated, event)
	return false
}

func (l *eventLimiter) prune(now time.Time) {
	if len(l.lastRecorded) < maxEventKeys {
		return
	}
	for key, recorded := range l.lastRecorded {
		if now.Sub(recorded) >= l.interval {
			delete(l.lastRecorded, key)
		}
	}
}

// nextFlush is when the first aggregated event is due; zero for none.
func (l *eventLimiter) nextFlush() time.Time {
	var next time.Time
	for index := range l.aggregated {
		due := l.lastRecorded[keyOf(l.aggregated[index])].Add(l.interval)
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// record writes an event to the journal, at a limited rate per eventKey.
func (e *Engine) record(event journal.Event) {
	event.Time, event.LastTime, event.Count = e.now, e.now, 1
	if e.events.admit(e.now, event) {
		e.emit(Record{Event: event})
	}
}

// flushEvents writes the aggregated events whose interval is over.
func (e *Engine) flushEvents() {
	kept := e.events.aggregated[:0]
	for _, event := range e.events.aggregated {
		key := keyOf(event)
		if e.now.Sub(e.events.lastRecorded[key]) < e.events.interval {
			kept = append(kept, event)
			continue
		}
		e.events.lastRecorded[key] = e.now
		e.emit(Record{Event: event})
	}
	e.events.aggregated = kept
}

// flushAllEvents writes all aggregated events without waiting for their intervals.
func (e *Engine) flushAllEvents() {
	for _, event := range e.events.aggregated {
		e.emit(Record{Event: event})
	}
	e.events.aggregated = nil
}
