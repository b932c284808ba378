package simulation

import (
	"fmt"
	"time"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/state"
	"github.com/martenstage/martenstage/internal/verdict"
)

// The bounds of the product's calls to voters.
const (
	attemptTimeout = 700 * time.Millisecond
	roundPause     = 20 * time.Millisecond
	settleTimeout  = 5 * time.Second
	releaseTimeout = 10 * time.Second
)

// voterClient repeats a call, voter after voter, until one answers it or its
// time is over.
type voterClient struct {
	process *process
	next    int
}

// untilAnswered calls done with the answer, or with an error after the
// deadline by the process's own clock.
func (c *voterClient) untilAnswered(do operation, deadline time.Time, done func(serviceAnswer)) {
	c.attempt(do, deadline, 1, done)
}

func (c *voterClient) attempt(do operation, deadline time.Time, number int, done func(serviceAnswer)) {
	left := deadline.Sub(c.process.now())
	if left <= 0 {
		done(serviceAnswer{err: errOutcomeUnknown})
		return
	}
	voters := c.process.world.voters
	asked := c.next
	voter := voters[asked%len(voters)]
	c.process.world.call(call{
		from: c.process, to: &voter.process, timeout: min(left, attemptTimeout), repeatable: true,
		handle: func(back reply) { voter.control.serve(do, false, back) },
		done: func(result callResult) {
			if !result.failed && result.answer.(serviceAnswer).err == nil {
				done(result.answer.(serviceAnswer))
				return
			}
			if c.next == asked {
				c.next++
			}
			pause := time.Duration(0)
			if number%len(voters) == 0 {
				pause = roundPause
			}
			c.process.after(pause, func() { c.attempt(do, deadline, number+1, done) })
		},
	})
}

// claimClient is a router's claim registry at control. Every call has a number
// of its own, and a call that is sent again repeats it.
type claimClient struct {
	router *router
	voters voterClient
	calls  uint64
	// held maps the caller's id of a granted claim to its call.
	held map[string]uint64
	// underWay counts settlements that are not answered yet.
	underWay int
}

func newClaimClient(r *router) *claimClient {
	return &claimClient{router: r, voters: voterClient{process: &r.process}, held: map[string]uint64{}}
}

func (c *claimClient) holder() string { return fmt.Sprintf("%s/%d", c.router.name(), c.router.boot) }

func (c *claimClient) idle() bool { return c.underWay == 0 }

func (c *claimClient) claim(command query.Claim) {
	c.calls++
	number := c.calls
	operation := &v1.ClaimOperation{
		RequestId: command.CallerID, Holder: c.holder(), Call: number, Route: command.Route,
		Digest: command.Digest, ExpiryMs: command.Expiry.Milliseconds(),
	}
	c.voters.untilAnswered(commitClaim(operation), c.router.now().Add(command.Timeout), func(answer serviceAnswer) {
		decision := decisionOf(answer)
		if decision == query.ClaimUnavailable {
			c.release(command.CallerID, number)
		}
		if decision == query.ClaimGranted {
			c.held[command.CallerID] = number
		}
		c.router.world.trace.detail(c.router.name(), "claim_decided", command.CallerID, "decision", int(decision))
		c.router.step(query.ClaimDecided{Request: command.Request, Decision: decision})
	})
}

func decisionOf(answer serviceAnswer) query.ClaimDecision {
	if answer.err != nil {
		return query.ClaimUnavailable
	}
	decisions := map[state.ClaimResult]query.ClaimDecision{
		state.ClaimGranted: query.ClaimGranted, state.ClaimMayHaveRun: query.ClaimHeldMayHaveRun,
		state.ClaimRan: query.ClaimHeldRan, state.ClaimExpired: query.ClaimExpired,
		state.ClaimDigestMismatch: query.ClaimDigestMismatch,
	}
	if decision, known := decisions[answer.claim]; known {
		return decision
	}
	return query.ClaimUnavailable
}

// release gives a claim back whose answer was lost: nothing was dispatched.
func (c *claimClient) release(id string, number uint64) {
	c.record(id, number, v1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, releaseTimeout)
}

func (c *claimClient) settle(command query.SettleClaim) {
	number, found := c.held[command.CallerID]
	delete(c.held, command.CallerID)
	if !found {
		return
	}
	switch command.Outcome {
	case verdict.Ran:
		c.record(command.CallerID, number, v1.ClaimOutcome_CLAIM_OUTCOME_RAN, settleTimeout)
	case verdict.NotRun:
		c.record(command.CallerID, number, v1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, settleTimeout)
	case verdict.MayHaveRun: // the claim stays as it is
	}
}

func (c *claimClient) record(id string, number uint64, outcome v1.ClaimOutcome, timeout time.Duration) {
	c.underWay++
	operation := &v1.ClaimOperation{RequestId: id, Holder: c.holder(), Call: number, Settle: outcome}
	c.voters.untilAnswered(commitClaim(operation), c.router.now().Add(timeout), func(serviceAnswer) { c.underWay-- })
}
