package scatter

import (
	"time"

	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/verdict"
)

// decide ends a request once waiting longer is of no use.
func (e *Engine) decide(waiting *request) {
	over := !e.now.Before(waiting.deadline)
	switch {
	case waiting.answered || waiting.open > 0 && !over:
	case waiting.route.Gathers():
		e.endGathering(waiting, over)
	default:
		e.answerSingle(waiting, over)
	}
}

// endGathering says which shards have no part.
func (e *Engine) endGathering(waiting *request, over bool) {
	result := e.result(waiting)
	result.Verdict = waiting.verdict()
	result.Reason = verdict.ReasonCoverage
	if over {
		result.Reason = verdict.ReasonTimeout
	}
	result.Missing = waiting.missing()
	e.respond(waiting, result)
}

// share is a part of a whole, with room for the rounding of the least share.
func share(part, whole int) float64 { return float64(part)/float64(whole) + roundingSlack }

// answerSingle answers with the server's reply, also with its failure, or fails.
func (e *Engine) answerSingle(waiting *request, over bool) {
	called := waiting.calls[0]
	reply := called.part
	if reply == nil {
		reply = called.reply
	}
	if reply != nil {
		result := e.result(waiting)
		result.Reply = reply
		e.respond(waiting, result)
		return
	}
	reason := verdict.ReasonNoReplica
	switch {
	case over:
		reason = verdict.ReasonTimeout
	case len(called.tried) > 0:
		reason = failureReason(called.last)
	}
	e.fail(waiting, reason)
}

func (e *Engine) fail(waiting *request, reason verdict.Reason) {
	result := e.result(waiting)
	result.Reason = reason
	result.Verdict = waiting.verdict()
	if result.Verdict == verdict.NotRun {
		result.RetryAfter = refusalPause
	}
	e.respond(waiting, result)
}

// verdict folds what is known of all attempts; one that is out may have run.
func (r *request) verdict() verdict.Verdict {
	var verdicts []verdict.Verdict
	for _, called := range r.calls {
		verdicts = append(verdicts, called.verdicts...)
		if called.part != nil {
			verdicts = append(verdicts, verdict.Ran)
		}
		for range called.live {
			verdicts = append(verdicts, verdict.MayHaveRun)
		}
	}
	return verdict.Combine(verdicts...)
}

func (e *Engine) respond(waiting *request, result Result) {
	e.emit(Respond{Request: waiting.id, Result: result})
	e.close(waiting)
}

// learn takes in what an attempt tells of its server.
func (e *Engine) learn(ended *attempt, outcome Outcome) {
	from := ended.server
	from.report(e.now, outcome.Load)
	if outcome.ColdFor > 0 {
		from.WarmAt = e.now.Add(outcome.ColdFor)
		from.turnCold(e.now)
	}
	took := e.now.Sub(ended.started)
	route := ended.call.request.route
	switch outcome.Failure {
	case NoFailure:
		from.refusals.count(e.now, false)
		e.learnReply(ended, outcome, took)
	case Refused:
		from.refusals.count(e.now, true)
		from.fullUntil = e.now.Add(fullTime)
		e.timers.add(timer{at: from.fullUntil, kind: timerRoom, service: from.Service})
	case Unaccepted:
		from.overConnected(e.now)
		e.timers.add(timer{at: from.fullUntil, kind: timerRoom, service: from.Service})
	case OtherInstance:
		from.misdirected = true
		e.emit(Noted{Server: from.Server, Belief: "server_replaced"})
	case Aborted:
		e.histogram(route).Observe(e.now, took)
		from.observe(e.now, e.ratio(route, took))
		if from.heard.Before(ended.started) {
			from.countLoss(e.now, true)
			// Silent for all that time: it pauses, or is gone.
			e.suspect(ended, outcome.Failure, outcome.Failure.String())
		}
	case NotSent: // It says nothing of the server.
	case NotConnected:
		e.suspect(ended, outcome.Failure, outcome.Failure.String())
	case Broken, TimedOut:
		from.countLoss(e.now, true)
		e.suspect(ended, outcome.Failure, outcome.Failure.String())
	}
}

func (e *Engine) learnReply(ended *attempt, outcome Outcome, took time.Duration) {
	from := ended.server
	from.countLoss(e.now, outcome.Reply.ServerFailed())
	if !outcome.Reply.Succeeded() {
		from.errors++
		if from.errors > toleratedFailures {
			e.suspect(ended, outcome.Failure, "error_replies")
		}
		return
	}
	route := ended.call.request.route
	// A slowness that the server told itself counts in its pace, too: its word is gone
	// after 200 ms, while a server that is slow stays so for seconds.
	from.observe(e.now, e.ratio(route, took))
	e.histogram(route).Observe(e.now, took)
	ended.call.group.took.Observe(e.now, took)
	from.succeeded(e.now)
}

// suspect makes the server of an attempt avoided for a while.
func (e *Engine) suspect(ended *attempt, failure Failure, detail string) {
	before := ended.server.suspectUntil
	ended.server.failed(e.now, ended.started)
	ended.server.unconnected = failure == NotConnected
	if ended.server.suspectUntil != before {
		e.emit(Noted{Server: ended.server.Server, Belief: "server_suspected", Detail: detail})
	}
}

// toleratedFailures in a row are taken for the requests' fault.
const toleratedFailures = 2

// ratio is a time relative to the median of the route.
func (e *Engine) ratio(route *routing.Route, took time.Duration) float64 {
	typical := e.typical(route)
	if typical <= 0 {
		return 1
	}
	return float64(took) / float64(typical)
}
