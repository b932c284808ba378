// Package balancer chooses the replica for each attempt. It tracks the state of each
// back end (attempts in flight, latency, reported load, versions held, departure,
// failures) and picks by the power of two choices among the usable replicas. See
// docs/design/0002-query-engine.md.
//
// A Pool and everything in it is used by one goroutine. Its choices are
// deterministic, given the calls and the random source.
package balancer

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/journal"
)

// Selection is the algorithm that chooses a replica.
type Selection uint8

// Selections.
const (
	// SelectLeastCost takes the cheaper of two random replicas.
	SelectLeastCost Selection = iota
	// SelectRandom takes any usable replica and ignores concurrency limits, as a
	// baseline for experiments.
	SelectRandom
)

// Defaults of Config.
const (
	DefaultProbeInterval      = time.Second
	DefaultProbeMaxWait       = 30 * time.Second
	DefaultProbeAttempts      = 100
	DefaultZonePenalty        = 1.25
	DefaultLoadHalfLife       = time.Second
	DefaultExternalReportHold = 5 * time.Second
	DefaultDrainDistrust      = 5 * time.Minute
	DefaultEjectionTime       = 2 * time.Second
	DefaultEjectionFloor      = 0.5
	DefaultCoverageGrace      = 5 * time.Second
)

// Config holds the tunables of a Pool. Zero values mean the defaults.
type Config struct {
	// Zone is the router's own zone.
	Zone      string
	Random    *rand.Rand
	Selection Selection
	// LatencyHalfLife is the half-life of the groups' latency histograms.
	LatencyHalfLife time.Duration
	// A suspect server gets no work that others can do until one attempt probes it
	// again: after ProbeInterval if other servers got ProbeAttempts attempts
	// meanwhile, so that probes stay a small fraction of the load, and after
	// ProbeMaxWait in any case.
	ProbeInterval time.Duration
	ProbeMaxWait  time.Duration
	ProbeAttempts int
	// ZonePenalty multiplies the cost of servers in other zones.
	ZonePenalty float64
	// LoadHalfLife is the half-life of a reported load.
	LoadHalfLife time.Duration
	// ExternalReportHold is how long an external report that a server is leaving overrides a
	// later report that it is back: lists lag, and the list of a new leader is empty
	// until it receives reports.
	ExternalReportHold time.Duration
	// DrainDistrust is how long a health endpoint that keeps reporting ready is not
	// trusted after the server itself refused work as draining.
	DrainDistrust time.Duration
	// HealthLifetime is how long the last answer of a health endpoint, or an
	// equivalent reply, stays valid. A server without a newer observation gets no new
	// work, so that a router that was paused does not act on outdated state. 0 means
	// no limit.
	HealthLifetime time.Duration
	// EjectionTime is the duration of the first ejection; consecutive ones last
	// longer.
	EjectionTime time.Duration
	// EjectionFloor is the fraction of a group's usable replicas that are never
	// ejected; at least one never is.
	EjectionFloor float64
	// CoverageGrace is how long a new group may be without a usable replica before it
	// counts as uncovered.
	CoverageGrace time.Duration
}

func (c Config) withDefaults() Config {
	c.ProbeInterval = cmp.Or(c.ProbeInterval, DefaultProbeInterval)
	c.ProbeMaxWait = cmp.Or(c.ProbeMaxWait, DefaultProbeMaxWait)
	c.ProbeAttempts = cmp.Or(c.ProbeAttempts, DefaultProbeAttempts)
	c.ZonePenalty = cmp.Or(c.ZonePenalty, DefaultZonePenalty)
	c.LoadHalfLife = cmp.Or(c.LoadHalfLife, DefaultLoadHalfLife)
	c.ExternalReportHold = cmp.Or(c.ExternalReportHold, DefaultExternalReportHold)
	c.DrainDistrust = cmp.Or(c.DrainDistrust, DefaultDrainDistrust)
	c.EjectionTime = cmp.Or(c.EjectionTime, DefaultEjectionTime)
	c.EjectionFloor = cmp.Or(c.EjectionFloor, DefaultEjectionFloor)
	c.CoverageGrace = cmp.Or(c.CoverageGrace, DefaultCoverageGrace)
	return c
}

// Transition is a change of a server or group that is reported to operators.
type Transition struct {
	Kind    journal.Kind
	Server  *Server
	Service string
	Shard   string
	Detail  string
	// Own is set if this engine observed the change itself, rather than learning of
	// it from an external report.
	Own bool
}

// Pool is the set of servers that an engine sends to.
type Pool struct {
	config  Config
	servers map[netip.AddrPort]*Server
	// departures holds the departure state of servers that no current configuration
	// names, one small entry per address.
	departures  map[netip.AddrPort]presence
	transitions []Transition
}

// New returns an empty pool.
func New(config Config) *Pool {
	return &Pool{
		config:     config.withDefaults(),
		servers:    make(map[netip.AddrPort]*Server),
		departures: make(map[netip.AddrPort]presence),
	}
}

// Server returns the server at an address.
func (p *Pool) Server(address netip.AddrPort) (*Server, bool) {
	server, known := p.servers[address]
	return server, known
}

// TakeTransitions returns the transitions since the last call. The slice is valid
// until the next call of a method of the pool.
func (p *Pool) TakeTransitions() []Transition {
	taken := p.transitions
	p.transitions = p.transitions[:0]
	return taken
}

// Share sets this router's share of a server's slots and connections. The share is
// kept even if the server is not configured yet.
func (p *Pool) Share(address netip.AddrPort, slots, connections int) *Server {
	server := p.ensure(address)
	server.setShare(slots, connections)
	server.recountGroups()
	return server
}

func (p *Pool) ensure(address netip.AddrPort) *Server {
	server, known := p.servers[address]
	if !known {
		server = &Server{Address: address, presence: p.departures[address]}
		delete(p.departures, address)
		p.servers[address] = server
	}
	return server
}

// forgetUnused drops a server that has no groups and nothing in flight. Its state
// would be stale by the time that a configuration names it again. Only its departure
// is kept, since the next configuration may name it a moment later.
func (p *Pool) forgetUnused(server *Server) {
	if len(server.members) > 0 || server.inFlight > 0 {
		return
	}
	delete(p.servers, server.Address)
	if departure := server.presence.departure(); departure.leaving() {
		p.departures[server.Address] = departure
	}
}

func (s *Server) recountGroups() {
	for _, member := range s.members {
		member.group.recount()
	}
}
