package scatter

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/latency"
)

// group is the servers of one service.
type group struct {
	service string
	servers []*server
	// connections bounds those to each server, of all routers together.
	connections int
	budget      extraBudget
	gatherers   Gatherers
	// took is the average time of the attempts at its servers.
	took latency.Average
	// waiting are calls for which no server had room.
	waiting []*call
}

// availability says why choose returned no server.
type availability uint8

const (
	available availability = iota
	// busy: all that may be used are at their limit.
	busy
	// absent: there is none.
	absent
)

// spare is the part of a server's connections that no router counts on, for
// those that are still closing.
const spareConnections = 2

// gathererPart is the part of what a shard's servers allow that is divided among
// its gatherers; the rest is for all routers, as any may stand in for another.
const gathererPart = 0.85

// share is this router's part of what servers allow all routers together. The
// parts of all routers add up to 1.
func (g Gatherers) share(routers int) float64 {
	equal := 1 / float64(max(1, routers))
	if g.Count <= 0 {
		return equal
	}
	part := (1 - gathererPart) * equal
	if g.Self {
		part += gathererPart / float64(g.Count)
	}
	return part
}

// connectionLimit is this router's share of the connections to one server.
func (g *group) connectionLimit(share float64) int {
	if g.connections <= 0 {
		return unlimitedConnections
	}
	return max(1, int(share*float64(g.connections-spareConnections)+roundingSlack))
}

// roundingSlack keeps a share that is just a limit from being taken for less.
const roundingSlack = 1e-9

const unlimitedConnections = 64

// attemptLimit bounds this router's attempts at one server: what its slots take
// and one that waits.
func (g *group) attemptLimit(now time.Time, candidate *server, share float64) int {
	limit := min(g.connectionLimit(share), max(1, candidate.Slots)+1)
	if candidate.condition(now) == onTrial {
		limit = 1
	}
	if candidate.crowded(now) {
		limit = min(limit, crowdedLimit(candidate, share))
	}
	if now.Before(candidate.connectionsUntil) {
		limit = min(limit, candidate.connections)
	}
	return limit
}

// crowdedSpare is how many attempts beyond its slots a server holds that has no
// slot free: enough to have work when one ends. What waits with the routers goes out
// in the order of its urgency; what waits at the server does not.
const crowdedSpare = 2

// crowdedLimit is this router's part of what a server without a free slot is given.
func crowdedLimit(candidate *server, share float64) int {
	return max(1, int(math.Ceil(share*float64(max(1, candidate.Slots)+crowdedSpare)-roundingSlack)))
}

// choose returns the server with the least expected delay among those that were
// not tried. It is a sound one, or one on trial, if there is any; else one that is too
// slow for what is due, one that is doubted, and one that could not be reached only where there is no other. A call
// waits for room at the better ones before it takes a worse one; for the end of a
// trial it waits only where there is nothing else. A sound one of the own zone goes
// before all others while it is expected to answer in good time.
func (g *group) choose(now time.Time, tried []*server, view choiceView) (*server, availability) {
	var best [conditions]*server
	var leastCost [conditions]float64
	var atLimit [conditions]bool
	var near *server
	nearCost := math.Inf(1)
	for _, candidate := range g.servers {
		if !candidate.usable() || slices.Contains(tried, candidate) {
			continue
		}
		condition := candidate.condition(now)
		if condition < tooSlow && view.late(now, candidate) {
			condition = tooSlow
		}
		if candidate.full(now) || len(candidate.inFlight) >= g.attemptLimit(now, candidate, view.share) {
			atLimit[condition] = true
			continue
		}
		if condition == onTrial {
			condition = sound
		}
		cost := candidate.cost(now, view.zone) * (1 + jitter*view.random.Float64())
		if cost < nearCost && condition == sound && candidate.Zone == view.zone && view.inGoodTime(now, candidate) {
			near, nearCost = candidate, cost
		}
		if best[condition] == nil || cost < leastCost[condition] {
			best[condition], leastCost[condition] = candidate, cost
		}
	}
	if near != nil {
		return near, available
	}
	for condition := range conditions {
		switch {
		case best[condition] != nil:
			return best[condition], available
		case atLimit[condition] && condition != onTrial:
			return nil, busy
		}
	}
	if atLimit[onTrial] {
		return nil, busy
	}
	return nil, absent
}

// full reports whether some server has just refused work for want of room.
func (g *group) full(now time.Time) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool { return s.usable() && s.full(now) })
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
	// ahead is what an attempt takes that is before it at a server.
	ahead time.Duration
}

// goodTimeShare is the part of the time left within which a server of the own zone is
// expected to answer for it to be taken whatever others would take: bytes between
// zones have a price, and an answer sooner than needed is worth no more.
const goodTimeShare = 0.4

// inGoodTime reports whether a server is expected to answer well before the part is
// due.
func (v choiceView) inGoodTime(now time.Time, candidate *server) bool {
	if v.left <= 0 || candidate.stalled(now) {
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
