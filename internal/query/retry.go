package query

import (
	"time"

	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/verdict"
)

// retry decides what follows the failure of a shard's last attempt.
func (e *Engine) retry(r *request, index int, event AttemptFailed) {
	shard := &r.shards[index]
	if !shard.group.CanServe(r.version) {
		r.vanished = true
		e.failShard(r, shard, event.Reason)
		return
	}
	if !e.mayRetry(r, shard, event) {
		e.failShard(r, shard, event.Reason)
		return
	}
	shard.retries++
	shard.again = true
	// A refusal for load is sent again only to a server with a free slot:
	// anything else would add to the overload that it tells of.
	fromLoad := event.Reason == verdict.ReasonOverloaded && e.config.Tuning.limited()
	need := e.need(r, shard)
	need.Spare = fromLoad
	server, availability := e.pool.Choose(e.now, shard.group, need)
	switch {
	case availability == balancer.Available:
		e.send(r, index, server)
	case availability == balancer.Busy && !fromLoad:
		e.enqueue(r, index)
	default:
		e.pause(r, shard, event)
	}
}

// mayRetry reports whether the policy, the verdict and the budget allow another
// attempt, and takes the token for it.
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
	fromLoad := event.Reason == verdict.ReasonOverloaded || event.Reason == verdict.ReasonTimeout
	if fromLoad && e.now.Before(state.overloadedUntil) {
		return false
	}
	return state.retries.Spend()
}

// pause lets a shard whose replicas were all tried, or are all busy, try again
// a little later, if that is still in time.
func (e *Engine) pause(r *request, shard *shardState, event AttemptFailed) {
	due := e.now.Add(max(r.route.Policy.Retry.Backoff, event.RetryAfter, leastPostponement))
	if !due.Before(r.decideBy) {
		e.failShard(r, shard, event.Reason)
		return
	}
	shard.phase = shardPausing
	r.setDue(shard, due)
}

// restart starts a request over as a whole on another snapshot, after its own
// has vanished from a shard. All parts are discarded, since an answer is never
// drawn from two snapshots. It reports false where the request has to end with
// what its own snapshot still gives.
func (e *Engine) restart(r *request) bool {
	if r.restarts >= e.config.Tuning.MaxRestarts || !e.config.Tuning.extraAttempts() || !r.harmlessToRepeat() {
		return false
	}
	pinned, found := e.pinSnapshot(r.route, r.Key)
	if !found || !r.improvedBy(pinned) || r.decideBy.Sub(e.now) < pinned.typical(r) {
		return false
	}
	// What refused the version has done no work. The extra load is that of the
	// parts that are thrown away.
	if !e.config.Tuning.unbudgeted() && !r.route.service.state.retries.Borrow(r.covered+r.outstanding) {
		return false
	}
	e.record(journal.Event{
		Kind: journal.KindSnapshotRestarted, Service: r.partition.Service, Detail: r.route.Name,
	})
	r.restarts++
	r.doubtful = r.doubtful || r.outstanding > 0
	for index := range r.shards {
		e.leaveQueue(r, &r.shards[index])
		e.cancelShard(r, &r.shards[index])
	}
	e.detachAttempts(r)
	e.renumber(r)
	r.target(pinned)
	for index := range r.shards {
		r.shards[index].again = true
	}
	e.scatter(r)
	return true
}

// renumber makes timers and waiters of the request's earlier life void.
func (e *Engine) renumber(r *request) {
	e.sequence++
	r.sequence = e.sequence
	r.due = time.Time{}
}

// harmlessToRepeat reports whether what was sent so far may be sent again.
func (r *request) harmlessToRepeat() bool {
	return r.repeatable() || r.verdictNow() == verdict.NotRun
}

// improvedBy reports whether another snapshot covers more than the request's
// own does now.
func (r *request) improvedBy(pinned pin) bool {
	if r.route.Target == plan.TargetKey {
		return true
	}
	return pinned.partition.coverageOf(pinned.version) > r.partition.coverageOf(r.version)
}

// typical is how long the snapshot's slowest target shard usually takes.
func (p pin) typical(r *request) time.Duration {
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
