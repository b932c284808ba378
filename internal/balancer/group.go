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
	// Latency is the distribution of the group's attempts, for hedge delays.
	Latency *latency.Histogram

	generation *Generation
	index      int
	members    []*member
	usable     int
	// made is when the group was made, and awaited set until it is covered for
	// the first time or has not been for the grace time.
	made      time.Time
	awaited   bool
	uncovered bool
	slots     int
	suspects  int
	typical   float64
}

// member is one replica: a server in a group, with the index versions that it
// can serve.
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

// Usable returns the number of replicas that may be sent new work.
func (g *Group) Usable() int { return g.usable }

// Slots returns the number of slots of the usable replicas.
func (g *Group) Slots() int { return g.slots }

// Queued returns how many attempts wait at the replicas by their last reports,
// of each at most as many as this router has there: a report is believed only
// where own attempts meet what it tells of. Suspect replicas are left out,
// since new work does not go there.
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

// Typical returns the average duration of an attempt that was answered.
func (g *Group) Typical() time.Duration { return time.Duration(g.typical) }

// recount takes in a change of its members' presence, share or versions.
func (g *Group) recount() {
	g.usable, g.slots = 0, 0
	for _, member := range g.members {
		if member.server.Usable() {
			g.usable++
			g.slots += max(member.server.slots, 1)
		}
	}
	g.generation.stale = true
}

// Candidate is an index version that part of a generation's shards can serve.
type Candidate struct {
	Version uint64
	// Shards is the number of shards with a usable replica of the version.
	Shards int
	// Capacity is the share of a shard's usable slots that belong to holders
	// of the version, at the shard where it is least of those with a holder.
	Capacity float64
}

// Generation is one shard map of a service, as groups of servers.
type Generation struct {
	Service string
	Number  uint32
	Groups  []*Group
	// Latency is the distribution of the attempts of all groups.
	Latency *latency.Histogram

	candidates []Candidate
	stale      bool
}

// Candidates returns the versions that any shard can serve, newest first. The
// slice is valid until the next observation.
func (g *Generation) Candidates() []Candidate {
	if g.stale {
		g.stale = false
		g.candidates = g.count()
	}
	return g.candidates
}

func (g *Generation) count() []Candidate {
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

// versions appends the distinct versions that usable replicas hold.
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

// capacityOf returns the share of the usable slots at holders of a version.
func (g *Group) capacityOf(version uint64) float64 {
	held := 0
	for _, member := range g.members {
		if member.server.Usable() && member.holds(version) {
			held += max(member.server.slots, 1)
		}
	}
	return float64(held) / float64(max(g.slots, 1))
}

// AddGeneration makes the groups of one shard map. Servers are shared with the
// groups that exist already. The caller releases the generation when it no
// longer sends to it.
func (p *Pool) AddGeneration(now time.Time, service plan.Service, shards plan.Generation) *Generation {
	generation := &Generation{
		Service: service.Name, Number: shards.Number, stale: true,
		Latency: latency.NewHistogram(p.config.LatencyHalfLife),
	}
	for index, shard := range shards.Shards {
		group := &Group{
			Shard: shard.ID, Name: shard.Name, generation: generation, index: index, made: now, awaited: true,
			Latency: latency.NewHistogram(p.config.LatencyHalfLife),
		}
		for _, replica := range shard.Replicas {
			server := p.ensure(replica.Address)
			server.describe(replica, service.ColdStart)
			joined := &member{server: server, group: group}
			joined.versions = server.versionsOf(group)
			server.members = append(server.members, joined)
			group.members = append(group.members, joined)
			if server.suspect {
				group.suspects++
			}
		}
		group.recount()
		group.awaited = group.usable == 0
		generation.Groups = append(generation.Groups, group)
	}
	return generation
}

// Inherit takes over the latencies of groups of the same shard and name, so
// that a change of configuration does not forget them.
func (g *Generation) Inherit(before *Generation) {
	g.Latency = before.Latency
	for index, group := range g.Groups {
		if index < len(before.Groups) && before.Groups[index].Name == group.Name {
			group.Latency = before.Groups[index].Latency
			group.typical = before.Groups[index].typical
		}
	}
}

// Release ends the use of a generation. Servers that no group refers to and
// that have nothing in flight are forgotten.
func (p *Pool) Release(generation *Generation) {
	for _, group := range generation.Groups {
		for _, member := range group.members {
			member.server.detach(member)
			p.forgetUnused(member.server)
		}
	}
}
