package query

import (
	"time"

	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/plan"
)

const (
	// minObservations is the weight of observations from which a shard's quantile is
	// used; below it, the policy's longest delay is used.
	minObservations = 20
	// minPostponement is the minimum delay before a hedge that was due but could not
	// be sent is considered again.
	minPostponement = time.Millisecond
	// suspectReserveShare is the part of a hedge budget's burst that is reserved for
	// shards whose attempts are at suspect servers, see reservedHedgeTokens.
	suspectReserveShare = 0.8
)

// processDueShards sends the retries and hedges of shards whose due time has come.
func (e *Engine) processDueShards(r *request) {
	for index := range r.shards {
		shard := &r.shards[index]
		if !shard.isOpen() || shard.due.IsZero() || shard.due.After(e.now) {
			continue
		}
		shard.due = time.Time{}
		if shard.phase == shardBackingOff {
			// The backoff gave every replica time to recover.
			shard.triedCount = 0
			e.dispatchShard(r, index)
			continue
		}
		e.observeSlow(shard)
		e.hedge(r, index)
	}
}

// observeSlow reports to the balancer that the shard's attempts take longer than
// most, so that new work avoids their servers long before they reply.
func (e *Engine) observeSlow(shard *shardState) {
	for _, id := range shard.inFlight[:shard.inFlightCount] {
		entry := e.attempts.get(id)
		e.pool.ObserveSlow(e.now, entry.group, entry.server, e.now.Sub(entry.sent))
	}
}

// hedgeTime returns when a hedge of the shard is due; zero for never. A request that
// runs at most once is never hedged.
func (e *Engine) hedgeTime(r *request, shard *shardState) time.Time {
	tuning, hedge := &e.config.Tuning, &r.route.Policy.Hedge
	if !tuning.extraAttempts() || r.route.Policy.Once {
		return time.Time{}
	}
	if tuning.Variant == VariantHedgeFixed {
		if shard.hedges > 0 {
			return time.Time{}
		}
		return e.now.Add(tuning.FixedHedgeDelay)
	}
	if hedge.Quantile <= 0 || int(shard.hedges) >= hedge.MaxPerShard {
		return time.Time{}
	}
	delay := hedgeDelay(hedge, shard.group)
	if delay <= 0 {
		return time.Time{}
	}
	return e.now.Add(delay)
}

// hedgeDelay is the shard's latency quantile within the policy's bounds (Dean and
// Barroso, "The Tail at Scale", 2013). A shard with too few observations uses the
// latency of its complete shard map. 0 disables the hedge.
func hedgeDelay(hedge *plan.Hedge, group *balancer.Group) time.Duration {
	known := group.Latency
	if known.Count() < minObservations {
		known = group.Generation().Latency
	}
	if known.Count() < minObservations {
		return hedge.MaxDelay
	}
	delay := max(known.Quantile(hedge.Quantile), hedge.MinDelay)
	if hedge.MaxDelay > 0 {
		delay = min(delay, hedge.MaxDelay)
	}
	return delay
}

// hedge sends a second attempt to another replica if that delays no other request: it
// needs a budget token, a free slot and an empty queue.
func (e *Engine) hedge(r *request, index int) {
	shard := &r.shards[index]
	if shard.inFlightCount >= maxInFlightPerShard {
		return
	}
	suspect := e.allAttemptsSuspect(shard)
	if !e.mayHedge(r, shard, suspect) {
		e.postponeHedge(r, shard)
		return
	}
	server, availability := e.pool.Choose(e.now, shard.group, balancer.Need{
		Version: r.version, Tried: shard.triedServers(), FreeSlot: e.config.Tuning.limited() && !suspect,
	})
	switch availability {
	case balancer.Available:
		if !e.config.Tuning.unbudgeted() {
			r.route.service.state.hedges.Spend()
		}
		shard.hedges++
		e.send(r, index, server)
	case balancer.Busy:
		e.postponeHedge(r, shard)
	case balancer.Unavailable:
	}
}

// allAttemptsSuspect reports whether all attempts of the shard are at servers that
// have become suspect. Their slots are lost anyway: such a hedge replaces the attempt
// that a healthy server would have received, and is scheduled like a first attempt.
func (e *Engine) allAttemptsSuspect(shard *shardState) bool {
	for _, id := range shard.inFlight[:shard.inFlightCount] {
		if !e.attempts.get(id).server.Suspect() {
			return false
		}
	}
	return true
}

func (e *Engine) mayHedge(r *request, shard *shardState, suspect bool) bool {
	if e.config.Tuning.unbudgeted() {
		return true
	}
	state := r.route.service.state
	reserved := 0.0
	if !suspect {
		reserved = reservedHedgeTokens(r.route)
	}
	return state.hedges.Tokens() >= 1+reserved && !e.now.Before(state.overloadedUntil) &&
		(suspect || r.partition.queues[shard.group.Index()].Waiting() == 0)
}

// reservedHedgeTokens is the number of tokens that ordinary hedges leave for shards
// at suspect servers. Hedging at a quantile q spends a token for a share 1 - q of all
// attempts. If the budget earns no more than that, nothing would be left for servers
// that stall.
func reservedHedgeTokens(route *routeView) float64 {
	limits := route.service.definition.HedgeBudget
	const rounding = 1e-9
	if limits.Ratio > 1-route.Policy.Hedge.Quantile+rounding {
		return 0
	}
	return suspectReserveShare * max(0, limits.Burst-1)
}

// postponeHedge reconsiders the hedge after half of the typical latency.
func (e *Engine) postponeHedge(r *request, shard *shardState) {
	r.setDue(shard, e.now.Add(max(shard.group.Typical()/2, minPostponement)))
}
