package scatter

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/martenstage/martenstage/internal/evacuation"
	"github.com/martenstage/martenstage/internal/rollout"
)

// choose returns the server with the least expected delay among those that a call has not
// tried. It is a sound one, or one on trial, if there is any; else one that is too slow
// for what is due, else one that the directory misses, else one that is doubted, and one
// that could not be reached only where there is no other. A call waits for room at the
// better ones before it takes a worse one; for the end of a trial it waits only where
// there is nothing else. A sound one of the own zone goes before all others while it is
// expected to answer in good time.
func (g *group) choose(now time.Time, called *call, view choiceView) (*server, availability) {
	found := choice{nearCost: math.Inf(1)}
	for _, candidate := range g.servers {
		if !candidate.usable() || called.hasTried(candidate) || view.evacuated.Empty(now, candidate.Zone, candidate.Service) || !view.rule.Allows(view.side, candidate.Version) {
			continue
		}
		if candidate.withheldCold(now, view.cold) {
			continue
		}
		condition := view.condition(now, candidate)
		if candidate.full(now) || len(candidate.inFlight) >= g.attemptLimit(now, candidate, view.share) {
			found.atLimit[condition] = true
			continue
		}
		found.consider(now, candidate, condition, view)
	}
	return found.result()
}

// choice is what was found among the servers of a group.
type choice struct {
	// best and leastCost are of the servers that have room, by condition.
	best      [conditions]*server
	leastCost [conditions]float64
	// atLimit says that a server of a condition has no room.
	atLimit [conditions]bool
	// near is the best server of the own zone that answers in good time.
	near     *server
	nearCost float64
}

// consider takes in a server that has room.
func (c *choice) consider(now time.Time, candidate *server, condition condition, view choiceView) {
	if condition == onTrial {
		condition = sound
	}
	cost := candidate.cost(now, view.zone) * (1 + jitter*view.random.Float64())
	if cost < c.nearCost && condition == sound && candidate.Zone == view.zone && view.inGoodTime(now, candidate) {
		c.near, c.nearCost = candidate, cost
	}
	if c.best[condition] == nil || cost < c.leastCost[condition] {
		c.best[condition], c.leastCost[condition] = candidate, cost
	}
}

// result returns the server to take, or why there is none.
func (c *choice) result() (*server, availability) {
	if c.near != nil {
		return c.near, available
	}
	for condition := range conditions {
		switch {
		case c.best[condition] != nil:
			return c.best[condition], available
		case condition == tooSlow && c.best[missing] != nil:
			// Its answer may still be in time, that of a slow one can't.
		case c.atLimit[condition] && condition != onTrial:
			return nil, busy
		}
	}
	if c.atLimit[onTrial] {
		return nil, busy
	}
	return nil, absent
}

// jitter spreads equal costs, so that routers do not herd.
const jitter = 0.15

// choiceView is what a choice depends on beside the group.
type choiceView struct {
	zone string
	// share is this router's part of what the servers allow.
	share  float64
	random *rand.Rand
	// left is the time until the part is due, 0 if that does not matter any more;
	// typical is that of the route's attempts.
	left    time.Duration
	typical time.Duration
	// evacuated says which servers get nothing by an operator's order.
	evacuated evacuation.View
	// cold is this router's part of what cold servers bear.
	cold coldShare
	// rule and side say which versions a roll-out allows.
	rule rollout.Rule
	side rollout.Side
	// ahead is what an attempt takes that is before it at a server.
	ahead time.Duration
}

// condition is that of a server for the call of this choice.
func (v choiceView) condition(now time.Time, candidate *server) condition {
	condition := candidate.condition(now)
	if condition < tooSlow && v.late(now, candidate) {
		return tooSlow
	}
	return condition
}

// goodTimeShare is the part of the time left within which a server of the own zone is
// expected to answer for it to be taken whatever others would take: bytes between
// zones have a price, and an answer sooner than needed is worth no more.
const goodTimeShare = 0.4

// inGoodTime reports whether a server is expected to answer well before the part is
// due.
func (v choiceView) inGoodTime(now time.Time, candidate *server) bool {
	if v.left <= 0 || candidate.stalled(now) || candidate.lossy(now) || candidate.refusing(now) {
		return false
	}
	ahead := max(0, candidate.load(now)+1-float64(max(1, candidate.Slots))) / float64(max(1, candidate.Slots))
	work := candidate.currentPace(now) * float64(v.typical)
	if now.Before(candidate.WarmAt) {
		work *= coldCost
	}
	return work+ahead*float64(v.ahead) <= goodTimeShare*float64(v.left)
}

// late reports whether a server is not expected to answer by the time that the part
// is due: it is too slow, or pauses.
func (v choiceView) late(now time.Time, candidate *server) bool {
	if v.left <= 0 {
		return false
	}
	return candidate.currentPace(now)*float64(v.typical) > float64(v.left) || candidate.stalled(now)
}
