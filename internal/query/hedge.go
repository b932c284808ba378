package query

import (
	"time"

	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/plan"
)

const (
	// leastObservations is the weight of observations from which a shard's
	// quantile is used; before, the policy's longest delay is.
	leastObservations = 20
	// leastPostponement is the pause before a hedge that was due but could not
	// be sent is looked at again.
	leastPostponement = time.Millisecond
	// rescueShare is the part of a hedge budget's burst that is kept for shards
	// whose attempts are at suspect servers, see keptForRescue.
	rescueShare = 0.8
)

// shardsDue takes the decisions of shards whose time has come.
func (e *Engine) shardsDue(r *request) {
	for index := range r.shards {
		shard := &r.shards[index]
		if !shard.isOpen() || shard.due.IsZero() || shard.due.After(e.now) {
			continue
		}
		shard.due = time.Time{}
		if shard.phase == shardPausing {
			// The pause gave every replica time to recover.
			shard.triedSize = 0
			e.place(r, index)
			continue
		}
		e.observeSlow(shard)
		e.hedge(r, index)
	}
}

// observeSlow tells the balancer that the shard's attempts take longer than
// most do, so that new work avoids their servers long before they answer.
func (e *Engine) observeSlow(shard *shardState) {
	for _, id := range shard.out[:shard.outCount] {
		entry := e.attempts.get(id)
		e.pool.ObserveSlow(e.now, entry.group, entry.server, e.now.Sub(entry.sent))
	}
}

// hedgeTime is when a hedge of the shard is due; zero for never. A request
// that runs at most once is never hedged.
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

// hedgeDelay is the shard's latency quantile within the policy's bounds (Dean
// and Barroso, "The Tail at Scale", 2013). A shard that is not known well yet
// is taken for one like the others of its shard map. 0 means that nothing is
// known.
func hedgeDelay(hedge *plan.Hedge, group *balancer.Group) time.Duration {
	known := group.Latency
	if known.Count() < leastObservations {
		known = group.Generation().Latency
	}
	if known.Count() < leastObservations {
		return hedge.Most
	}
	delay := max(known.Quantile(hedge.Quantile), hedge.Least)
	if hedge.Most > 0 {
		delay = min(delay, hedge.Most)
	}
	return delay
}

// hedge sends a second attempt to another replica, if that costs others
// nothing: a token must be there, and a free slot, and nobody who waits.
func (e *Engine) hedge(r *request, index int) {
	shard := &r.shards[index]
	if shard.outCount >= maxAttemptsOut {
		return
	}
	rescue := e.isRescue(shard)
	if !e.mayHedge(r, shard, rescue) {
		e.postponeHedge(r, shard)
		return
	}
	server, availability := e.pool.Choose(e.now, shard.group, balancer.Need{
		Version: r.version, Tried: shard.triedServers(), Spare: e.config.Tuning.limited() && !rescue,
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

// isRescue reports whether all attempts of the shard are at servers that have
// become suspect. Their places are lost as it is: a hedge then stands for the
// attempt that a good server would have got, and competes like a first one.
func (e *Engine) isRescue(shard *shardState) bool {
	for _, id := range shard.out[:shard.outCount] {
		if !e.attempts.get(id).server.Suspect() {
			return false
		}
	}
	return true
}

func (e *Engine) mayHedge(r *request, shard *shardState, rescue bool) bool {
	if e.config.Tuning.unbudgeted() {
		return true
	}
	state := r.route.service.state
	kept := 0.0
	if !rescue {
		kept = keptForRescue(r.route)
	}
	return state.hedges.Tokens() >= 1+kept && !e.now.Before(state.overloadedUntil) &&
		(rescue || r.partition.queues[shard.group.Index()].Waiting() == 0)
}

// keptForRescue is how many tokens ordinary hedges leave for rescues. Hedging
// at a quantile q takes a token for a share 1 - q of all attempts. Where that
// is all that the budget earns, nothing would be left for servers that stall.
func keptForRescue(route *routeView) float64 {
	limits := route.service.definition.HedgeBudget
	const rounding = 1e-9
	if limits.Ratio > 1-route.Policy.Hedge.Quantile+rounding {
		return 0
	}
	return rescueShare * max(0, limits.Burst-1)
}

// postponeHedge looks at the hedge again after part of the typical latency.
func (e *Engine) postponeHedge(r *request, shard *shardState) {
	r.setDue(shard, e.now.Add(max(shard.group.Typical()/2, leastPostponement)))
}
