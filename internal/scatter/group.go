package scatter

import (
	"math"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/latency"
)

// group is the set of servers of one service.
type group struct {
	service string
	servers []*server
	// maxConnections bounds the connections to each server, over all routers.
	maxConnections int
	// coldRate bounds the requests a second to each cold server, over all routers; 0 for no
	// bound.
	coldRate  float64
	budget    extraBudget
	gatherers Gatherers
	// attemptTime is the average duration of the attempts at its servers.
	attemptTime latency.Average
	// queue holds the calls for which no server had capacity.
	queue []*call
	// turns are those of the classes of calls that wait.
	turns classTurns
	// listed says that the group is in Engine.waiting.
	listed bool
}

// availability is the reason why choose returned no server.
type availability uint8

const (
	available availability = iota
	// busy: all usable servers are at their limit.
	busy
	// absent: there is no usable server.
	absent
)

// reservedConnections is how many of a server's connections no router uses; they cover those
// that are still closing.
const reservedConnections = 2

// gathererShare is the share of what a shard's servers allow that is divided among its
// gatherers; the rest is for all routers, as any may act as a backup.
const gathererShare = 0.85

// share is this router's share of what servers allow all routers together. The shares of all
// routers add up to 1.
func (g Gatherers) share(routers int) float64 {
	equal := 1 / float64(max(1, routers))
	if g.Count <= 0 {
		return equal
	}
	part := (1 - gathererShare) * equal
	if g.Self {
		part += gathererShare / float64(g.Count)
	}
	return part
}

// connectionLimit is this router's share of the connections to one server.
func (g *group) connectionLimit(share float64) int {
	if g.maxConnections <= 0 {
		return unlimitedConnections
	}
	return max(1, int(share*float64(g.maxConnections-reservedConnections)+roundingSlack))
}

// roundingSlack keeps rounding from putting a share that is exactly at a limit below it.
const roundingSlack = 1e-9

const unlimitedConnections = 64

// attemptLimit bounds this router's attempts at one server: as many as it has slots, and one
// that is queued.
func (g *group) attemptLimit(now time.Time, candidate *server, share float64) int {
	limit := min(g.connectionLimit(share), max(1, candidate.Slots)+1)
	if candidate.condition(now) == probation || candidate.sharedSilent(now) {
		limit = 1
	}
	if candidate.saturated(now) {
		limit = min(limit, saturatedLimit(candidate, share))
	}
	if now.Before(candidate.maxInFlightUntil) {
		limit = min(limit, candidate.maxInFlight)
	}
	return limit
}

// saturatedSpare is how many attempts beyond its slots a server without a free slot is given:
// enough to have work when one ends. Calls queued at the routers are sent in order of urgency;
// those queued at the server are not.
const saturatedSpare = 2

// saturatedLimit is this router's share of the attempts at a server without a free slot.
func saturatedLimit(candidate *server, share float64) int {
	return max(1, int(math.Ceil(share*float64(max(1, candidate.Slots)+saturatedSpare)-roundingSlack)))
}

// hasFull reports whether some server has just refused work as overloaded.
func (g *group) hasFull(now time.Time) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool { return s.usable() && s.full(now) })
}
