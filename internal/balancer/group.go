package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/latency"
	"github.com/martenstage/martenstage/internal/plan"
)

// Group is the set of replicas of one shard of one generation.
type Group struct {
	Shard uint32
	Name  string
	// Latency is the latency distribution of the group's attempts, for hedge delays.
	Latency *latency.Histogram

	generation *Generation
	index      int
	members    []*member
	usable     int
	// awaitingCoverage is set from createdAt until the group is covered for the first
	// time or the grace time has passed.
	createdAt        time.Time
	awaitingCoverage bool
	uncovered        bool
	slots            int
	suspects         int
	typical          float64
}

// member is one replica of a group: a server and the index versions that it can
// serve.
type member struct {
	server   *Server
	group    *Group
	versions []uint64
	denials  []denial
}

// denial is a version that the server refused as unknown although its health
// endpoint lists it.
type denial struct {
	version uint64
	until   time.Time
}

func (m *member) holds(version uint64) bool { return slices.Contains(m.versions, version) }

// CanServe reports whether some usable replica holds the version.
func (g *Group) CanServe(version uint64) bool {
	for _, member := range g.members {
		if member.server.Usable() && member.holds(version) {
			return true
		}
	}
	return false
}

// Servers calls visit with the server of each replica, in configured order.
func (g *Group) Servers(visit func(*Server)) {
	for _, member := range g.members {
		visit(member.server)
	}
}

// Usable returns the number of replicas that accept new work.
func (g *Group) Usable() int { return g.usable }

// Slots returns the number of slots of the usable replicas.
func (g *Group) Slots() int { return g.slots }

// Queued returns the number of attempts that wait at the replicas by their last
// load reports. Of each replica it counts at most as many as this router has in
// flight there, so that a false report has no effect where the router sends
// nothing. Suspect replicas are left out, since they get no new work.
func (g *Group) Queued() int {
	queued := 0
	for _, member := range g.members {
		server := member.server
		if server.Usable() && !server.suspect {
			queued += min(server.load.queued, server.inFlight)
		}
	}
	return queued
}

// Generation returns the shard map that the group belongs to.
func (g *Group) Generation() *Generation { return g.generation }

// Index returns the position of the group in its generation.
func (g *Group) Index() int { return g.index }

// Typical returns the moving average of the latency of answered attempts.
func (g *Group) Typical() time.Duration { return time.Duration(g.typical) }

// recount updates the group after a change of its members' presence, share or
// versions.
func (g *Group) recount() {
	g.usable, g.slots = 0, 0
	for _, member := range g.members {
		if member.server.Usable() {
			g.usable++
			g.slots += max(member.server.slots, 1)
		}
	}
	g.generation.candidatesStale = true
}

// Candidate is an index version that some of a generation's shards can serve.
type Candidate struct {
	Version uint64
	// Shards is the number of shards with a usable replica of the version.
	Shards int
	// Capacity is the smallest fraction of a shard's usable slots that belong to
	// holders of the version, over the shards with a holder.
	Capacity float64
}

// Generation is one shard map of a service, with a group of servers for each shard.
type Generation struct {
	Service string
	Number  uint32
	Groups  []*Group
	// Latency is the latency distribution of the attempts of all groups.
	Latency *latency.Histogram

	candidates      []Candidate
	candidatesStale bool
}

// Candidates returns the versions that any shard can serve, newest first. The
// slice is valid until the next observation.
func (g *Generation) Candidates() []Candidate {
	if g.candidatesStale {
		g.candidatesStale = false
		g.candidates = g.countCandidates()
	}
	return g.candidates
}

func (g *Generation) countCandidates() []Candidate {
	counted := g.candidates[:0]
	var versions []uint64
	for _, group := range g.Groups {
		versions = group.versions(versions[:0])
		for _, version := range versions {
			index, found := slices.BinarySearchFunc(counted, version, func(c Candidate, version uint64) int {
				return cmp.Compare(version, c.Version)
			})
			if !found {
				counted = slices.Insert(counted, index, Candidate{Version: version, Capacity: 1})
			}
			counted[index].Shards++
			counted[index].Capacity = min(counted[index].Capacity, group.capacityOf(version))
		}
	}
	return counted
}

// versions appends the distinct versions that usable replicas hold to into.
func (g *Group) versions(into []uint64) []uint64 {
	for _, member := range g.members {
		if !member.server.Usable() {
			continue
		}
		for _, version := range member.versions {
			if !slices.Contains(into, version) {
				into = append(into, version)
			}
		}
	}
	return into
}

// capacityOf returns the fraction of the usable slots at holders of a version.
func (g *Group) capacityOf(version uint64) float64 {
	held := 0
	for _, member := range g.members {
		if member.server.Usable() && member.holds(version) {
			held += max(member.server.slots, 1)
		}
	}
	return float64(held) / float64(max(g.slots, 1))
}

// AddGeneration creates the groups of a shard map. Servers are shared with existing
// groups. The caller must call Release when it no longer sends to the generation.
func (p *Pool) AddGeneration(now time.Time, service plan.Service, shards plan.Generation) *Generation {
	generation := &Generation{
		Service: service.Name, Number: shards.Number, candidatesStale: true,
		Latency: latency.NewHistogram(p.config.LatencyHalfLife),
	}
	for index, shard := range shards.Shards {
		group := &Group{
			Shard: shard.ID, Name: shard.Name, generation: generation, index: index, createdAt: now, awaitingCoverage: true,
			Latency: latency.NewHistogram(p.config.LatencyHalfLife),
		}
		for _, replica := range shard.Replicas {
			server := p.ensure(replica.Address)
			server.applyConfig(replica, service.ColdStart)
			joined := &member{server: server, group: group}
			joined.versions = server.versionsOf(group)
			server.members = append(server.members, joined)
			group.members = append(group.members, joined)
			if server.suspect {
				group.suspects++
			}
		}
		group.recount()
		group.awaitingCoverage = group.usable == 0
		generation.Groups = append(generation.Groups, group)
	}
	return generation
}

// Inherit takes over the latency statistics of the previous generation, for groups
// with the same position and name, so that a configuration change keeps them.
func (g *Generation) Inherit(before *Generation) {
	g.Latency = before.Latency
	for index, group := range g.Groups {
		if index < len(before.Groups) && before.Groups[index].Name == group.Name {
			group.Latency = before.Groups[index].Latency
			group.typical = before.Groups[index].typical
		}
	}
}

// Release removes a generation. Servers that belong to no group and have nothing in
// flight are dropped.
func (p *Pool) Release(generation *Generation) {
	for _, group := range generation.Groups {
		for _, member := range group.members {
			member.server.detach(member)
			p.forgetUnused(member.server)
		}
	}
}
