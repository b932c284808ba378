package scatter

import (
	"math"
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
	// coldRate bounds the requests a second to each cold server, of all routers
	// together; 0 for no bound.
	coldRate  float64
	budget    extraBudget
	gatherers Gatherers
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

// full reports whether some server has just refused work for want of room.
func (g *group) full(now time.Time) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool { return s.usable() && s.full(now) })
}
