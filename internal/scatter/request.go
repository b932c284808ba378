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

func (e *Engine) arrive(event Arrived) {
	arrived := &request{id: event.ID, route: event.Route, arrived: e.now, deadline: event.Deadline, due: event.Due, open: len(event.Services), claims: event.ClaimExtras}
	e.requests[event.ID] = arrived
	e.timers.add(timer{at: event.Deadline, kind: timerDeadline, request: event.ID})
	if !event.Due.IsZero() {
		e.timers.add(timer{at: event.Due, kind: timerDue, request: event.ID})
	}
	arrived.calls = e.newCalls(arrived, event.Services, event.PriorAttempts)
	for _, c := range arrived.calls {
		e.begin(c)
	}
	e.decide(arrived)
}

// begin dispatches a call for the first time.
func (e *Engine) begin(c *call) {
	switch {
	case !e.mayAttempt(c):
		return
	case c.priorAttempts > 0 && c.maxAttempts() < 1:
		e.settle(c)
		return
	case c.priorAttempts > 0:
		e.dispatchExtra(c)
		return
	}
	c.group.budget.earn(e.now, e.config.Budget, e.share(c.group))
	if e.config.ClassOrder && len(c.group.queue) > 0 {
		// A place that is free takes the call whose turn it is.
		e.enqueue(c)
	} else {
		e.dispatch(c, false)
	}
	e.dispatchQueue(c.group.service)
}

// mayAttempt reports whether attempts may be sent or claimed for a call: neither is it settled,
// as are all calls of a request that has ended, nor has the deadline passed. Every path that ends
// in a Send or a Claim checks it, because a step may end requests and pass deadlines at any point
// before that.
func (e *Engine) mayAttempt(c *call) bool { return !c.settled && !c.request.over(e.now) }

// over reports whether the deadline has passed.
func (r *request) over(now time.Time) bool { return !now.Before(r.deadline) }

// settleIdle settles a call that has no attempt in flight.
func (e *Engine) settleIdle(c *call) {
	if len(c.inFlight) == 0 {
		e.settle(c)
	}
}

// dispatch sends an attempt of a call, queues it until a server has capacity, or settles it
// when there is no server.
func (e *Engine) dispatch(c *call, extra bool) {
	if !e.mayAttempt(c) {
		e.settleIdle(c)
		return
	}
	chosen, found := e.choose(c)
	switch {
	case found == available:
		e.send(c, chosen, extra)
	case found == absent && (len(c.tried) > 0 || e.now.Sub(c.request.arrived) >= serverWaitTimeout || e.allWithheld(c.group)):
		e.settleIdle(c)
	case found == busy && e.canOmit(c):
		e.settle(c)
	case !c.queued:
		e.await(c, found)
	}
}

// allWithheld reports whether all servers of a service are in evacuated zones or are cold and
// at their limit, so that it is of no use to wait.
func (e *Engine) allWithheld(g *group) bool {
	cold := e.coldShare(g)
	return len(g.servers) > 0 && !slices.ContainsFunc(g.servers, func(s *server) bool {
		return !e.evacuated.Evacuated(e.now, s.Zone, s.Service) && !s.coldLimited(e.now, cold)
	})
}

// view returns the inputs of a choice for a call other than the group.
func (e *Engine) view(c *call) choiceView {
	view := choiceView{zone: e.config.Zone, share: e.share(c.group), random: e.random, evacuated: e.evacuated, cold: e.coldShare(c.group), explores: c.explores()}
	req := c.request
	if !req.due.IsZero() && !e.overdue(c) {
		view.timeLeft = req.due.Sub(e.now)
		view.typicalTime, view.queueTime = e.typicalTime(req.route), c.group.attemptTime.Value()
	}
	return view
}

func (e *Engine) send(c *call, chosen *server, extra bool) {
	e.lastAttempt++
	sent := &attempt{id: e.lastAttempt, call: c, server: chosen, started: e.now}
	e.attempts[sent.id] = sent
	sent.expected = e.now.Add(e.stallDelay(c.request.route, chosen))
	chosen.inFlight[sent.id], chosen.lastSentAt = sent, e.now
	e.noteSent(chosen)
	e.scheduleExploring(chosen)
	c.consumeGrant()
	chosen.spendColdToken(e.now, e.coldShare(c.group))
	c.noteTried(chosen)
	c.inFlight = append(c.inFlight, sent)
	pending := c.request
	pending.attempts++
	kind := StepSent
	if extra {
		pending.extras++
		kind = StepRetried
		if len(c.inFlight) > 1 {
			kind = StepHedged
		}
	}
	e.note(c, Step{Kind: kind, Server: chosen.ID})
	e.logMissingUse(chosen)
	e.emit(Send{Attempt: sent.id, Request: pending.id, Server: chosen.Server, Deadline: pending.deadline, Extra: extra})
	if pending.route.Repeatable && len(c.tried) < c.maxAttempts() {
		delay := e.callHedgeDelay(c)
		e.timers.add(timer{at: e.now.Add(delay), kind: timerHedge, attempt: sent.id})
		if pending.claims {
			e.timers.add(timer{at: e.now.Add(max(0, delay-claimLead)), kind: timerClaim, attempt: sent.id})
		}
	}
}

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

// maxAttempts bounds the servers that a call may be sent to. Each prior router is assumed to
// have sent one attempt.
func (c *call) maxAttempts() int { return max(1, c.request.route.MaxAttempts) - c.priorAttempts }

// isExtra reports whether the next attempt of a call is beyond the first.
func (c *call) isExtra() bool { return c.priorAttempts > 0 || len(c.tried) > c.unsent }

// dispatchExtra dispatches a call whose next attempt may be a retry. A retry that the budget
// denies waits until first attempts have earned a token.
func (e *Engine) dispatchExtra(c *call) {
	if !e.mayAttempt(c) {
		e.settleIdle(c)
		return
	}
	if c.request.mustHold() {
		e.hold(c)
		return
	}
	if !c.isExtra() {
		e.dispatch(c, false)
		return
	}
	if c.resending && !e.resendUseful(c) {
		e.settle(c)
		return
	}
	_, found := e.choose(c)
	switch {
	case found == absent && e.startResend(c):
		e.dispatchExtra(c)
	case found == available && !e.mayRepeat(c):
		if c.claim == refused {
			e.settleIdle(c)
		}
	case found == absent || found == busy && e.canOmit(c):
		e.settle(c)
	case found == busy:
		e.enqueue(c)
	case !e.spendToken(c, retryReserve):
		if c.refusable() {
			e.settle(c)
			return
		}
		e.enqueue(c)
	default:
		e.dispatch(c, true)
	}
}

// refusable reports whether a call that the budget denies a retry can be refused at once: its
// request has not run anywhere, so that the client may send it again, which needs no token. A
// shard's call waits instead, as its request may complete without it.
func (c *call) refusable() bool {
	return !c.request.route.Gathers() && c.priorAttempts == 0 && len(c.inFlight) == 0 && verdict.Combine(c.verdicts...) == verdict.NotRun
}

// Tokens that must remain in the budget: a retry is certainly needed, a hedge only likely.
const (
	retryReserve = 0
	hedgeReserve = 0.3
)

func (e *Engine) spendToken(c *call, reserve float64) bool {
	if c.group.budget.spend(e.now, e.config.Budget, e.share(c.group), reserve) {
		return true
	}
	c.request.denied++
	e.note(c, Step{Kind: StepDenied})
	return false
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
