package scatter

import (
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/verdict"
)

// request is a request that has not been answered.
type request struct {
	id       RequestID
	route    *routing.Route
	arrived  time.Time
	deadline time.Time
	// due is Arrived.Due.
	due      time.Time
	calls    []*call
	open     int
	attempts int
	extras   int
	denied   int
	answered bool
	// claims is Arrived.Claims.
	claims bool
	// replied says that a server has answered; brokenAttempts counts attempts that broke off.
	replied        bool
	brokenAttempts int
	// heldCalls counts the calls that are held because of that.
	heldCalls int
}

// over reports whether the deadline has passed.
func (r *request) over(now time.Time) bool { return !now.Before(r.deadline) }

// call is the part of a request that goes to one service.
type call struct {
	request  *request
	position int
	group    *group
	// tried are the servers that attempts were sent to; inFlight are the attempts that have
	// not ended.
	tried    []*server
	inFlight []*attempt
	// unsent counts attempts that ended before the request was sent.
	unsent int
	// priorAttempts is how many attempts other routers may have sent.
	priorAttempts int
	settled       bool
	queued        bool
	// held says that no attempt is sent until a server has answered the request.
	held  bool
	claim claim
	// canaryDraw, from 0 to 1, decides whether the call is one of a rollout's canaries.
	canaryDraw float64
	// sendOnGrant says that the claimed attempt is to be sent as soon as it is granted.
	sendOnGrant bool
	// hasWaitTimer says that a timer for the end of the wait for a server is set.
	hasWaitTimer bool
	part         *message.Reply
	verdicts     []verdict.Verdict
	lastFailure  Failure
	// failureReply is the server's own error reply, passed on if there is no better one.
	failureReply *message.Reply
	// refusers are the servers that refused the call, and notRun counts the attempts that
	// provably did not run. resending says that the next attempt may go to a refuser.
	refusers  []*server
	notRun    int
	resending bool
	steps     []Step
	// first holds the lists of a call that needs one attempt.
	first firstAttempt
}

// hasTried reports whether a call was sent to a server, or is in flight at the same process: a
// server that restarted may be known by two incarnations.
func (c *call) hasTried(candidate *server) bool {
	if c.resending {
		return !c.mayResendTo(candidate)
	}
	return slices.Contains(c.tried, candidate) || slices.ContainsFunc(c.inFlight, func(a *attempt) bool {
		return a.server.sharesProcess(candidate)
	})
}

// maxSteps bounds the recorded steps of a call.
const maxSteps = 12

// note records a step of a call.
func (e *Engine) note(c *call, step Step) {
	repeated := len(c.steps) > 0 && c.steps[len(c.steps)-1].Kind == step.Kind
	if repeated && (step.Kind == StepQueued || step.Kind == StepDenied) {
		return
	}
	if len(c.steps) < maxSteps {
		step.After = e.now.Sub(c.request.arrived)
		c.steps = append(c.steps, step)
	}
}

// attempt is one message to one server.
type attempt struct {
	id      AttemptID
	call    *call
	server  *server
	started time.Time
	// expected is the time by which most attempts would have ended.
	expected time.Time
}

// Bounds of attempts.
const (
	// maxUnsent bounds the servers that a call fails to send to.
	maxUnsent = 3
	// An attempt whose answer is no longer needed may go on for a while: aborting costs a
	// connection, and most end sooner. At a saturated server its useless work delays others,
	// so it is aborted sooner.
	abortGrace          = 150 * time.Millisecond
	abortGraceSaturated = 20 * time.Millisecond
	// serverWaitTimeout is how long a call waits until a server is known.
	serverWaitTimeout = time.Second
)

// end handles the end of an attempt.
func (e *Engine) end(event Ended) {
	ended, known := e.attempts[event.Attempt]
	if !known {
		return
	}
	delete(e.attempts, event.Attempt)
	delete(ended.server.inFlight, event.Attempt)
	e.recordOutcome(ended, event.Outcome)
	e.observeRollout(ended, event.Outcome)
	c := ended.call
	c.inFlight = slices.DeleteFunc(c.inFlight, func(a *attempt) bool { return a == ended })
	c.request.countBroken(event.Outcome)
	if !c.settled {
		e.applyOutcome(c, ended, event.Outcome)
	}
	e.releaseHeld(c.request)
	e.dispatchQueue(ended.server.Service)
}

// applyOutcome applies the outcome of an attempt to its open call.
func (e *Engine) applyOutcome(c *call, ended *attempt, outcome Outcome) {
	e.note(c, Step{Kind: StepEnded, Server: ended.server.ID, Failure: outcome.Failure})
	c.verdicts = append(c.verdicts, outcome.Verdict)
	c.lastFailure = outcome.Failure
	c.countNotRun(ended, outcome)
	if outcome.Failure == NoFailure && outcome.Reply.Succeeded() {
		c.part = outcome.Reply
		if c.request.route.Gathers() {
			e.emit(Part{Request: c.request.id, Shard: c.position, Reply: outcome.Reply})
		}
		e.settle(c)
		e.decide(c.request)
		return
	}
	if outcome.Reply != nil && outcome.Failure == NoFailure {
		c.failureReply = outcome.Reply
	}
	if outcome.Failure == NotConnected || outcome.Failure == NotSent {
		c.request.attempts--
		if !slices.Contains(c.refusers, ended.server) {
			c.unsent++
		}
	}
	if len(c.inFlight) == 0 {
		e.retry(c, outcome)
		e.decide(c.request)
	}
}

// retry sends a call again after its last attempt failed, or settles it.
func (e *Engine) retry(c *call, outcome Outcome) {
	route := c.request.route
	sent := len(c.tried) - c.unsent
	mayRun := route.Repeatable || outcome.Verdict == verdict.NotRun
	if !mayRun || c.unsent > maxUnsent || sent >= c.maxAttempts() && !e.startResend(c) {
		e.settle(c)
		return
	}
	e.dispatchExtra(c)
}

// settle closes a call, with a part or without.
func (e *Engine) settle(c *call) {
	if c.settled {
		return
	}
	c.settled, c.queued = true, false
	c.request.open--
	e.abortLater(c)
}

// settleIdle settles a call that has no attempt in flight.
func (e *Engine) settleIdle(c *call) {
	if len(c.inFlight) == 0 {
		e.settle(c)
	}
}

// abortLater gives attempts whose answers are no longer needed a grace period to end by
// themselves.
func (e *Engine) abortLater(c *call) {
	for _, left := range c.inFlight {
		grace := abortGrace
		if left.server.saturated(e.now) {
			grace = abortGraceSaturated
		}
		e.timers.add(timer{at: e.now.Add(grace), kind: timerAbort, attempt: left.id})
	}
}

// abandon drops a request without an answer.
func (e *Engine) abandon(id RequestID) {
	pending, ok := e.requests[id]
	if !ok {
		return
	}
	e.emit(Dropped{Request: id, Result: e.result(pending)})
	e.close(pending)
}

// close ends a request: its open calls are settled and nothing more is sent.
func (e *Engine) close(closed *request) {
	delete(e.requests, closed.id)
	closed.answered = true
	for _, c := range closed.calls {
		e.settle(c)
	}
}
