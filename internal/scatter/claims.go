package scatter

import "time"

// claim says how far a call has come with asking for attempts beyond its first.
type claim uint8

const (
	unclaimed claim = iota
	// claimed: it was asked for, and nothing is known yet.
	claimed
	granted
	refused
)

// mayRepeat reports whether an attempt beyond the first may be sent, and asks for it if
// that is not known. Whoever asked for the shards counts every attempt that may have
// been sent, also by a router that it does not hear any more: without that, a router that
// hedged behind a path that is cut one way and those that stand in for it would ask more
// servers of a shard than its route allows.
func (e *Engine) mayRepeat(called *call) bool {
	asked := called.request
	if !asked.claims || called.claim == granted || len(called.tried) == called.unsent {
		return true
	}
	if called.claim == unclaimed {
		called.claim = claimed
		e.note(called, Step{Kind: StepClaims})
		e.emit(Claim{Request: asked.id, Shard: called.position})
	}
	return false
}

// spendGrant counts an attempt that is about to be sent: each one beyond the first takes a
// grant of its own.
func (c *call) spendGrant() {
	if len(c.tried) > c.unsent && c.claim == granted {
		c.claim, c.claimDue = unclaimed, false
	}
}

// claimLead is how long before a hedge its attempt is claimed: a claim takes 0.4 to 6 ms
// from and to routers of 0.19 cores, and the answer to most sweeps waits for a hedge.
const claimLead = 8 * time.Millisecond

// claimAhead claims another attempt while one is still out, so that it is granted by the
// time that it is sent.
func (e *Engine) claimAhead(id AttemptID) {
	if out, exists := e.attempts[id]; exists && !out.call.settled {
		e.mayRepeat(out.call)
	}
}

// takeGrant takes in whether calls may be repeated, and repeats them.
func (e *Engine) takeGrant(event Granted) {
	waiting, ok := e.requests[event.Request]
	if !ok {
		return
	}
	for _, position := range event.Shards {
		if position < len(waiting.calls) {
			e.repeatGranted(waiting.calls[position], event.Refused)
		}
	}
	e.reviewHeld(waiting)
	e.decide(waiting)
}

func (e *Engine) repeatGranted(called *call, isRefused bool) {
	called.claim = granted
	if isRefused {
		called.claim = refused
	}
	switch {
	case called.settled || called.waiting:
	case len(called.live) > 0 && !called.claimDue:
	case len(called.live) > 0 && !isRefused:
		e.hedge(called.live[len(called.live)-1].id)
	case len(called.live) == 0 && isRefused:
		e.settle(called)
	case len(called.live) == 0:
		e.dispatchExtra(called)
	}
}
