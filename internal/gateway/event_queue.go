package gateway

import "sync"

// eventSink takes the events of slices without blocking.
type eventSink interface{ add(event *gatherEvent) }

// eventChannel is an eventSink with a buffer for all events that are sent.
type eventChannel chan *gatherEvent

// add implements eventSink.
func (c eventChannel) add(event *gatherEvent) { c <- event }

// eventQueue holds the events of a request until they are handled. It takes memory for the events
// that wait, while a channel takes it for all events that a request can have, 20 for each shard. It
// is safe for concurrent use.
type eventQueue struct {
	mutex  sync.Mutex
	events []*gatherEvent
	// taken counts the events that next has returned.
	taken int
	// ready has an element if events may have been added since it was last received from.
	ready chan struct{}
}

func newEventQueue() *eventQueue { return &eventQueue{ready: make(chan struct{}, 1)} }

// add implements eventSink.
func (q *eventQueue) add(event *gatherEvent) {
	q.mutex.Lock()
	q.events = append(q.events, event)
	q.mutex.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// next removes and returns the oldest event, or nil.
func (q *eventQueue) next() *gatherEvent {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.taken == len(q.events) {
		return nil
	}
	event := q.events[q.taken]
	q.events[q.taken] = nil
	q.taken++
	if q.taken == len(q.events) {
		q.events, q.taken = q.events[:0], 0
	}
	return event
}
