package query

import (
	"time"

	"github.com/martenstage/martenstage/internal/journal"
)

// maxEventKeys bounds the memory for the limit on events.
const maxEventKeys = 4096

// eventKey tells events apart for the limit on their rate.
type eventKey struct {
	kind                            journal.Kind
	service, shard, address, detail string
}

// eventLimiter lets the first of equal events pass at once and folds those
// that follow within an interval into one.
type eventLimiter struct {
	interval time.Duration
	passed   map[eventKey]time.Time
	folded   []journal.Event
}

func newEventLimiter(interval time.Duration) eventLimiter {
	return eventLimiter{interval: interval, passed: make(map[eventKey]time.Time)}
}

func keyOf(event journal.Event) eventKey {
	return eventKey{
		kind: event.Kind, service: event.Service, shard: event.Shard, address: event.Address, detail: event.Detail,
	}
}

// admit reports whether the event passes now; otherwise it is folded.
func (l *eventLimiter) admit(now time.Time, event journal.Event) bool {
	key := keyOf(event)
	passed, known := l.passed[key]
	if !known || now.Sub(passed) >= l.interval {
		l.prune(now)
		l.passed[key] = now
		return true
	}
	for index := range l.folded {
		if folded := &l.folded[index]; keyOf(*folded) == key {
			folded.Count++
			folded.LastTime = now
			return false
		}
	}
	l.folded = append(l.folded, event)
	return false
}

func (l *eventLimiter) prune(now time.Time) {
	if len(l.passed) < maxEventKeys {
		return
	}
	for key, passed := range l.passed {
		if now.Sub(passed) >= l.interval {
			delete(l.passed, key)
		}
	}
}

// nextFlush is when the first folded event is due; zero for none.
func (l *eventLimiter) nextFlush() time.Time {
	var next time.Time
	for index := range l.folded {
		due := l.passed[keyOf(l.folded[index])].Add(l.interval)
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// record writes an event to the journal, at a limited rate per kind and
// subject.
func (e *Engine) record(event journal.Event) {
	event.Time, event.LastTime, event.Count = e.now, e.now, 1
	if e.events.admit(e.now, event) {
		e.emit(Record{Event: event})
	}
}

// flushEvents writes the folded events whose interval is over.
func (e *Engine) flushEvents() {
	kept := e.events.folded[:0]
	for _, event := range e.events.folded {
		key := keyOf(event)
		if e.now.Sub(e.events.passed[key]) < e.events.interval {
			kept = append(kept, event)
			continue
		}
		e.events.passed[key] = e.now
		e.emit(Record{Event: event})
	}
	e.events.folded = kept
}

// flushAllEvents writes what is folded without waiting for the intervals.
func (e *Engine) flushAllEvents() {
	for _, event := range e.events.folded {
		e.emit(Record{Event: event})
	}
	e.events.folded = nil
}
