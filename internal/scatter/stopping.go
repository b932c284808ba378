package scatter

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Stopping reports that the process stops: each request has to be answered by a time, whatever its
// deadline.
type Stopping struct{ AnswersBy time.Time }

func (Stopping) isEvent() {}

// stop applies the end of the process to the requests in flight.
func (e *Engine) stop(answersBy time.Time) {
	e.answersBy = answersBy
	for _, id := range slices.SortedFunc(maps.Keys(e.requests), cmp.Compare[RequestID]) {
		e.limitToStop(e.requests[id])
	}
}

// limitToStop brings the deadline of a request forward to the end of the process. Calls that still
// wait for a server when an answer can't be expected any more end then.
func (e *Engine) limitToStop(pending *request) {
	if e.answersBy.IsZero() {
		return
	}
	if e.answersBy.Before(pending.deadline) {
		pending.deadline = e.answersBy
		e.timers.add(timer{at: pending.deadline, kind: timerDeadline, request: pending.id})
	}
	e.timers.add(timer{at: e.answersBy.Add(-e.typicalTime(pending.route)), kind: timerLastSend, request: pending.id})
}

// settleWaiting settles the calls of a request that wait for a server.
func (e *Engine) settleWaiting(id RequestID) {
	pending, ok := e.requests[id]
	if !ok {
		return
	}
	for _, c := range pending.calls {
		e.settleIdle(c)
	}
	e.decide(pending)
}
