package query

import (
	"container/heap"
	"time"
)

// timer is the next time at which a request may have a decision to make. It is void
// if the request has ended or its due time has changed.
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

// schedule makes sure that the request is processed no later than its next due time.
// An earlier timer that is already set suffices, so that the shards are searched once
// per timer and not once per reply.
func (e *Engine) schedule(r *request) {
	switch {
	case r.due.IsZero():
		r.due = e.nextDue(r)
	case !r.earliestDue.IsZero() && r.earliestDue.Before(r.due):
		r.due = r.earliestDue
	default:
		return
	}
	r.earliestDue = time.Time{}
	heap.Push(&e.timers, timer{at: r.due, request: r, sequence: r.sequence})
}

// setDue sets when a shard is next due; zero for never.
func (r *request) setDue(shard *shardState, at time.Time) {
	shard.due = at
	if !at.IsZero() && (r.earliestDue.IsZero() || at.Before(r.earliestDue)) {
		r.earliestDue = at
	}
}

// nextDue is the earliest of the final decision, the policy's next elapsed threshold
// and the due times of the open shards.
func (e *Engine) nextDue(r *request) time.Time {
	next := r.decideBy
	if r.phase != phaseRunning {
		return next
	}
	if r.nextThreshold < len(r.route.elapsedThresholds) {
		next = earlier(next, r.arrived.Add(r.route.elapsedThresholds[r.nextThreshold]))
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
		e.processDueRequest(r)
	}
	e.flushEvents()
}

// processDueRequest makes the decisions of a request whose timer has fired.
func (e *Engine) processDueRequest(r *request) {
	switch r.phase {
	case phaseClaiming:
		if !e.now.Before(r.decideBy) {
			e.abandonClaim(r)
			return
		}
	case phaseRunning:
		e.processDueShards(r)
		e.advanceRequest(r)
		return
	default:
		return
	}
	e.schedule(r)
}

// armTimer requests the next timer. A pending earlier timer is kept: a spurious
// TimerFired costs less than a command for each change.
func (e *Engine) armTimer() {
	next := e.events.nextFlush()
	if len(e.timers) > 0 && (next.IsZero() || e.timers[0].at.Before(next)) {
		next = e.timers[0].at
	}
	if next.IsZero() || (e.timerAt.After(e.now) && !next.Before(e.timerAt)) {
		return
	}
	e.timerAt = next
	e.emit(SetTimer{At: next})
}
