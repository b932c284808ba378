package scatter

import "time"

// claim is the state of a call's request for permission to send an attempt beyond its first.
type claim uint8

const (
	unclaimed claim = iota
	// claimPending: the claim was sent, and the answer is outstanding.
	claimPending
	granted
	refused
)

// mayRepeat reports whether an attempt beyond the first may be sent, and claims one if that is
// not known yet. The requesting router counts every attempt that may have been sent, including
// those of a router that it can no longer reach. Otherwise a router that hedges behind a
// one-way partition and its backups would together send to more servers of a shard than the
// route allows.
func (e *Engine) mayRepeat(c *call) bool {
	req := c.request
	if !req.claims || c.claim == granted || len(c.tried) == c.unsent {
		return true
	}
	if c.claim == unclaimed {
		c.claim = claimPending
		e.note(c, Step{Kind: StepClaims})
		e.emit(Claim{Request: req.id, Shard: c.position})
	}
	return false
}

// consumeGrant uses up the grant for an attempt that is about to be sent: each one beyond the
// first needs a grant of its own.
func (c *call) consumeGrant() {
	if len(c.tried) > c.unsent && c.claim == granted {
		c.claim, c.sendOnGrant = unclaimed, false
	}
}

// claimLead is how long before a hedge its attempt is claimed: a claim takes 0.4 to 6 ms
// between routers with 0.19 cores, and the answer to most sweeps waits for a hedge.
const claimLead = 8 * time.Millisecond

// claimAhead claims another attempt while one is still in flight, so that it is granted by the
// time that it is sent.
func (e *Engine) claimAhead(id AttemptID) {
	if a, exists := e.attempts[id]; exists && e.mayAttempt(a.call) {
		e.mayRepeat(a.call)
	}
}

// handleGrant records whether calls may be repeated, and repeats those that may.
func (e *Engine) handleGrant(event Granted) {
	pending, ok := e.requests[event.Request]
	if !ok {
		return
	}
	for _, position := range event.Shards {
		if position < len(pending.calls) {
			e.applyGrant(pending.calls[position], event.Refused)
		}
	}
	e.releaseHeld(pending)
	e.decide(pending)
}

func (e *Engine) applyGrant(c *call, isRefused bool) {
	c.claim = granted
	if isRefused {
		c.claim = refused
	}
	switch {
	case c.settled || c.queued:
	case len(c.inFlight) > 0 && !c.sendOnGrant:
	case len(c.inFlight) > 0 && !isRefused:
		e.hedge(c.inFlight[len(c.inFlight)-1].id)
	case len(c.inFlight) == 0 && isRefused:
		e.settle(c)
	case len(c.inFlight) == 0:
		e.dispatchExtra(c)
	}
}
