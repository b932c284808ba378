package query

import (
	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/verdict"
)

// partArrived processes a reply. A part is accepted only if the back end's echo
// proves that it answers this request, shard and snapshot.
func (e *Engine) partArrived(event PartArrived) {
	entry := e.attempts.get(event.Attempt)
	if entry == nil {
		return
	}
	if !entry.matchesEcho(event.Echo) {
		e.recordBadEcho(entry)
		e.failAttempt(AttemptFailed{
			Attempt: event.Attempt, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonBadEcho, Report: event.Report,
		})
		return
	}
	ended := e.completeAttempt(event.Attempt, event.Report)
	e.pool.Finish(e.now, ended.group, ended.server, balancer.Result{
		Outcome: balancer.Answered, Elapsed: e.now.Sub(ended.sent),
	})
	if event.Report.replacesProbe() {
		e.pool.ObserveServing(ended.server, ended.sent)
	}
	if r := ended.request; r != nil {
		r.ran = true
		e.addPart(r, ended, event)
	}
	e.dispatchWaiting(ended.server)
}

// matchesEcho compares the echo with the query that was sent. An attempt without a
// request is not compared: its part is dropped anyway.
func (a *attempt) matchesEcho(echo Echo) bool {
	r := a.request
	if r == nil {
		return true
	}
	return echo.Request == r.CallerID && echo.Shard == a.group.Shard &&
		echo.Generation == a.generation && echo.Version == a.version && echo.RequestDigest == r.BodyDigest
}

func (e *Engine) recordBadEcho(entry *attempt) {
	e.record(journal.Event{
		Kind: journal.KindBadEcho, Service: entry.group.Generation().Service, Shard: entry.group.Name,
		Address: entry.server.Address.String(),
	})
}

// addPart adds a part to a request that still needs it and cancels the shard's other
// attempts.
func (e *Engine) addPart(r *request, ended attempt, event PartArrived) {
	if r.phase != phaseRunning {
		e.settleClaimIfResolved(r)
		return
	}
	shard := &r.shards[ended.shard]
	if !shard.isOpen() {
		return
	}
	shard.phase = shardCovered
	shard.items = event.Part.Items
	shard.elapsed = e.now.Sub(r.arrived)
	r.open--
	r.covered++
	e.cancelShard(r, shard)
	e.advanceRequest(r)
}

// completeAttempt removes an attempt from the table and applies what its reply
// reports about the server.
func (e *Engine) completeAttempt(id AttemptID, report Report) attempt {
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

// attemptFailed processes the end of an attempt without a part.
func (e *Engine) attemptFailed(event AttemptFailed) {
	if e.attempts.get(event.Attempt) != nil {
		e.failAttempt(event)
	}
}

func (e *Engine) failAttempt(event AttemptFailed) {
	ended := e.completeAttempt(event.Attempt, event.Report)
	e.observeFailure(ended, event)
	e.pool.Finish(e.now, ended.group, ended.server, balancer.Result{
		Outcome: outcomeOf(ended, event), Elapsed: e.now.Sub(ended.sent),
	})
	if r := ended.request; r != nil {
		r.ran = r.ran || event.Verdict == verdict.Ran
		r.mayHaveRun = r.mayHaveRun || event.Verdict != verdict.NotRun
		e.retryOrFail(r, ended, event)
	}
	e.dispatchWaiting(ended.server)
}

// observeFailure applies what a refusal reveals about the server.
func (e *Engine) observeFailure(ended attempt, event AttemptFailed) {
	switch event.Reason {
	case verdict.ReasonDraining:
		e.pool.ObserveDrain(e.now, ended.server)
	case verdict.ReasonSnapshotGone:
		e.pool.Deny(e.now, ended.server, ended.group, ended.version)
	}
}

// outcomeOf maps a failure to its meaning for the server. An attempt that this engine
// canceled reveals nothing further: its elapsed time was observed at that point.
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

// retryOrFail decides how to proceed after a failed attempt of a shard.
func (e *Engine) retryOrFail(r *request, ended attempt, event AttemptFailed) {
	if r.phase != phaseRunning {
		e.settleClaimIfResolved(r)
		return
	}
	shard := &r.shards[ended.shard]
	if !shard.isOpen() || shard.inFlightCount > 0 || shard.phase != shardSent {
		return
	}
	shard.reason = event.Reason
	e.retry(r, ended.shard, event)
	e.advanceRequest(r)
}

// cancelShard cancels the attempts of a shard that are no longer needed.
func (e *Engine) cancelShard(r *request, shard *shardState) {
	for _, id := range shard.inFlight[:shard.inFlightCount] {
		entry := e.attempts.get(id)
		if entry.canceled {
			continue
		}
		entry.canceled = true
		e.pool.ObserveCancel(e.now, entry.group, entry.server, e.now.Sub(entry.sent))
		e.emit(Cancel{Attempt: id, Address: entry.server.Address})
	}
}

// detachAttempts removes the request from its attempts in flight.
func (e *Engine) detachAttempts(r *request) {
	for index := range r.shards {
		shard := &r.shards[index]
		for _, id := range shard.inFlight[:shard.inFlightCount] {
			e.attempts.get(id).request = nil
		}
		shard.inFlightCount = 0
	}
	r.outstanding = 0
}
