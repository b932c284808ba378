package scatter

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/martenstage/martenstage/internal/evacuation"
	"github.com/martenstage/martenstage/internal/rollout"
)

// choose returns the server with the lowest expected cost among those that the call has not
// tried. Servers are preferred by condition: healthy or on probation first, then too slow for
// the due time, then missing from the directory, then suspected; an unreachable one is used
// only if there is no other. A call waits for capacity at servers in a better condition before
// it uses one in a worse condition; it waits for a server on probation only if there is no
// other. A healthy server of the router's own zone that is expected to answer well before the
// due time is chosen before all others.
func (g *group) choose(now time.Time, c *call, view choiceView) (*server, availability) {
	found := choice{localCost: math.Inf(1)}
	for _, candidate := range g.servers {
		if !candidate.usable() || c.hasTried(candidate) || view.evacuated.Evacuated(now, candidate.Zone, candidate.Service) || !view.rule.Allows(view.side, candidate.Version) {
			continue
		}
		if candidate.coldLimited(now, view.cold) {
			continue
		}
		condition := view.condition(now, candidate)
		if candidate.full(now) || len(candidate.inFlight) >= g.attemptLimit(now, candidate, view.share) {
			found.atLimit[condition] = true
			continue
		}
		if view.explores && candidate.ownCondition(now) <= probation && candidate.exploreDue(now) {
			return candidate, available
		}
		found.consider(now, candidate, condition, view)
	}
	return found.result()
}

// choice accumulates the candidates among the servers of a group.
type choice struct {
	// best and leastCost describe, by condition, the cheapest server that has capacity.
	best      [conditionCount]*server
	leastCost [conditionCount]float64
	// atLimit reports whether a server in a condition has no capacity.
	atLimit [conditionCount]bool
	// local is the cheapest server of the own zone that is expected to answer well before the
	// due time.
	local     *server
	localCost float64
}

// consider adds a server that has capacity.
func (c *choice) consider(now time.Time, candidate *server, condition condition, view choiceView) {
	if condition == probation {
		condition = healthy
	}
	cost := candidate.cost(now, view.zone) * (1 + jitter*view.random.Float64())
	if cost < c.localCost && condition == healthy && candidate.Zone == view.zone && view.expectedEarly(now, candidate) {
		c.local, c.localCost = candidate, cost
	}
	if c.best[condition] == nil || cost < c.leastCost[condition] {
		c.best[condition], c.leastCost[condition] = candidate, cost
	}
}

// result returns the chosen server, or the reason why there is none.
func (c *choice) result() (*server, availability) {
	if c.local != nil {
		return c.local, available
	}
	for condition := range conditionCount {
		switch {
		case c.best[condition] != nil:
			return c.best[condition], available
		case condition == tooSlow && c.best[missing] != nil:
			// A missing server may still answer in time; a slow one can't.
		case c.atLimit[condition] && condition != probation:
			return nil, busy
		}
	}
	if c.atLimit[probation] {
		return nil, busy
	}
	return nil, absent
}

// jitter randomizes similar costs, so that routers don't all choose the same server.
const jitter = 0.15

// choiceView holds the inputs of a choice other than the group.
type choiceView struct {
	zone string
	// share is this router's share of what the servers allow.
	share  float64
	random *rand.Rand
	// timeLeft is the time until the part is due, 0 if there is no due time or it has passed;
	// typicalTime is the median duration of the route's attempts.
	timeLeft    time.Duration
	typicalTime time.Duration
	// evacuated determines which servers get no work by an operator's order.
	evacuated evacuation.View
	// cold is this router's share of the request rate of cold servers.
	cold coldShare
	// rule and side determine which versions a rollout allows.
	rule rollout.Rule
	side rollout.Side
	// queueTime is the expected time for each attempt queued ahead at a server.
	queueTime time.Duration
	// explores says that the call may find out whether a server in trouble has recovered.
	explores bool
}

// condition returns the condition of a server for this call.
func (v choiceView) condition(now time.Time, candidate *server) condition {
	condition := candidate.condition(now)
	if condition < tooSlow && v.expectedLate(now, candidate) {
		return tooSlow
	}
	return condition
}

// localTimeShare is the share of the remaining time within which a server of the own zone must
// be expected to answer to be chosen regardless of cost: traffic between zones is billed, and
// an earlier answer than needed has no further value.
const localTimeShare = 0.4

// expectedEarly reports whether a server is expected to answer well before the due time.
func (v choiceView) expectedEarly(now time.Time, candidate *server) bool {
	if v.timeLeft <= 0 || candidate.stalled(now) || candidate.lossy(now) || candidate.refusing(now) {
		return false
	}
	ahead := max(0, candidate.load(now)+1-float64(max(1, candidate.Slots))) / float64(max(1, candidate.Slots))
	work := candidate.expectedPace(now) * float64(v.typicalTime)
	if now.Before(candidate.WarmAt) {
		work *= coldCost
	}
	return work+ahead*float64(v.queueTime) <= localTimeShare*float64(v.timeLeft)
}

// expectedLate reports whether a server is not expected to answer by the due time, because it
// is too slow or stalled.
func (v choiceView) expectedLate(now time.Time, candidate *server) bool {
	if v.timeLeft <= 0 {
		return false
	}
	return candidate.expectedPace(now)*float64(v.typicalTime) > float64(v.timeLeft) || candidate.stalled(now)
}
