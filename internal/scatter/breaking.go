package scatter

import "github.com/martenstage/martenstage/internal/verdict"

// heldAfter is how many attempts of a request that gathers may break off, with no server
// having answered, before it gets no further ones until one answers: it may be what ends
// its servers, and each repeat would end the second server of a shard as well. Its first
// attempts are out by then; to bound those, all requests would have to wait for one server
// first, by which the median of sweeps rose from 40 to 55 ms and that of lookups over all
// shards from 23 to 30 (design 0019).
const heldAfter = 2

// observe takes in what an attempt tells of whether the request ends its servers.
func (r *request) observe(outcome Outcome) {
	switch outcome.Failure {
	case NoFailure:
		r.replied = true
	case Broken, Unaccepted:
		r.broken++
	}
}

// holds reports whether a request gets no further attempts for now.
func (r *request) holds() bool {
	return r.route.Gathers() && !r.replied && r.broken >= heldAfter
}

// hold keeps a call back until a server has answered the request, or none can any more.
func (e *Engine) hold(called *call) {
	if called.held {
		return
	}
	called.held = true
	called.request.held++
	e.note(called, Step{Kind: StepHeld})
}

// reviewHeld sends what was held once a server has answered the request, and gives it up
// when no attempt is out that could, with what waits for room.
func (e *Engine) reviewHeld(waiting *request) {
	holds := waiting.holds()
	if waiting.answered || !holds && waiting.held == 0 || holds && waiting.hasLive() {
		return
	}
	for _, called := range waiting.calls {
		switch {
		case called.settled || !called.held && !called.waiting:
		case holds:
			e.settle(called)
		case called.held:
			called.held = false
			waiting.held--
			e.dispatchExtra(called)
		}
	}
	e.decide(waiting)
}

func (r *request) hasLive() bool {
	for _, called := range r.calls {
		if len(called.live) > 0 {
			return true
		}
	}
	return false
}

// withdraw ends a request that is quarantined. What it still has out is aborted at once, so
// that a server drops what it has not begun.
func (e *Engine) withdraw(id RequestID) {
	waiting, ok := e.requests[id]
	if !ok {
		return
	}
	for _, called := range waiting.calls {
		for _, out := range called.live {
			e.emit(Abort{Attempt: out.id})
		}
	}
	result := e.result(waiting)
	result.Verdict, result.Reason, result.Missing = waiting.verdict(), verdict.ReasonQuarantined, waiting.missing()
	e.respond(waiting, result)
}

// missing returns the positions of the calls without a part.
func (r *request) missing() []int {
	var positions []int
	for _, called := range r.calls {
		if called.part == nil {
			positions = append(positions, called.position)
		}
	}
	return positions
}
