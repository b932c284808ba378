package scatter

import (
	"slices"

	"github.com/martenstage/martenstage/internal/verdict"
)

// arrive takes a request and dispatches its calls.
func (e *Engine) arrive(event Arrived) {
	arrived := &request{id: event.ID, route: event.Route, arrived: e.now, deadline: event.Deadline, due: event.Due, open: len(event.Services), claims: event.ClaimExtras}
	e.requests[event.ID] = arrived
	e.timers.add(timer{at: event.Deadline, kind: timerDeadline, request: event.ID})
	if !event.Due.IsZero() {
		e.timers.add(timer{at: event.Due, kind: timerDue, request: event.ID})
	}
	e.limitToStop(arrived)
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
