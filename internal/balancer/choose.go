package balancer

import (
	"slices"
	"time"
)

// Need says what a replica is chosen for.
type Need struct {
	Version uint64
	// Tried are servers that the shard was sent to already.
	Tried []*Server
	// Spare asks for a server with a free slot, for attempts that must not add
	// to a queue.
	Spare bool
	// Hedged says that a hedge will follow if the server is slow, so that the
	// attempt may try a suspect one.
	Hedged bool
	// Waiting is the number of attempts that wait for a place in the group.
	Waiting int
}

// Availability says why Choose returned no server.
type Availability uint8

// Availabilities.
const (
	// Available comes with a server.
	Available Availability = iota
	// Busy means that all replicas that could serve are at their limit.
	Busy
	// Unavailable means that no replica can serve the version.
	Unavailable
)

// choices is the number of replicas that are compared. Two suffice to keep the
// longest queue short, and avoid that all routers pick the same one
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
	group.passOver()
	return p.cheapest(found), Available
}

// maxCandidates is the space for candidates that needs no allocation.
const maxCandidates = 24

// candidate is a replica that may be chosen, with its expected cost.
type candidate struct {
	server *Server
	cost   float64
	tier   tier
}

// tier orders candidates by how well they are: a worse one is chosen only
// where no better one can serve the version at all.
type tier uint8

const (
	tierGood tier = iota
	// tierCold lost the draw of its cold start.
	tierCold
	// tierSuspect answered much slower than its group does.
	tierSuspect
	tierEjected
)

// candidates returns the replicas of the best tier that have room.
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
		if !server.presence.fresh(now, p.config) {
			availability = Busy
			continue
		}
		rank := p.tierOf(now, server)
		if !server.hasRoom(need) {
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
	if busy < best && best >= tierSuspect && !p.worthIt(group, need, into) {
		return nil, Busy
	}
	return into, availability
}

// worthIt reports whether a slow or failing replica that is free is still
// better than to wait for a good one.
func (p *Pool) worthIt(group *Group, need Need, found []candidate) bool {
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
	case !p.warm(now, server):
		return tierCold
	default:
		return tierGood
	}
}

// cheapest compares two candidates picked at random.
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

// chooseProbe returns a suspect server whose time has come to be tried again.
// The attempt is one that a hedge will rescue.
func (p *Pool) chooseProbe(now time.Time, group *Group, need Need) *Server {
	if !need.Hedged || len(need.Tried) > 0 || group.suspects == 0 {
		return nil
	}
	for _, member := range group.members {
		server := member.server
		if server.suspect && p.probeDue(now, server) && server.inFlight == 0 && server.Usable() &&
			server.presence.fresh(now, p.config) && !server.Ejected(now) && member.holds(need.Version) && server.limit.Value() > 0 {
			server.avoid(now)
			return server
		}
	}
	return nil
}

// probeDue reports whether a suspect server was avoided for long enough.
func (p *Pool) probeDue(now time.Time, server *Server) bool {
	avoided := now.Sub(server.avoided)
	return avoided >= p.config.ProbePatience ||
		avoided >= p.config.ProbeInterval && server.passedOver >= p.config.ProbeAttempts
}

// passOver counts an attempt that went to another server of the group.
func (g *Group) passOver() {
	if g.suspects == 0 {
		return
	}
	for _, member := range g.members {
		if member.server.suspect {
			member.server.passedOver++
		}
	}
}

// hasRoom reports whether the server may get one more attempt.
func (s *Server) hasRoom(need Need) bool {
	if need.Spare && !s.hasSpareSlot() {
		return false
	}
	if s.suspect {
		return s.inFlight == 0
	}
	return s.inFlight < s.limit.Value()
}

// cost estimates how an attempt would fare at the server: its latency times
// the work there, as Finagle's least-loaded balancer does. Own attempts in
// flight stand for those of other routers as well, which are known late.
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

// warm draws whether a server in its cold start takes part in this choice: its
// chance grows from none to certain over the ramp.
func (p *Pool) warm(now time.Time, server *Server) bool {
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
