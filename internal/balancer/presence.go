package balancer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/journal"
)

// unreachableAfter is the number of consecutive failed probes after which a
// server counts as unreachable.
const unreachableAfter = 2

// neverReachedAfter is the number of consecutive failed probes after which a server
// that never answered counts as unreachable.
const neverReachedAfter = 20

// denialHold is how long a version that a server refused stays denied while
// its health endpoint still lists it.
const denialHold = 5 * time.Second

// presence tracks whether a server accepts new work. Each source of information has
// its own fields, so that no source can withdraw a departure that another reported:
// the first report of a departure takes effect.
type presence struct {
	// probed is set once a probe succeeded; nothing is sent before. probedAt is the
	// time of the last successful probe.
	probed   bool
	probedAt time.Time
	// servedAt is the send time of the newest query whose reply counts as a probe.
	servedAt time.Time
	// failedProbes counts consecutive failures.
	failedProbes int
	// reportedUnreachable is set from when operators are notified that the server is
	// unreachable until they are notified that it answers again.
	reportedUnreachable bool
	// health is the last state reported by the health endpoint.
	health backendapi.ReadyState
	// refused is set when the server itself signals draining, by a refusal or a reply
	// header, at refusedAt.
	refused   bool
	refusedAt time.Time
	// changedSinceRefusal is set once the health endpoint has reported something other
	// than ready since refusedAt, or the server was unreachable. The next ready is then
	// a real change, and not the same false report again.
	changedSinceRefusal bool
	// reportedLeaving is set by an external report of a departure, at
	// reportedLeavingAt; reportWithdrawn is set once an external report says that the
	// server is back.
	reportedLeaving   bool
	reportedLeavingAt time.Time
	reportWithdrawn   bool
	// returnedAt is when the router itself last observed that the server accepts work
	// again.
	returnedAt time.Time
	// announced is set while a departure that this engine observed itself, and that is
	// published to other routers, has not ended.
	announced bool
}

func (p *presence) usable() bool { return p.observedReady() && !p.reportedLeaving }

// observedReady reports whether the server accepts work according to the router's own
// observations.
func (p *presence) observedReady() bool {
	return p.probed && p.failedProbes < unreachableAfter && p.health == backendapi.StateReady && !p.refused
}

// acceptsReturn reports whether an external report that a server is back is accepted.
// Lists lag, so that report may be older than the report of the departure: it is
// accepted after the hold time, or as soon as the server itself confirms it. The
// confirmation counts if the router recently observed the server leave and return,
// which shows that its endpoint reports such changes, and if the endpoint was probed
// after the report of the departure: an earlier return may belong to an earlier departure.
func (p *presence) acceptsReturn(now time.Time, hold time.Duration) bool {
	returnObserved := !p.returnedAt.IsZero() && now.Sub(p.returnedAt) < hold
	saysReady := p.observedReady() && p.probedAt.After(p.reportedLeavingAt)
	return returnObserved && saysReady || now.Sub(p.reportedLeavingAt) >= hold
}

// upToDate reports whether the last observation of the server is recent enough to act
// on.
func (p *presence) upToDate(now time.Time, config Config) bool {
	observed := p.probedAt
	if p.servedAt.After(observed) {
		observed = p.servedAt
	}
	return config.HealthLifetime <= 0 || now.Sub(observed) <= config.HealthLifetime
}

// departure returns only the fields that describe a departure.
func (p *presence) departure() presence {
	return presence{
		refused: p.refused, refusedAt: p.refusedAt, changedSinceRefusal: p.changedSinceRefusal,
		reportedLeaving: p.reportedLeaving, reportedLeavingAt: p.reportedLeavingAt, reportWithdrawn: p.reportWithdrawn, announced: p.announced,
	}
}

// leaving reports whether the server is known to be leaving, as opposed to not yet
// being known, warm or reachable.
func (p *presence) leaving() bool {
	return p.refused || p.reportedLeaving || p.health == backendapi.StateDraining
}

// returned reports whether a server whose departure was announced signals itself that
// it accepts work again.
func (p *presence) returned() bool {
	return p.announced && !p.refused && p.failedProbes == 0 && p.health == backendapi.StateReady
}

// cause describes the source that reported the departure.
func (p *presence) cause() string {
	switch {
	case p.refused:
		return "by its own reply"
	case p.reportedLeaving:
		return "by the word of others"
	default:
		return "by its health endpoint"
	}
}

// ObserveHealth records the result of a probe. It returns nil for an unknown server.
func (p *Pool) ObserveHealth(now time.Time, address netip.AddrPort, reachable bool, health backendapi.Health) *Server {
	server, known := p.servers[address]
	if !known {
		return nil
	}
	p.update(now, server, func() {
		if !reachable {
			server.presence.failProbe()
			server.presence.changedSinceRefusal = server.presence.changedSinceRefusal || server.presence.refused
			return
		}
		server.presence.passProbe(now, health.State, p.config)
		server.load.observe(now, health.Load, server.inFlight)
		server.setHoldings(now, health.Shards)
	})
	return server
}

// ObserveProbeTimeout records a probe that timed out. A single timeout says nothing about
// the server and must not end a departure. It returns nil for an unknown server.
func (p *Pool) ObserveProbeTimeout(now time.Time, address netip.AddrPort) *Server {
	server, known := p.servers[address]
	if !known {
		return nil
	}
	p.update(now, server, func() {
		presence := &server.presence
		presence.failProbe()
		presence.changedSinceRefusal = presence.changedSinceRefusal || (presence.refused && presence.failedProbes >= unreachableAfter)
	})
	return server
}

func (p *presence) failProbe() { p.failedProbes++ }

func (p *presence) passProbe(now time.Time, state backendapi.ReadyState, config Config) {
	p.probed, p.probedAt, p.failedProbes, p.health = true, now, 0, state
	if state != backendapi.StateReady {
		p.changedSinceRefusal = p.changedSinceRefusal || p.refused
	} else if p.refused && (p.changedSinceRefusal || now.Sub(p.refusedAt) >= config.DrainDistrust) {
		p.refused, p.changedSinceRefusal = false, false
	}
	if p.reportWithdrawn && p.acceptsReturn(now, config.ExternalReportHold) {
		p.reportedLeaving, p.reportWithdrawn = false, false
	}
}

// setHoldings replaces the versions that the server holds. Its members get the new list
// without the versions that the server itself denied recently.
func (s *Server) setHoldings(now time.Time, holdings []backendapi.ShardState) {
	s.holdings = holdings
	for _, member := range s.members {
		versions := s.versionsOf(member.group)
		if len(member.denials) > 0 {
			versions = member.withoutDenied(now, versions)
		}
		if !slices.Equal(member.versions, versions) {
			member.group.generation.candidatesStale = true
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

// Deny records that a server refused a version of a group as unknown.
func (p *Pool) Deny(now time.Time, server *Server, group *Group, version uint64) {
	for _, member := range group.members {
		if member.server != server {
			continue
		}
		member.denials = append(member.denials, denial{version: version, until: now.Add(denialHold)})
		member.versions = member.withoutDenied(now, member.versions)
		group.generation.candidatesStale = true
	}
}

// ObserveDrain records that the server itself signalled, by a refusal or a reply
// header, that it accepts no more work.
func (p *Pool) ObserveDrain(now time.Time, server *Server) {
	p.update(now, server, func() {
		server.presence.refused = true
		server.presence.refusedAt = now
		// What the endpoint reported before does not show whether it reports the
		// drain: only a later probe may set changedSinceRefusal.
		server.presence.changedSinceRefusal = false
	})
}

// ObserveServing records that a server that accepts work answered a query sent at the
// given time. The reply may have been read late, so it proves nothing about any later
// time.
func (p *Pool) ObserveServing(server *Server, sent time.Time) {
	if sent.After(server.presence.servedAt) {
		server.presence.servedAt = sent
	}
}

// ObserveExternalReport records an external report about a server, from the platform, an operator
// or another router. For an unknown server it returns nil and keeps the report until the
// server is added.
func (p *Pool) ObserveExternalReport(now time.Time, address netip.AddrPort, leaving bool) *Server {
	server, known := p.servers[address]
	if !known {
		departure := p.departures[address]
		departure.observeReport(now, leaving, p.config)
		if departure.leaving() {
			p.departures[address] = departure
		} else {
			delete(p.departures, address)
		}
		return nil
	}
	p.update(now, server, func() { server.presence.observeReport(now, leaving, p.config) })
	return server
}

// observeReport records an external report.
func (p *presence) observeReport(now time.Time, leaving bool, config Config) {
	if leaving {
		p.reportedLeaving, p.reportedLeavingAt, p.reportWithdrawn = true, now, false
		return
	}
	p.reportWithdrawn = p.reportedLeaving
	if p.acceptsReturn(now, config.ExternalReportHold) {
		p.reportedLeaving, p.reportWithdrawn = false, false
	}
}

// update applies an observation, and updates the transitions and groups that depend on
// the server's usability.
func (p *Pool) update(now time.Time, server *Server, apply func()) {
	wasUsable, wasLeaving := server.Usable(), server.presence.leaving()
	wasProbed, wasReady := server.presence.probed, server.presence.observedReady()
	apply()
	if wasProbed && !wasReady && server.presence.observedReady() {
		server.presence.returnedAt = now
	}
	p.recordDeparture(server, wasLeaving)
	p.recordReachability(server)
	if server.Usable() == wasUsable {
		for _, member := range server.members {
			p.updateCoverage(now, member.group)
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

// recordDeparture adds transitions for a departure and for the return from it. A departure
// that this engine observed and published must be withdrawn by it as well.
func (p *Pool) recordDeparture(server *Server, wasLeaving bool) {
	presence := &server.presence
	switch {
	case presence.leaving() && !wasLeaving:
		presence.announced = !presence.reportedLeaving
		p.transitions = append(p.transitions, Transition{
			Kind: journal.KindDrainBegun, Server: server, Own: presence.announced, Detail: presence.cause(),
		})
	case presence.returned():
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

// recordReachability adds a transition when a server stops answering probes without having
// announced its departure, and when it answers again.
func (p *Pool) recordReachability(server *Server) {
	presence := &server.presence
	kind, detail := journal.KindReplicaEjected, "it does not answer"
	switch {
	case presence.failedProbes == 0 && presence.reportedUnreachable:
		kind, detail = journal.KindReplicaReturned, "it answers again"
	case presence.reportedUnreachable || presence.leaving() || !presence.unreachable():
		return
	}
	presence.reportedUnreachable = !presence.reportedUnreachable
	service, shard := server.serviceAndShard()
	p.transitions = append(p.transitions, Transition{
		Kind: kind, Server: server, Service: service, Shard: shard, Detail: detail,
	})
}

// unreachable reports whether enough probes failed. A server that never answered gets
// more of them, since it may still be starting.
func (p *presence) unreachable() bool {
	if p.probed {
		return p.failedProbes >= unreachableAfter
	}
	return p.failedProbes >= neverReachedAfter
}

// recount updates a group and its coverage after a change of a member's usability.
func (p *Pool) recount(now time.Time, group *Group) {
	group.recount()
	if group.usable > 0 {
		group.awaitingCoverage = false
	}
	p.updateCoverage(now, group)
}

// updateCoverage adds a transition when a group becomes uncovered or covered again. A
// group that was never covered counts as uncovered only after the grace time, which its
// servers have to answer their first probes.
func (p *Pool) updateCoverage(now time.Time, group *Group) {
	uncovered := group.usable == 0
	if uncovered == group.uncovered || (group.awaitingCoverage && now.Sub(group.createdAt) < p.config.CoverageGrace) {
		return
	}
	group.uncovered, group.awaitingCoverage = uncovered, false
	kind := journal.KindShardCovered
	if uncovered {
		kind = journal.KindShardUncovered
	}
	p.transitions = append(p.transitions, Transition{
		Kind: kind, Service: group.generation.Service, Shard: group.Name,
	})
}
