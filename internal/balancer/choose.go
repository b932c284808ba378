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

// candidate is one of the two replicas that are compared.
type candidate struct {
	server *Server
	cost   float64
}

// Choose returns the replica for an attempt.
func (p *Pool) Choose(now time.Time, group *Group, need Need) (*Server, Availability) {
	if p.config.Selection == SelectRandom {
		return p.chooseRandom(group, need)
	}
	tiers := [...]func(*Server) bool{
		func(s *Server) bool { return !s.Ejected(now) && p.warm(now, s) },
		func(s *Server) bool { return !s.Ejected(now) },
		func(*Server) bool { return true },
	}
	availability := Unavailable
	for _, accepts := range tiers {
		best, found := p.chooseCheapest(now, group, need, accepts)
		if best != nil {
			return best, Available
		}
		if found == Busy {
			availability = Busy
			break
		}
	}
	return nil, availability
}

func (p *Pool) chooseCheapest(
	now time.Time, group *Group, need Need, accepts func(*Server) bool,
) (*Server, Availability) {
	availability := Unavailable
	var best candidate
	compared := 0
	count := len(group.members)
	start := 0
	if count > 1 {
		start = p.config.Random.IntN(count)
	}
	for offset := range count {
		member := group.members[(start+offset)%count]
		server := member.server
		if !server.Usable() || !member.holds(need.Version) || slices.Contains(need.Tried, server) || !accepts(server) {
			continue
		}
		if !p.hasRoom(server, need) {
			availability = Busy
			continue
		}
		cost := p.cost(now, group, server)
		if best.server == nil || cost < best.cost {
			best = candidate{server: server, cost: cost}
		}
		compared++
		if compared == 2 {
			break
		}
	}
	return best.server, availability
}

func (p *Pool) hasRoom(server *Server, need Need) bool {
	if need.Spare {
		return server.hasSpareSlot()
	}
	if server.suspect {
		return server.inFlight == 0 && server.limit.Value() > 0
	}
	return server.inFlight < server.limit.Value()
}

// cost estimates how long an attempt would take at the server: its latency,
// times the rounds that the work there needs on its slots.
func (p *Pool) cost(now time.Time, group *Group, server *Server) float64 {
	work := float64(server.inFlight+1) + server.load.estimate(now, p.config.LoadHalfLife)
	cost := p.expected(now, group, server) * max(1, work/float64(max(server.slots, 1)))
	if server.zone != p.config.Zone {
		cost *= p.config.ZonePenalty
	}
	return cost
}

// expected returns the server's latency. A high one loses weight with its age,
// since a server that is avoided gives no newer one.
func (p *Pool) expected(now time.Time, group *Group, server *Server) float64 {
	value := float64(server.latency.Value())
	if value == 0 {
		return max(group.typical, 1)
	}
	return value
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
