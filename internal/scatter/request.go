package scatter

import (
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/verdict"
)

// request is one request without an answer.
type request struct {
	id       RequestID
	route    *routing.Route
	arrived  time.Time
	deadline time.Time
	// due is that of Arrived.
	due      time.Time
	calls    []*call
	open     int
	attempts int
	extras   int
	denied   int
	answered bool
	// claims is that of Arrived.
	claims bool
	// replied says that a server has answered, broken counts attempts that broke off.
	replied bool
	broken  int
	// held counts the calls that get no attempt for that.
	held int
}

// call is what a request asks of one service.
type call struct {
	request  *request
	position int
	group    *group
	// tried are the servers that were sent to; live the attempts still out.
	tried []*server
	live  []*attempt
	// unsent counts attempts that came to no connection.
	unsent int
	// earlier is how many other routers may have sent an attempt.
	earlier int
	settled bool
	waiting bool
	// held says that it gets no attempt until a server has answered its request.
	held  bool
	claim claim
	// draw, from 0 to 1, decides whether the call is one of a roll-out's share.
	draw float64
	// claimDue says that the attempt that was claimed is to be sent as soon as it is
	// granted.
	claimDue bool
	// patient says that there is a timer for the end of its wait for a server.
	patient  bool
	part     *message.Reply
	verdicts []verdict.Verdict
	last     Failure
	// reply is the server's own failure, passed on if nothing better comes.
	reply *message.Reply
	steps []Step
}

// hasTried reports whether a call was sent to a server, or is out at the process that answers for it:
// a server that started again may be known by two starts.
func (c *call) hasTried(candidate *server) bool {
	return slices.Contains(c.tried, candidate) || slices.ContainsFunc(c.live, func(out *attempt) bool {
		return out.server.sharesProcess(candidate)
	})
}

// maxSteps bounds the steps that are kept of a call.
const maxSteps = 12

// note keeps a step of a call.
func (e *Engine) note(called *call, step Step) {
	repeated := len(called.steps) > 0 && called.steps[len(called.steps)-1].Kind == step.Kind
	if repeated && (step.Kind == StepWaits || step.Kind == StepDenied) {
		return
	}
	if len(called.steps) < maxSteps {
		step.After = e.now.Sub(called.request.arrived)
		called.steps = append(called.steps, step)
	}
}

// attempt is one message to one server.
type attempt struct {
	id      AttemptID
	call    *call
	server  *server
	started time.Time
	// expected is by when most attempts would have ended.
	expected time.Time
}

// Bounds of attempts.
const (
	// maxUnsent bounds the servers that a call tries to connect to in vain.
	maxUnsent = 3
	// An attempt that nobody waits for may go on for a while: closing costs a
	// connection, and most end sooner. At a crowded server its work without use
	// makes others late, so that it ends soon.
	abortGrace        = 150 * time.Millisecond
	abortGraceCrowded = 20 * time.Millisecond
	// absentPatience is how long a call waits for a server to be known.
	absentPatience = time.Second
)

func (e *Engine) arrive(event Arrived) {
	arrived := &request{id: event.ID, route: event.Route, arrived: e.now, deadline: event.Deadline, due: event.Due, open: len(event.Services), claims: event.Claims}
	e.requests[event.ID] = arrived
	e.timers.add(timer{at: event.Deadline, kind: timerDeadline, request: event.ID})
	if !event.Due.IsZero() {
		e.timers.add(timer{at: event.Due, kind: timerDue, request: event.ID})
	}
	for position, service := range event.Services {
		called := &call{request: arrived, position: position, group: e.group(service), earlier: event.Earlier, draw: undrawn}
		arrived.calls = append(arrived.calls, called)
	}
	for _, called := range arrived.calls {
		switch {
		case called.earlier > 0 && called.maxAttempts() < 1:
			e.settle(called)
			continue
		case called.earlier > 0:
			e.dispatchExtra(called)
			continue
		}
		called.group.budget.earn(e.now, e.config.Budget, e.share(called.group))
		e.dispatch(called, false)
		e.serveGroup(called.group.service)
	}
	e.decide(arrived)
}

// dispatch sends an attempt of a call, lets it wait for room, or settles it when
// there is no server.
func (e *Engine) dispatch(called *call, extra bool) {
	chosen, found := e.choose(called)
	switch {
	case found == available:
		e.send(called, chosen, extra)
	case found == absent && (len(called.tried) > 0 || e.now.Sub(called.request.arrived) >= absentPatience || e.withheld(called.group)):
		if len(called.live) == 0 {
			e.settle(called)
		}
	case found == busy && e.canSpare(called):
		e.settle(called)
	case !called.waiting:
		e.await(called, found)
	}
}

// withheld reports whether the only servers of a service are in evacuated zones or bear
// no more for being cold, so that waiting for one to be known is of no use.
func (e *Engine) withheld(of *group) bool {
	cold := e.coldShare(of)
	return len(of.servers) > 0 && !slices.ContainsFunc(of.servers, func(s *server) bool {
		return !e.evacuated.Empty(e.now, s.Zone, s.Service) && !s.withheldCold(e.now, cold)
	})
}

// view is what a choice for a call depends on beside the servers.
func (e *Engine) view(called *call) choiceView {
	view := choiceView{zone: e.config.Zone, share: e.share(called.group), random: e.random, evacuated: e.evacuated, cold: e.coldShare(called.group)}
	asked := called.request
	if !asked.due.IsZero() && !e.overdue(called) {
		view.left = asked.due.Sub(e.now)
		view.typical, view.ahead = e.typical(asked.route), called.group.took.Value()
	}
	return view
}

func (e *Engine) send(called *call, chosen *server, extra bool) {
	e.last++
	sent := &attempt{id: e.last, call: called, server: chosen, started: e.now}
	e.attempts[sent.id] = sent
	sent.expected = e.now.Add(e.patience(called.request.route, chosen))
	chosen.inFlight[sent.id], chosen.sent = sent, e.now
	called.spendGrant()
	chosen.spendCold(e.now, e.coldShare(called.group))
	called.tried = append(called.tried, chosen)
	called.live = append(called.live, sent)
	waiting := called.request
	waiting.attempts++
	kind := StepSent
	if extra {
		waiting.extras++
		kind = StepRetried
		if len(called.live) > 1 {
			kind = StepHedged
		}
	}
	e.note(called, Step{Kind: kind, Server: chosen.ID})
	e.noteMissing(chosen)
	e.emit(Send{Attempt: sent.id, Request: waiting.id, Server: chosen.Server, Deadline: waiting.deadline, Extra: extra})
	if waiting.route.Repeatable && len(called.tried) < called.maxAttempts() {
		delay := e.callHedgeDelay(called)
		e.timers.add(timer{at: e.now.Add(delay), kind: timerHedge, attempt: sent.id})
		if waiting.claims {
			e.timers.add(timer{at: e.now.Add(max(0, delay-claimLead)), kind: timerClaim, attempt: sent.id})
		}
	}
}

// end takes in the end of an attempt.
func (e *Engine) end(event Ended) {
	ended, known := e.attempts[event.Attempt]
	if !known {
		return
	}
	delete(e.attempts, event.Attempt)
	delete(ended.server.inFlight, event.Attempt)
	e.learn(ended, event.Outcome)
	e.observeRollout(ended, event.Outcome)
	called := ended.call
	called.live = slices.DeleteFunc(called.live, func(a *attempt) bool { return a == ended })
	called.request.observe(event.Outcome)
	if !called.settled {
		e.conclude(called, ended, event.Outcome)
	}
	e.reviewHeld(called.request)
	e.serveGroup(ended.server.Service)
}

// conclude takes the outcome of an attempt into its open call.
func (e *Engine) conclude(called *call, ended *attempt, outcome Outcome) {
	e.note(called, Step{Kind: StepEnded, Server: ended.server.ID, Failure: outcome.Failure})
	called.verdicts = append(called.verdicts, outcome.Verdict)
	called.last = outcome.Failure
	if outcome.Failure == NoFailure && outcome.Reply.Succeeded() {
		called.part = outcome.Reply
		if called.request.route.Gathers() {
			e.emit(Part{Request: called.request.id, Shard: called.position, Reply: outcome.Reply})
		}
		e.settle(called)
		e.decide(called.request)
		return
	}
	if outcome.Reply != nil && outcome.Failure == NoFailure {
		called.reply = outcome.Reply
	}
	if outcome.Failure == NotConnected || outcome.Failure == NotSent {
		called.unsent++
		called.request.attempts--
	}
	if len(called.live) == 0 {
		e.retry(called, outcome)
		e.decide(called.request)
	}
}

// retry sends a call again after its last attempt failed, or settles it.
func (e *Engine) retry(called *call, outcome Outcome) {
	route := called.request.route
	sent := len(called.tried) - called.unsent
	mayRun := route.Repeatable || outcome.Verdict == verdict.NotRun
	if !mayRun || sent >= called.maxAttempts() || called.unsent > maxUnsent {
		e.settle(called)
		return
	}
	e.dispatchExtra(called)
}

// maxAttempts bounds the servers that a call may be sent to. Each earlier router is taken
// to have sent one attempt.
func (c *call) maxAttempts() int { return max(1, c.request.route.MaxAttempts) - c.earlier }

// isExtra reports whether the next attempt of a call is one beyond the first.
func (c *call) isExtra() bool { return c.earlier > 0 || len(c.tried) > c.unsent }

// dispatchExtra is dispatch of what may be a retry. One that the budget does not
// pay for yet waits until first attempts have earned it.
func (e *Engine) dispatchExtra(called *call) {
	if called.request.holds() {
		e.hold(called)
		return
	}
	if !called.isExtra() {
		e.dispatch(called, false)
		return
	}
	_, found := e.choose(called)
	switch {
	case found == available && !e.mayRepeat(called):
		if called.claim == refused && len(called.live) == 0 {
			e.settle(called)
		}
	case found == absent || found == busy && e.canSpare(called):
		e.settle(called)
	case found == busy:
		called.enqueue()
	case !e.pay(called, retryReserve):
		if called.refusable() {
			e.settle(called)
			return
		}
		called.enqueue()
	default:
		e.dispatch(called, true)
	}
}

// refusable reports whether the request of a call that the budget does not pay for can be
// refused at once: it has not run anywhere, so that its client may send it again, which
// needs no token. A shard's call waits, as its request may suffice without it.
func (c *call) refusable() bool {
	return !c.request.route.Gathers() && c.earlier == 0 && len(c.live) == 0 && verdict.Combine(c.verdicts...) == verdict.NotRun
}

// Tokens that stay in the budget: a retry is known to be needed, a hedge only
// likely to be.
const (
	retryReserve = 0
	hedgeReserve = 0.3
)

func (e *Engine) pay(called *call, reserve float64) bool {
	if called.group.budget.spend(e.now, e.config.Budget, e.share(called.group), reserve) {
		return true
	}
	called.request.denied++
	e.note(called, Step{Kind: StepDenied})
	return false
}

// settle closes a call, with a part or without.
func (e *Engine) settle(called *call) {
	if called.settled {
		return
	}
	called.settled, called.waiting = true, false
	called.request.open--
	e.abortLater(called)
}

// abortLater lets attempts that nobody waits for end by themselves for a while.
func (e *Engine) abortLater(called *call) {
	for _, left := range called.live {
		grace := abortGrace
		if left.server.crowded(e.now) {
			grace = abortGraceCrowded
		}
		e.timers.add(timer{at: e.now.Add(grace), kind: timerAbort, attempt: left.id})
	}
}

// abandon drops a request without an answer.
func (e *Engine) abandon(id RequestID) {
	waiting, ok := e.requests[id]
	if !ok {
		return
	}
	e.emit(Dropped{Request: id, Result: e.result(waiting)})
	e.close(waiting)
}

// close ends a request: its open calls are settled and nothing more is sent.
func (e *Engine) close(closed *request) {
	delete(e.requests, closed.id)
	closed.answered = true
	for _, called := range closed.calls {
		e.settle(called)
	}
}
