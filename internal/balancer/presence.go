package balancer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/journal"
)

// unreachableAfter is the number of failed probes in a row after which a
// server counts as gone.
const unreachableAfter = 2

// neverReachedAfter is the number of failed probes in a row after which a server
// that never answered is missed.
const neverReachedAfter = 20

// denialHold is how long a version that a server refused stays denied while
// its health endpoint goes on listing it.
const denialHold = 5 * time.Second

// presence is what is known about whether a server takes new work. Each source
// has its own mark, so that no source can take back the word of another:
// whichever says first that the server leaves wins.
type presence struct {
	// probed is set once a probe succeeded, probedAt at the last one; nothing is
	// sent before.
	probed   bool
	probedAt time.Time
	// servedAt is when the newest query was sent whose reply says all that a
	// probe says.
	servedAt time.Time
	// failedProbes counts failures in a row.
	failedProbes int
	// missed is set while operators were told that the server is unreachable.
	missed bool
	// health is the state that the health endpoint reported last.
	health backendapi.ReadyState
	// refused is set by the server's own refusal or reply header, at refusedAt.
	refused   bool
	refusedAt time.Time
	// turned is set when the health endpoint, since refusedAt, has said
	// something other than ready, or the server was unreachable. Its next ready is
	// then a change of mind and not the same lie again.
	turned bool
	// left is set by the word of others, at leftAt; recalled when they took it
	// back.
	left     bool
	leftAt   time.Time
	recalled bool
	// returnedAt is when the router itself last saw the server take work again
	// after it did not.
	returnedAt time.Time
	// announced is set from when this engine itself saw the server leave, which
	// others are told, until it saw it back.
	announced bool
}

func (p *presence) usable() bool { return p.seenReady() && !p.left }

// seenReady reports whether the server takes work by all that the router saw
// itself.
func (p *presence) seenReady() bool {
	return p.probed && p.failedProbes < unreachableAfter && p.health == backendapi.StateReady && !p.refused
}

// mayBelieveReturn reports whether the word that a machine lives again is to be
// taken. Lists lag, so the word may be older than the one that the machine
// leaves: it counts after a hold, or once the server says so itself. That is worth
// something where the router lately saw the server go and come back, so that its
// endpoint is known to tell, and where the endpoint was asked since the word that
// it leaves: a return before that word may be of an earlier departure.
func (p *presence) mayBelieveReturn(now time.Time, hold time.Duration) bool {
	tells := !p.returnedAt.IsZero() && now.Sub(p.returnedAt) < hold
	saysReady := p.seenReady() && p.probedAt.After(p.leftAt)
	return tells && saysReady || now.Sub(p.leftAt) >= hold
}

// fresh reports whether the last observation of the server still stands.
func (p *presence) fresh(now time.Time, config Config) bool {
	observed := p.probedAt
	if p.servedAt.After(observed) {
		observed = p.servedAt
	}
	return config.HealthLifetime <= 0 || now.Sub(observed) <= config.HealthLifetime
}

// departure returns what is known of the departure alone.
func (p *presence) departure() presence {
	return presence{
		refused: p.refused, refusedAt: p.refusedAt, turned: p.turned,
		left: p.left, leftAt: p.leftAt, recalled: p.recalled, announced: p.announced,
	}
}

// leaving reports whether the server is known to go, as opposed to not being
// known, warm or reachable yet.
func (p *presence) leaving() bool {
	return p.refused || p.left || p.health == backendapi.StateDraining
}

// back reports whether the server, whose departure was announced, takes work
// again by its own word.
func (p *presence) back() bool {
	return p.announced && !p.refused && p.failedProbes == 0 && p.health == backendapi.StateReady
}

// cause names the source that said that the server leaves.
func (p *presence) cause() string {
	switch {
	case p.refused:
		return "by its own reply"
	case p.left:
		return "by the word of others"
	default:
		return "by its health endpoint"
	}
}

// ObserveHealth takes in one probe of a server. It returns nil for a server
// that is not known.
func (p *Pool) ObserveHealth(now time.Time, address netip.AddrPort, reachable bool, health backendapi.Health) *Server {
	server, known := p.servers[address]
	if !known {
		return nil
	}
	p.change(now, server, func() {
		if !reachable {
			server.presence.failProbe()
			server.presence.turned = server.presence.turned || server.presence.refused
			return
		}
		server.presence.passProbe(now, health.State, p.config)
		server.load.observe(now, health.Load, server.inFlight)
		server.hold(now, health.Shards)
	})
	return server
}

// ObserveSilence takes in a probe of which nothing was heard in time. One alone
// is no news of the server, and must not make a departure end. It returns nil for
// a server that is not known.
func (p *Pool) ObserveSilence(now time.Time, address netip.AddrPort) *Server {
	server, known := p.servers[address]
	if !known {
		return nil
	}
	p.change(now, server, func() {
		presence := &server.presence
		presence.failProbe()
		presence.turned = presence.turned || (presence.refused && presence.failedProbes >= unreachableAfter)
	})
	return server
}

func (p *presence) failProbe() { p.failedProbes++ }

func (p *presence) passProbe(now time.Time, state backendapi.ReadyState, config Config) {
	p.probed, p.probedAt, p.failedProbes, p.health = true, now, 0, state
	if state != backendapi.StateReady {
		p.turned = p.turned || p.refused
	} else if p.refused && (p.turned || now.Sub(p.refusedAt) >= config.DrainDistrust) {
		p.refused, p.turned = false, false
	}
	if p.recalled && p.mayBelieveReturn(now, config.WordHold) {
		p.left, p.recalled = false, false
	}
}

// hold replaces the versions that the server holds. Members see the new list
// without the versions that the server itself denied a short time ago.
func (s *Server) hold(now time.Time, holdings []backendapi.ShardState) {
	s.holdings = holdings
	for _, member := range s.members {
		versions := s.versionsOf(member.group)
		if len(member.denials) > 0 {
			versions = member.withoutDenied(now, versions)
		}
		if !slices.Equal(member.versions, versions) {
			member.group.generation.stale = true
		}
		member.versions = versions
	}
}

func (m *member) withoutDenied(now time.Time, versions []uint64) []uint64 {
	m.denials = slices.DeleteFunc(m.denials, func(d denial) bool { return !now.Before(d.until) })
	return slices.DeleteFunc(slices.Clone(versions), func(version uint64) bool {
		return slices.ContainsFunc(m.denials, func(d denial) bool { return d.version == version })
	})
}

// Deny takes in that a server refused a version of a group as unknown.
func (p *Pool) Deny(now time.Time, server *Server, group *Group, version uint64) {
	for _, member := range group.members {
		if member.server != server {
			continue
		}
		member.denials = append(member.denials, denial{version: version, until: now.Add(denialHold)})
		member.versions = member.withoutDenied(now, member.versions)
		group.generation.stale = true
	}
}

// ObserveDrain takes in the server's own word, by a refusal or a reply header,
// that it takes no more work.
func (p *Pool) ObserveDrain(now time.Time, server *Server) {
	p.change(now, server, func() {
		server.presence.refused = true
		server.presence.refusedAt = now
		// The endpoint's word before this moment says nothing about whether it
		// lies: turned is earned by a later probe alone.
		server.presence.turned = false
	})
}

// ObserveServing takes in that a query which was sent at a time was answered by
// a server that takes work. The reply may have waited to be read, so it proves
// no more than that moment.
func (p *Pool) ObserveServing(server *Server, sent time.Time) {
	if sent.After(server.presence.servedAt) {
		server.presence.servedAt = sent
	}
}

// ObserveWord takes in the word of the platform, an operator or another router
// about a server. It returns nil for a server that is not known; the word is
// kept for when it is.
func (p *Pool) ObserveWord(now time.Time, address netip.AddrPort, leaving bool) *Server {
	server, known := p.servers[address]
	if !known {
		departure := p.away[address]
		departure.hear(now, leaving, p.config)
		if departure.leaving() {
			p.away[address] = departure
		} else {
			delete(p.away, address)
		}
		return nil
	}
	p.change(now, server, func() { server.presence.hear(now, leaving, p.config) })
	return server
}

// hear takes in the word of others.
func (p *presence) hear(now time.Time, leaving bool, config Config) {
	if leaving {
		p.left, p.leftAt, p.recalled = true, now, false
		return
	}
	p.recalled = p.left
	if p.mayBelieveReturn(now, config.WordHold) {
		p.left, p.recalled = false, false
	}
}

// change applies an observation and takes in what follows from a change of the
// server's usability.
func (p *Pool) change(now time.Time, server *Server, apply func()) {
	wasUsable, wasLeaving := server.Usable(), server.presence.leaving()
	wasProbed, wasReady := server.presence.probed, server.presence.seenReady()
	apply()
	if wasProbed && !wasReady && server.presence.seenReady() {
		server.presence.returnedAt = now
	}
	p.announce(server, wasLeaving)
	p.miss(server)
	if server.Usable() == wasUsable {
		for _, member := range server.members {
			p.judgeCoverage(now, member.group)
		}
		return
	}
	if server.Usable() {
		server.readySince = now
	}
	for _, member := range server.members {
		p.recount(now, member.group)
	}
}

// announce tells of a departure, and of the return from one that this engine saw
// itself: what others were told of it must be taken back.
func (p *Pool) announce(server *Server, wasLeaving bool) {
	presence := &server.presence
	switch {
	case presence.leaving() && !wasLeaving:
		presence.announced = !presence.left
		p.transitions = append(p.transitions, Transition{
			Kind: journal.KindDrainBegun, Server: server, Own: presence.announced, Detail: presence.cause(),
		})
	case presence.back():
		presence.announced = false
		p.transitions = append(p.transitions, Transition{
			Kind: journal.KindDrainDone, Server: server, Own: true, Detail: "by its own word",
		})
	case wasLeaving && !presence.leaving() && !presence.announced:
		p.transitions = append(p.transitions, Transition{
			Kind: journal.KindDrainDone, Server: server, Detail: "by the word of others",
		})
	}
}

// miss tells when a server stopped answering probes without having said that it
// leaves, and when it answers again.
func (p *Pool) miss(server *Server) {
	presence := &server.presence
	kind, detail := journal.KindReplicaEjected, "it does not answer"
	switch {
	case presence.failedProbes == 0 && presence.missed:
		kind, detail = journal.KindReplicaReturned, "it answers again"
	case presence.missed || presence.leaving() || !presence.unreachable():
		return
	}
	presence.missed = !presence.missed
	service, shard := server.place()
	p.transitions = append(p.transitions, Transition{
		Kind: kind, Server: server, Service: service, Shard: shard, Detail: detail,
	})
}

// unreachable reports whether enough probes failed to miss the server. One that
// never answered may just be starting.
func (p *presence) unreachable() bool {
	if p.probed {
		return p.failedProbes >= unreachableAfter
	}
	return p.failedProbes >= neverReachedAfter
}

// recount updates a group and tells when it lost its last usable replica, or
// got the first one back.
func (p *Pool) recount(now time.Time, group *Group) {
	group.recount()
	if group.usable > 0 {
		group.awaited = false
	}
	p.judgeCoverage(now, group)
}

// judgeCoverage tells when a group became uncovered or covered again. A group
// that was never covered is not missed until its servers have had the grace
// time to answer their first probes.
func (p *Pool) judgeCoverage(now time.Time, group *Group) {
	uncovered := group.usable == 0
	if uncovered == group.uncovered || (group.awaited && now.Sub(group.made) < p.config.CoverGrace) {
		return
	}
	group.uncovered, group.awaited = uncovered, false
	kind := journal.KindShardCovered
	if uncovered {
		kind = journal.KindShardUncovered
	}
	p.transitions = append(p.transitions, Transition{
		Kind: kind, Service: group.generation.Service, Shard: group.Name,
	})
}
