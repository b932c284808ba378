package balancer

import (
	"slices"
	"time"
)

// Need holds the requirements of an attempt on the replica to be chosen.
type Need struct {
	Version uint64
	// Tried are the servers that this shard's request has already been sent to.
	Tried []*Server
	// FreeSlot requires a server with a free slot, for attempts that must not add
	// to a queue.
	FreeSlot bool
	// Hedged is set if a hedge will follow when the server is slow, so that the
	// attempt may probe a suspect server.
	Hedged bool
	// Waiting is the number of attempts that wait for a free replica of the group.
	Waiting int
}

// Availability is the reason why Choose returned no server.
type Availability uint8

// Availabilities.
const (
	// Available means that a server was chosen.
	Available Availability = iota
	// Busy means that no replica of the version can take the attempt now, for
	// example because all are at their limit.
	Busy
	// Unavailable means that no replica can serve the version.
	Unavailable
)

// choices is the number of replicas that are compared. Two suffice to keep the
// longest queue short, and prevent all routers from picking the same replica
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
// 2001).
const choices = 2

// Choose returns the replica for an attempt.
func (p *Pool) Choose(now time.Time, group *Group, need Need) (*Server, Availability) {
	if p.config.Selection == SelectRandom {
		return p.chooseRandom(group, need)
	}
	if server := p.chooseProbe(now, group, need); server != nil {
		return server, Available
	}
	var candidates [maxCandidates]candidate
	found, availability := p.candidates(now, group, need, candidates[:0])
	if len(found) == 0 {
		return nil, availability
	}
	group.countPassedOver()
	return p.cheapest(found), Available
}

// maxCandidates is the number of candidates that fit without an allocation.
const maxCandidates = 24

// candidate is a replica that may be chosen, with its expected cost.
type candidate struct {
	server *Server
	cost   float64
	tier   tier
}

// tier ranks candidates by health. A candidate of a worse tier is chosen only if
// none of a better tier can serve the version, or if it is faster than waiting.
type tier uint8

const (
	tierGood tier = iota
	// tierCold is in its cold start and was not drawn for this choice.
	tierCold
	// tierSuspect answers much more slowly than its group.
	tierSuspect
	tierEjected
)

// candidates returns the replicas of the best tier that have capacity.
func (p *Pool) candidates(now time.Time, group *Group, need Need, into []candidate) ([]candidate, Availability) {
	availability := Unavailable
	busy := tierEjected + 1
	best := tierEjected
	for _, member := range group.members {
		server := member.server
		if !server.Usable() || !member.holds(need.Version) || server.limit.Value() == 0 ||
			slices.Contains(need.Tried, server) {
			continue
		}
		if !server.presence.upToDate(now, p.config) {
			availability = Busy
			continue
		}
		rank := p.tierOf(now, server)
		if !server.hasCapacity(need) {
			availability = Busy
			busy = min(busy, rank)
			continue
		}
		if rank < best {
			into, best = into[:0], rank
		}
		if rank == best {
			into = append(into, candidate{server: server, cost: p.cost(now, group, server), tier: rank})
		}
	}
	if busy < best && best >= tierSuspect && !p.betterThanWaiting(group, need, into) {
		return nil, Busy
	}
	return into, availability
}

// betterThanWaiting reports whether a free suspect replica is expected to answer sooner
// than a good one that has to be waited for. An ejected replica never is.
func (p *Pool) betterThanWaiting(group *Group, need Need, found []candidate) bool {
	if len(found) == 0 || found[0].tier == tierEjected {
		return false
	}
	wait := group.typical * (1 + float64(need.Waiting+1)/float64(max(group.slots, 1)))
	return float64(found[0].server.latency.Value()) < wait
}

func (p *Pool) tierOf(now time.Time, server *Server) tier {
	switch {
	case server.Ejected(now):
		return tierEjected
	case server.suspect:
		return tierSuspect
	case !p.admitsColdStart(now, server):
		return tierCold
	default:
		return tierGood
	}
}

// cheapest returns the cheaper of two candidates picked at random.
func (p *Pool) cheapest(found []candidate) *Server {
	if len(found) == 1 {
		return found[0].server
	}
	first, second := 0, 1
	if len(found) > choices {
		first = p.config.Random.IntN(len(found))
		second = p.config.Random.IntN(len(found) - 1)
		if second >= first {
			second++
		}
	} else if p.config.Random.Uint64()&1 == 0 {
		first, second = 1, 0
	}
	if found[second].cost < found[first].cost {
		return found[second].server
	}
	return found[first].server
}

// chooseProbe returns a suspect server that is due to be tried again, or nil. Only
// first attempts that a hedge will back up are used as probes.
func (p *Pool) chooseProbe(now time.Time, group *Group, need Need) *Server {
	if !need.Hedged || len(need.Tried) > 0 || group.suspects == 0 {
		return nil
	}
	for _, member := range group.members {
		server := member.server
		if server.suspect && p.probeDue(now, server) && server.inFlight == 0 && server.Usable() &&
			server.presence.upToDate(now, p.config) && !server.Ejected(now) && member.holds(need.Version) && server.limit.Value() > 0 {
			server.resetProbeWait(now)
			return server
		}
	}
	return nil
}

// probeDue reports whether a suspect server is due to be tried again.
func (p *Pool) probeDue(now time.Time, server *Server) bool {
	avoided := now.Sub(server.avoidedSince)
	return avoided >= p.config.ProbeMaxWait ||
		avoided >= p.config.ProbeInterval && server.passedOver >= p.config.ProbeAttempts
}

// countPassedOver counts an attempt that was sent to another server, for each suspect
// server of the group.
func (g *Group) countPassedOver() {
	if g.suspects == 0 {
		return
	}
	for _, member := range g.members {
		if member.server.suspect {
			member.server.passedOver++
		}
	}
}

// hasCapacity reports whether the server may be sent one more attempt.
func (s *Server) hasCapacity(need Need) bool {
	if need.FreeSlot && !s.hasSpareSlot() {
		return false
	}
	if s.suspect {
		return s.inFlight == 0
	}
	return s.inFlight < s.limit.Value()
}

// cost estimates the cost of an attempt at the server as its latency times the work
// there, like Finagle's least-loaded balancer. The router's own attempts in flight
// also serve as a proxy for those of other routers, which become known late.
func (p *Pool) cost(now time.Time, group *Group, server *Server) float64 {
	work := float64(server.inFlight+1) + server.load.estimate(now, p.config.LoadHalfLife)
	cost := work * float64(server.latency.Value())
	if server.latency.Value() == 0 {
		cost = work * max(group.typical, 1)
	}
	if server.zone != p.config.Zone {
		cost *= p.config.ZonePenalty
	}
	return cost
}

// admitsColdStart draws whether a server takes part in this choice. During a cold start
// the probability rises linearly from 0 to 1.
func (p *Pool) admitsColdStart(now time.Time, server *Server) bool {
	if server.coldStart <= 0 {
		return true
	}
	age := now.Sub(server.readySince)
	return age >= server.coldStart || p.config.Random.Float64() < float64(age)/float64(server.coldStart)
}

func (p *Pool) chooseRandom(group *Group, need Need) (*Server, Availability) {
	count := len(group.members)
	if count == 0 {
		return nil, Unavailable
	}
	start := p.config.Random.IntN(count)
	for offset := range count {
		member := group.members[(start+offset)%count]
		if member.server.Usable() && member.holds(need.Version) && !slices.Contains(need.Tried, member.server) {
			return member.server, Available
		}
	}
	return nil, Unavailable
}
