package scatter

import (
	"time"

	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/verdict"
)

// decide ends a request once it need not wait any longer.
func (e *Engine) decide(pending *request) {
	over := pending.over(e.now)
	switch {
	case pending.answered || pending.open > 0 && !over:
	case pending.route.Gathers():
		e.endGathering(pending, over)
	default:
		e.answerSingle(pending, over)
	}
}

// endGathering ends a gathering request and reports the shards without a part.
func (e *Engine) endGathering(pending *request, over bool) {
	result := e.result(pending)
	result.Verdict = pending.verdict()
	result.Reason = verdict.ReasonCoverage
	if over {
		result.Reason = verdict.ReasonTimeout
	}
	result.Missing = pending.missing()
	e.respond(pending, result)
}

// share returns part/whole, with tolerance for rounding in the comparison with the least
// share.
func share(part, whole int) float64 { return float64(part)/float64(whole) + roundingSlack }

// answerSingle answers with the server's reply, even if that is an error, or fails the
// request.
func (e *Engine) answerSingle(pending *request, over bool) {
	c := pending.calls[0]
	reply := c.part
	if reply == nil {
		reply = c.failureReply
	}
	if reply != nil {
		result := e.result(pending)
		result.Reply = reply
		e.respond(pending, result)
		return
	}
	reason := verdict.ReasonNoReplica
	switch {
	case over:
		reason = verdict.ReasonTimeout
	case len(c.tried) > 0:
		reason = failureReason(c.lastFailure)
	case !e.answersBy.IsZero():
		reason = verdict.ReasonStopping
	}
	e.fail(pending, reason)
}

func (e *Engine) fail(pending *request, reason verdict.Reason) {
	result := e.result(pending)
	result.Reason = reason
	result.Verdict = pending.verdict()
	if result.Verdict == verdict.NotRun {
		result.RetryAfter = notRunRetryAfter
	}
	e.respond(pending, result)
}

// verdict combines the verdicts of all attempts; one in flight may have run.
func (r *request) verdict() verdict.Verdict {
	var verdicts []verdict.Verdict
	for _, c := range r.calls {
		verdicts = append(verdicts, c.verdicts...)
		if c.part != nil {
			verdicts = append(verdicts, verdict.Ran)
		}
		for range c.inFlight {
			verdicts = append(verdicts, verdict.MayHaveRun)
		}
	}
	return verdict.Combine(verdicts...)
}

func (e *Engine) respond(pending *request, result Result) {
	e.emit(Respond{Request: pending.id, Result: result})
	e.close(pending)
}

// recordOutcome updates the state of a server from the outcome of an attempt.
func (e *Engine) recordOutcome(ended *attempt, outcome Outcome) {
	from := ended.server
	from.recordLoad(e.now, outcome.Load)
	if outcome.ColdFor > 0 {
		from.WarmAt = e.now.Add(outcome.ColdFor)
		from.startColdBudget(e.now)
	}
	took := e.now.Sub(ended.started)
	e.observe(ended, outcome)
	route := ended.call.request.route
	switch outcome.Failure {
	case NoFailure:
		from.refusals.count(e.now, false)
		e.recordReply(ended, outcome, took)
	case Refused:
		from.refusals.count(e.now, true)
		from.fullUntil = e.now.Add(fullDuration)
		e.timers.add(timer{at: from.fullUntil, kind: timerCapacity, service: from.Service})
	case Unaccepted:
		from.recordConnectionReset(e.now)
		e.timers.add(timer{at: from.fullUntil, kind: timerCapacity, service: from.Service})
	case OtherInstance:
		from.misdirected = true
		e.emit(LogServer{Server: from.Server, Event: "server_replaced"})
	case Aborted:
		e.histogram(route).Observe(e.now, took)
		from.recordPace(e.now, e.ratio(route, took))
		if from.lastReplyAt.Before(ended.started) {
			from.countLoss(e.now, true)
			// The server sent nothing for all that time: it is paused or has failed.
			e.suspect(ended, outcome.Failure, outcome.Failure.String())
		}
	case NotSent: // It says nothing about the server.
	case NotConnected:
		e.suspect(ended, outcome.Failure, outcome.Failure.String())
	case Broken, TimedOut:
		from.countLoss(e.now, true)
		e.suspect(ended, outcome.Failure, outcome.Failure.String())
	}
}

func (e *Engine) recordReply(ended *attempt, outcome Outcome, took time.Duration) {
	from := ended.server
	from.countLoss(e.now, outcome.Reply.ServerFailed())
	if !outcome.Reply.Succeeded() {
		from.errorReplies++
		if from.errorReplies > toleratedErrorReplies {
			e.suspect(ended, outcome.Failure, "error_replies")
		}
		return
	}
	route := ended.call.request.route
	// A slowness that the server reported itself counts in its pace, too: the report expires
	// after 200 ms, while a slow server stays slow for seconds.
	ratio, observed := e.ratio(route, took), e.durationsOf(route)
	e.observeWork(ended, outcome, took, ratio, observed.sound)
	from.recordPace(e.now, ratio)
	observed.all.Observe(e.now, took)
	ended.call.group.attemptTime.Observe(e.now, took)
	from.recordSuccess(e.now)
}

// suspect makes the router avoid the server of an attempt for a while.
func (e *Engine) suspect(ended *attempt, failure Failure, detail string) {
	before := ended.server.suspectUntil
	ended.server.recordFailure(e.now, ended.started)
	ended.server.connectFailed = failure == NotConnected
	if ended.server.suspectUntil != before {
		e.emit(LogServer{Server: ended.server.Server, Event: "server_suspected", Detail: detail})
	}
}

// toleratedErrorReplies is how many consecutive error replies are attributed to the requests
// rather than to the server.
const toleratedErrorReplies = 2

// ratio returns a duration relative to the median of the route.
func (e *Engine) ratio(route *routing.Route, took time.Duration) float64 {
	typical := e.typicalTime(route)
	if typical <= 0 {
		return 1
	}
	return float64(took) / float64(typical)
}
