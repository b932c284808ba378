// Package balancer chooses the replica for each attempt. It keeps what is
// known about each back end (attempts in flight, latency, reported load,
// versions held, whether it is leaving or failing) and picks by the power of
// two choices among the replicas that may be used. See
// docs/design/0002-query-engine.md.
//
// Everything in a Pool belongs to one goroutine. Given equal calls and an equal
// random source it makes equal choices.
package balancer

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/journal"
)

// Selection is the rule by which a replica is chosen.
type Selection uint8

// Selections.
const (
	// SelectLeastCost takes the cheaper of two random replicas.
	SelectLeastCost Selection = iota
	// SelectRandom takes any usable replica and ignores concurrency limits; it
	// is the baseline of experiments.
	SelectRandom
)

// Defaults of Config.
const (
	DefaultProbeInterval = time.Second
	DefaultProbePatience = 30 * time.Second
	DefaultProbeAttempts = 100
	DefaultZonePenalty   = 1.25
	DefaultLoadHalfLife  = time.Second
	DefaultWordHold      = 5 * time.Second
	DefaultDrainDistrust = 5 * time.Minute
	DefaultEjectionTime  = 2 * time.Second
	DefaultEjectionFloor = 0.5
	DefaultCoverGrace    = 5 * time.Second
)

// Config holds the tunables of a Pool. Zero values mean the defaults.
type Config struct {
	// Zone is the router's own zone.
	Zone      string
	Random    *rand.Rand
	Selection Selection
	// LatencyHalfLife is that of the groups' histograms.
	LatencyHalfLife time.Duration
	// A suspect server gets no work that others can do, until one attempt tries
	// it again: after ProbeInterval if others got ProbeAttempts attempts
	// meanwhile, so that trials stay a small share of the load, and after
	// ProbePatience in any case.
	ProbeInterval time.Duration
	ProbePatience time.Duration
	ProbeAttempts int
	// ZonePenalty multiplies the cost of servers in other zones.
	ZonePenalty float64
	// LoadHalfLife is the age at which a reported load counts half.
	LoadHalfLife time.Duration
	// WordHold is how long the word of others that a machine leaves outweighs
	// a later word that it lives: lists lag, and a new leader's list is empty
	// until it was told.
	WordHold time.Duration
	// DrainDistrust is how long a health endpoint that says ready all along is
	// not believed after the server itself refused work as draining.
	DrainDistrust time.Duration
	// HealthLifetime is how long the last answer of a health endpoint, or a reply
	// that says as much, stands. A
	// server that was not heard of for longer gets no new work until it is, so
	// that a router which did not run for a while does not act on what it knew
	// before. 0 means for ever.
	HealthLifetime time.Duration
	// EjectionTime is the time of a first ejection; each further one in a row
	// lasts longer.
	EjectionTime time.Duration
	// EjectionFloor is the share of a group's usable replicas that ejection
	// leaves; at least one is always left.
	EjectionFloor float64
	// CoverGrace is how long the first usable replica of a new group is waited
	// for before the group counts as uncovered.
	CoverGrace time.Duration
}

func (c Config) withDefaults() Config {
	c.ProbeInterval = cmp.Or(c.ProbeInterval, DefaultProbeInterval)
	c.ProbePatience = cmp.Or(c.ProbePatience, DefaultProbePatience)
	c.ProbeAttempts = cmp.Or(c.ProbeAttempts, DefaultProbeAttempts)
	c.ZonePenalty = cmp.Or(c.ZonePenalty, DefaultZonePenalty)
	c.LoadHalfLife = cmp.Or(c.LoadHalfLife, DefaultLoadHalfLife)
	c.WordHold = cmp.Or(c.WordHold, DefaultWordHold)
	c.DrainDistrust = cmp.Or(c.DrainDistrust, DefaultDrainDistrust)
	c.EjectionTime = cmp.Or(c.EjectionTime, DefaultEjectionTime)
	c.EjectionFloor = cmp.Or(c.EjectionFloor, DefaultEjectionFloor)
	c.CoverGrace = cmp.Or(c.CoverGrace, DefaultCoverGrace)
	return c
}

// Transition is a change of a server or group that operators want to see.
type Transition struct {
	Kind    journal.Kind
	Server  *Server
	Service string
	Shard   string
	Detail  string
	// Own is set when the change was seen by this engine itself and not told
	// by others.
	Own bool
}

// Pool is the set of servers that an engine sends to.
type Pool struct {
	config  Config
	servers map[netip.AddrPort]*Server
	// away holds what is known of the departure of servers that no
	// configuration names now, one small entry an address.
	away        map[netip.AddrPort]presence
	transitions []Transition
}

// New returns an empty pool.
func New(config Config) *Pool {
	return &Pool{
		config:  config.withDefaults(),
		servers: make(map[netip.AddrPort]*Server),
		away:    make(map[netip.AddrPort]presence),
	}
}

// Server returns the server at an address.
func (p *Pool) Server(address netip.AddrPort) (*Server, bool) {
	server, known := p.servers[address]
	return server, known
}

// TakeTransitions returns the changes since the last call. The slice is valid
// until the next call of the pool.
func (p *Pool) TakeTransitions() []Transition {
	taken := p.transitions
	p.transitions = p.transitions[:0]
	return taken
}

// Share sets this router's part of a server's slots and connections. It is
// kept for servers that are not configured yet.
func (p *Pool) Share(address netip.AddrPort, slots, connections int) *Server {
	server := p.ensure(address)
	server.share(slots, connections)
	server.recountGroups()
	return server
}

func (p *Pool) ensure(address netip.AddrPort) *Server {
	server, known := p.servers[address]
	if !known {
		server = &Server{Address: address, presence: p.away[address]}
		delete(p.away, address)
		p.servers[address] = server
	}
	return server
}

// forgetUnused drops a server without groups. What is known about it would be
// stale by the time that a later configuration names it again, but for its
// departure: a later configuration may name it a moment later.
func (p *Pool) forgetUnused(server *Server) {
	if len(server.members) > 0 || server.inFlight > 0 {
		return
	}
	delete(p.servers, server.Address)
	if departure := server.presence.departure(); departure.leaving() {
		p.away[server.Address] = departure
	}
}

func (s *Server) recountGroups() {
	for _, member := range s.members {
		member.group.recount()
	}
}
