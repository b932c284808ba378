package query

import (
	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/verdict"
)

// partArrived takes in a reply. A part counts only if the back end's echo
// proves that it answers this request, shard and snapshot.
func (e *Engine) partArrived(event PartArrived) {
	entry := e.attempts.get(event.Attempt)
	if entry == nil {
		return
	}
	if !entry.verifies(event.Echo) {
		e.rejectEcho(entry)
		e.endAttempt(AttemptFailed{
			Attempt: event.Attempt, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonBadEcho, Report: event.Report,
		})
		return
	}
	ended := e.takeAttempt(event.Attempt, event.Report)
	e.pool.Finish(e.now, ended.group, ended.server, balancer.Result{
		Outcome: balancer.Answered, Elapsed: e.now.Sub(ended.sent),
	})
	if event.Report.observes() {
		e.pool.ObserveServing(ended.server, ended.sent)
	}
	if r := ended.request; r != nil {
		r.ran = true
		e.cover(r, ended, event)
	}
	e.serveWaiting(ended.server)
}

// verifies compares the echo with what was asked. An attempt that nobody
// waits for is not compared: its part is dropped anyway.
func (a *attempt) verifies(echo Echo) bool {
	r := a.request
	if r == nil {
		return true
	}
	return echo.Request == r.CallerID && echo.Shard == a.group.Shard &&
		echo.Generation == a.generation && echo.Version == a.version && echo.RequestDigest == r.BodyDigest
}

func (e *Engine) rejectEcho(entry *attempt) {
	e.record(journal.Event{
		Kind: journal.KindBadEcho, Service: entry.group.Generation().Service, Shard: entry.group.Name,
		Address: entry.server.Address.String(),
	})
}

// cover takes a part into a request that still wants it and ends the shard's
// other attempts.
func (e *Engine) cover(r *request, ended attempt, event PartArrived) {
	if r.phase != phaseRunning {
		e.settleIfKnown(r)
		return
	}
	shard := &r.shards[ended.shard]
	if !shard.isOpen() {
		return
	}
	shard.phase = shardCovered
	shard.items = event.Part.Items
	shard.took = e.now.Sub(r.arrived)
	r.open--
	r.covered++
	e.cancelShard(r, shard)
	e.settleEvent(r)
}

// takeAttempt ends an attempt's entry and takes in what its reply said about
// the server.
func (e *Engine) takeAttempt(id AttemptID, report Report) attempt {
	ended := *e.attempts.get(id)
	e.attempts.remove(id)
	if r := ended.request; r != nil {
		r.outstanding--
		r.shards[ended.shard].removeAttempt(id)
	}
	if report.Known {
		e.pool.ObserveLoad(e.now, ended.server, report.Load)
		if report.Draining {
			e.pool.ObserveDrain(e.now, ended.server)
		}
	}
	return ended
}

// attemptFailed takes in the end of an attempt without a part.
func (e *Engine) attemptFailed(event AttemptFailed) {
	if e.attempts.get(event.Attempt) != nil {
		e.endAttempt(event)
	}
}

func (e *Engine) endAttempt(event AttemptFailed) {
	ended := e.takeAttempt(event.Attempt, event.Report)
	e.observeFailure(ended, event)
	e.pool.Finish(e.now, ended.group, ended.server, balancer.Result{
		Outcome: outcomeOf(ended, event), Elapsed: e.now.Sub(ended.sent),
	})
	if r := ended.request; r != nil {
		r.ran = r.ran || event.Verdict == verdict.Ran
		r.doubtful = r.doubtful || event.Verdict != verdict.NotRun
		e.continueShard(r, ended, event)
	}
	e.serveWaiting(ended.server)
}

// observeFailure takes in what a refusal says about the server.
func (e *Engine) observeFailure(ended attempt, event AttemptFailed) {
	switch event.Reason {
	case verdict.ReasonDraining:
		e.pool.ObserveDrain(e.now, ended.server)
	case verdict.ReasonSnapshotGone:
		e.pool.Deny(e.now, ended.server, ended.group, ended.version)
	}
}

// outcomeOf says what a failure means for the server. An attempt that this
// engine cancelled says nothing: its age was taken in then.
func outcomeOf(ended attempt, event AttemptFailed) balancer.Outcome {
	if ended.canceled {
		return balancer.Refused
	}
	switch event.Reason {
	case verdict.ReasonDraining, verdict.ReasonSnapshotGone, verdict.ReasonNoReplica, verdict.ReasonCanceled:
		return balancer.Refused
	case verdict.ReasonOverloaded, verdict.ReasonTimeout, verdict.ReasonDeadlinePassed:
		return balancer.Overloaded
	default:
		return balancer.Failed
	}
}

// continueShard decides what follows a failed attempt of a shard.
func (e *Engine) continueShard(r *request, ended attempt, event AttemptFailed) {
	if r.phase != phaseRunning {
		e.settleIfKnown(r)
		return
	}
	shard := &r.shards[ended.shard]
	if !shard.isOpen() || shard.outCount > 0 || shard.phase != shardSent {
		return
	}
	shard.reason = event.Reason
	e.retry(r, ended.shard, event)
	e.settleEvent(r)
}

// cancelShard ends the attempts of a shard that nobody waits for any more.
func (e *Engine) cancelShard(r *request, shard *shardState) {
	for _, id := range shard.out[:shard.outCount] {
		entry := e.attempts.get(id)
		if entry.canceled {
			continue
		}
		entry.canceled = true
		e.pool.ObserveCancel(e.now, entry.group, entry.server, e.now.Sub(entry.sent))
		e.emit(Cancel{Attempt: id, Address: entry.server.Address})
	}
}

// detachAttempts forgets the request of attempts whose outcome has not come.
func (e *Engine) detachAttempts(r *request) {
	for index := range r.shards {
		shard := &r.shards[index]
		for _, id := range shard.out[:shard.outCount] {
			e.attempts.get(id).request = nil
		}
		shard.outCount = 0
	}
	r.outstanding = 0
}
