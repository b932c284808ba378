package query

import (
	"container/heap"
	"time"
)

// timer is the next moment at which a request may have something to decide.
// It is void when the request has ended or has another due time by then.
type timer struct {
	at       time.Time
	request  *request
	sequence uint64
}

// timerHeap orders timers by time and, for equal times, by request.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(entry any) { *h = append(*h, entry.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return entry
}

// schedule makes sure that the request is looked at no later than its next
// due moment. An earlier timer that stands already will do, so that the shards
// are searched once per timer and not once per reply.
func (e *Engine) schedule(r *request) {
	switch {
	case r.due.IsZero():
		r.due = e.nextDue(r)
	case !r.soonest.IsZero() && r.soonest.Before(r.due):
		r.due = r.soonest
	default:
		return
	}
	r.soonest = time.Time{}
	heap.Push(&e.timers, timer{at: r.due, request: r, sequence: r.sequence})
}

// setDue asks for a look at a shard at a moment; zero for none.
func (r *request) setDue(shard *shardState, at time.Time) {
	shard.due = at
	if !at.IsZero() && (r.soonest.IsZero() || at.Before(r.soonest)) {
		r.soonest = at
	}
}

// nextDue is the first of the final decision, the policy's next moment and
// what the open shards wait for.
func (e *Engine) nextDue(r *request) time.Time {
	next := r.decideBy
	if r.phase != phaseRunning {
		return next
	}
	if r.moment < len(r.route.moments) {
		next = earlier(next, r.arrived.Add(r.route.moments[r.moment]))
	}
	for index := range r.shards {
		shard := &r.shards[index]
		if shard.isOpen() && !shard.due.IsZero() {
			next = earlier(next, shard.due)
		}
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (e *Engine) runTimers() {
	for len(e.timers) > 0 && !e.timers[0].at.After(e.now) {
		fired := heap.Pop(&e.timers).(timer)
		r := fired.request
		if r.sequence != fired.sequence || !fired.at.Equal(r.due) {
			continue
		}
		r.due = time.Time{}
		e.requestDue(r)
	}
	e.flushEvents()
}

// requestDue takes every decision of a request whose time has come.
func (e *Engine) requestDue(r *request) {
	switch r.phase {
	case phaseClaiming:
		if !e.now.Before(r.decideBy) {
			e.abandonClaim(r)
			return
		}
	case phaseRunning:
		e.shardsDue(r)
		e.settleEvent(r)
		return
	default:
		return
	}
	e.schedule(r)
}

// armWake asks for the next timer. An earlier call that stands is left alone:
// a timer that fires for nothing costs less than a command for each change.
func (e *Engine) armWake() {
	next := e.events.nextFlush()
	if len(e.timers) > 0 && (next.IsZero() || e.timers[0].at.Before(next)) {
		next = e.timers[0].at
	}
	if next.IsZero() || (e.wakeAt.After(e.now) && !next.Before(e.wakeAt)) {
		return
	}
	e.wakeAt = next
	e.emit(Wake{At: next})
}
