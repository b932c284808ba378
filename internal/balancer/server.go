package balancer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/admission"
	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/latency"
	"github.com/martenstage/martenstage/internal/plan"
)

// Server is this engine's state of one back end: its share of slots, the attempts in
// flight, and its health by own observations and external reports. All groups that the
// server belongs to share it.
type Server struct {
	Address netip.AddrPort

	zone        string
	coldStart   time.Duration
	slots       int
	connections int
	shareSet    bool
	limit       admission.Limit
	inFlight    int

	latency latency.Average
	suspect bool
	// avoidedSince is when the wait for the next probe of a suspect server began, and
	// passedOver the number of attempts of its groups that went to other servers since.
	avoidedSince time.Time
	passedOver   int
	load         reportedLoad
	presence     presence
	outlier      outlier
	readySince   time.Time

	holdings []backendapi.ShardState
	members  []*member
}

// InFlight returns the number of attempts in flight.
func (s *Server) InFlight() int { return s.inFlight }

// Limit returns the maximum number of attempts in flight.
func (s *Server) Limit() int { return s.limit.Value() }

// Usable reports whether the server accepts new work.
func (s *Server) Usable() bool { return s.presence.usable() }

// Ejected reports whether the server is ejected as an outlier.
func (s *Server) Ejected(now time.Time) bool { return now.Before(s.outlier.ejectedUntil) }

// Suspect reports whether the server's last attempts took much longer than is
// typical for its group.
func (s *Server) Suspect() bool { return s.suspect }

func (s *Server) setSuspect(suspect bool) {
	if s.suspect == suspect {
		return
	}
	s.suspect = suspect
	change := 1
	if !suspect {
		change = -1
	}
	for _, member := range s.members {
		member.group.suspects += change
	}
}

// resetProbeWait restarts the wait before a suspect server is tried again.
func (s *Server) resetProbeWait(now time.Time) { s.avoidedSince, s.passedOver = now, 0 }

// Groups calls visit with each group that the server belongs to, in the order of
// their creation.
func (s *Server) Groups(visit func(*Group)) {
	for _, member := range s.members {
		visit(member.group)
	}
}

// Connections returns the number of connections to keep open to the server.
func (s *Server) Connections() int {
	if !s.Usable() {
		return 0
	}
	return admission.Ceiling(s.slots, s.connections)
}

// hasSpareSlot reports whether, as far as this router knows, one more attempt would
// get a free slot.
func (s *Server) hasSpareSlot() bool {
	return s.inFlight < s.limit.Value() && !s.load.congested()
}

// applyConfig sets the server's static properties from a configuration. Slots and
// connections of an explicit share take precedence.
func (s *Server) applyConfig(replica plan.Replica, coldStart time.Duration) {
	s.zone = replica.Zone
	s.coldStart = coldStart
	if s.shareSet {
		return
	}
	s.slots, s.connections = replica.Slots, replica.Connections
	s.limit.Resize(admission.Ceiling(s.slots, s.connections))
}

// setShare sets this router's share of the server's slots and connections.
func (s *Server) setShare(slots, connections int) {
	s.slots, s.connections, s.shareSet = slots, connections, true
	s.limit.Resize(admission.Ceiling(slots, connections))
}

// versionsOf returns the versions of a group's shard that the server holds.
func (s *Server) versionsOf(group *Group) []uint64 {
	for _, holding := range s.holdings {
		if holding.Shard == group.Shard && holding.Generation == group.generation.Number &&
			holding.Service == group.generation.Service {
			return holding.Versions
		}
	}
	return nil
}

func (s *Server) detach(lost *member) {
	s.members = slices.DeleteFunc(s.members, func(candidate *member) bool { return candidate == lost })
}
