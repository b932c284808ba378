package scatter

import "github.com/martenstage/martenstage/internal/verdict"

// maxBrokenBeforeHold is how many attempts of a gathering request may break off, with no
// server having answered, before its further attempts are held until one does. The request
// itself may be crashing its servers, and each repeat could crash the second server of a shard
// as well. Its first attempts have all been sent by then; to bound those too, every request
// would have to wait for one server first, which raised the median of sweeps from 40 to 55 ms
// and that of lookups over all shards from 23 to 30 ms (design 0019).
const maxBrokenBeforeHold = 2

// countBroken records whether an attempt suggests that the request crashes its servers.
func (r *request) countBroken(outcome Outcome) {
	switch outcome.Failure {
	case NoFailure:
		r.replied = true
	case Broken, Unaccepted:
		r.brokenAttempts++
	}
}

// mustHold reports whether further attempts of the request are held for now.
func (r *request) mustHold() bool {
	return r.route.Gathers() && !r.replied && r.brokenAttempts >= maxBrokenBeforeHold
}

// hold defers a call until a server has answered the request, or none can any more.
func (e *Engine) hold(c *call) {
	if c.held {
		return
	}
	c.held = true
	c.request.heldCalls++
	e.note(c, Step{Kind: StepHeld})
}

// releaseHeld dispatches held calls once a server has answered the request. If no attempt that
// could still be answered is in flight, it settles the held and the queued calls instead.
func (e *Engine) releaseHeld(pending *request) {
	holds := pending.mustHold()
	if pending.answered || !holds && pending.heldCalls == 0 || holds && pending.hasInFlight() {
		return
	}
	for _, c := range pending.calls {
		switch {
		case c.settled || !c.held && !c.queued:
		case holds:
			e.settle(c)
		case c.held:
			c.held = false
			pending.heldCalls--
			e.dispatchExtra(c)
		}
	}
	e.decide(pending)
}

func (r *request) hasInFlight() bool {
	for _, c := range r.calls {
		if len(c.inFlight) > 0 {
			return true
		}
	}
	return false
}

// withdraw ends a quarantined request. Its attempts in flight are aborted at once, so that a
// server drops the work that it has not begun.
func (e *Engine) withdraw(id RequestID) {
	pending, ok := e.requests[id]
	if !ok {
		return
	}
	for _, c := range pending.calls {
		for _, a := range c.inFlight {
			e.emit(Abort{Attempt: a.id})
		}
	}
	result := e.result(pending)
	result.Verdict, result.Reason, result.Missing = pending.verdict(), verdict.ReasonQuarantined, pending.missing()
	e.respond(pending, result)
}

// missing returns the positions of the calls without a part.
func (r *request) missing() []int {
	var positions []int
	for _, c := range r.calls {
		if c.part == nil {
			positions = append(positions, c.position)
		}
	}
	return positions
}
