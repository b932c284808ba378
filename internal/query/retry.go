package query

import (
	"time"

	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/verdict"
)

// retry decides how to proceed after a shard's last attempt in flight failed.
func (e *Engine) retry(r *request, index int, event AttemptFailed) {
	shard := &r.shards[index]
	if !shard.group.CanServe(r.version) {
		r.versionLost = true
		e.failShard(r, shard, event.Reason)
		return
	}
	if !e.mayRetry(r, shard, event) {
		e.failShard(r, shard, event.Reason)
		return
	}
	shard.retries++
	shard.retrying = true
	// An attempt refused for load is retried only on a server with a free slot:
	// anything else would add to the overload.
	overloaded := event.Reason == verdict.ReasonOverloaded && e.config.Tuning.limited()
	need := e.need(r, shard)
	need.FreeSlot = overloaded
	server, availability := e.pool.Choose(e.now, shard.group, need)
	switch {
	case availability == balancer.Available:
		e.send(r, index, server)
	case availability == balancer.Busy && !overloaded:
		e.enqueue(r, index)
	default:
		e.backOff(r, shard, event)
	}
}

// mayRetry reports whether the policy, the verdict and the budget allow another
// attempt, and spends its token.
func (e *Engine) mayRetry(r *request, shard *shardState, event AttemptFailed) bool {
	tuning, state := &e.config.Tuning, r.route.service.state
	if !tuning.extraAttempts() || int(shard.retries) >= r.route.Policy.Retry.MaxPerShard {
		return false
	}
	if !r.repeatable() && event.Verdict != verdict.NotRun {
		return false
	}
	if tuning.unbudgeted() {
		return true
	}
	overloaded := event.Reason == verdict.ReasonOverloaded || event.Reason == verdict.ReasonTimeout
	if overloaded && e.now.Before(state.overloadedUntil) {
		return false
	}
	return state.retries.Spend()
}

// backOff delays the retry of a shard whose replicas were all tried or are all busy,
// if there is time left for it.
func (e *Engine) backOff(r *request, shard *shardState, event AttemptFailed) {
	due := e.now.Add(max(r.route.Policy.Retry.Backoff, event.RetryAfter, minPostponement))
	if !due.Before(r.decideBy) {
		e.failShard(r, shard, event.Reason)
		return
	}
	shard.phase = shardBackingOff
	r.setDue(shard, due)
}

// restart restarts the complete request on another snapshot after a shard has lost
// the version of its own. All parts are discarded, since an answer is never drawn
// from two snapshots. It returns false if the request has to end with what its own
// snapshot still provides.
func (e *Engine) restart(r *request) bool {
	if r.restarts >= e.config.Tuning.MaxRestarts || !e.config.Tuning.extraAttempts() || !r.safeToRepeat() {
		return false
	}
	pinned, found := e.pinSnapshot(r.route, r.Key)
	if !found || !r.improvedBy(pinned) || r.decideBy.Sub(e.now) < pinned.typicalLatency(r) {
		return false
	}
	// A server that refused the version did no work. The extra load is that of the
	// discarded parts.
	if !e.config.Tuning.unbudgeted() && !r.route.service.state.retries.Borrow(r.covered+r.outstanding) {
		return false
	}
	e.record(journal.Event{
		Kind: journal.KindSnapshotRestarted, Service: r.partition.Service, Detail: r.route.Name,
	})
	r.restarts++
	r.mayHaveRun = r.mayHaveRun || r.outstanding > 0
	for index := range r.shards {
		e.dequeue(r, &r.shards[index])
		e.cancelShard(r, &r.shards[index])
	}
	e.detachAttempts(r)
	e.renewSequence(r)
	r.setTarget(pinned)
	for index := range r.shards {
		r.shards[index].retrying = true
	}
	e.scatter(r)
	return true
}

// renewSequence invalidates the request's timers and waiters from before a restart.
func (e *Engine) renewSequence(r *request) {
	e.sequence++
	r.sequence = e.sequence
	r.due = time.Time{}
}

// safeToRepeat reports whether what was sent so far may be sent again.
func (r *request) safeToRepeat() bool {
	return r.repeatable() || r.currentVerdict() == verdict.NotRun
}

// improvedBy reports whether another snapshot now covers more shards than the
// request's own.
func (r *request) improvedBy(pinned pin) bool {
	if r.route.Target == plan.TargetKey {
		return true
	}
	return pinned.partition.coverageOf(pinned.version) > r.partition.coverageOf(r.version)
}

// typicalLatency is the typical latency of the snapshot's slowest target shard.
func (p pin) typicalLatency(r *request) time.Duration {
	groups := p.partition.Groups
	if r.route.Target == plan.TargetKey {
		groups = groups[ShardOfKey(r.Key, len(groups)):][:1]
	}
	var longest time.Duration
	for _, group := range groups {
		longest = max(longest, group.Typical())
	}
	return longest
}
