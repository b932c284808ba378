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

// Server is one back end as this engine knows it: its share of slots, the
// attempts in flight, and what own observation and others say about it. It is
// shared by all groups that it is a member of.
type Server struct {
	Address netip.AddrPort

	zone        string
	coldStart   time.Duration
	slots       int
	connections int
	shared      bool
	limit       admission.Limit
	inFlight    int

	latency latency.Average
	suspect bool
	// avoided is since when a suspect server was not tried, and passedOver how
	// many attempts of its groups went elsewhere since.
	avoided    time.Time
	passedOver int
	load       reportedLoad
	presence   presence
	outlier    outlier
	readySince time.Time

	holdings []backendapi.ShardState
	members  []*member
}

// InFlight returns the number of attempts that were begun and not finished.
func (s *Server) InFlight() int { return s.inFlight }

// Limit returns the most attempts that may be in flight.
func (s *Server) Limit() int { return s.limit.Value() }

// Usable reports whether the server may be sent new work.
func (s *Server) Usable() bool { return s.presence.usable() }

// Ejected reports whether the server is avoided as an outlier.
func (s *Server) Ejected(now time.Time) bool { return now.Before(s.outlier.until) }

// Suspect reports whether the server's last attempts took much longer than
// those of its group usually do.
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

// avoid begins the time in which a suspect server is not tried.
func (s *Server) avoid(now time.Time) { s.avoided, s.passedOver = now, 0 }

// Groups calls visit with each group that the server is a member of, in the
// order in which they were made.
func (s *Server) Groups(visit func(*Group)) {
	for _, member := range s.members {
		visit(member.group)
	}
}

// Connections returns how many open connections are worth holding.
func (s *Server) Connections() int {
	if !s.Usable() {
		return 0
	}
	return admission.Ceiling(s.slots, s.connections)
}

// hasSpareSlot reports whether one more attempt would find a free slot, as far
// as this router knows.
func (s *Server) hasSpareSlot() bool {
	return s.inFlight < s.limit.Value() && !s.load.congested()
}

// describe takes the server's static properties from a configuration.
func (s *Server) describe(replica plan.Replica, coldStart time.Duration) {
	s.zone = replica.Zone
	s.coldStart = coldStart
	if s.shared {
		return
	}
	s.slots, s.connections = replica.Slots, replica.Connections
	s.limit.Resize(admission.Ceiling(s.slots, s.connections))
}

// share sets this router's part of the server's slots and connections.
func (s *Server) share(slots, connections int) {
	s.slots, s.connections, s.shared = slots, connections, true
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
