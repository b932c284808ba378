package router

import (
	"cmp"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/probing"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/remote"
)

// Config sets the size and pace of a Router.
type Config struct {
	// Name identifies the router among its peers.
	Name string
	// Zone is where the router runs.
	Zone string
	// Boot changes at every start of the process.
	Boot uint64
	// Engines is the number of query engines; each owns whole services.
	Engines int
	// AdmissionRing bounds the requests that wait for an engine; a full ring
	// refuses.
	AdmissionRing int
	// MaxRequests bounds the requests under way in one engine.
	MaxRequests int
	// MaxAttempts bounds the attempts in flight of one engine.
	MaxAttempts int
	// ProbeInterval is the least pause between two probes of one back end, that
	// of one in doubt.
	ProbeInterval time.Duration
	// ProbeIdlePause, ProbeHeardPause and ProbeDownPause are the longest pauses
	// for a back end that is idle, whose replies come, and that is down; see
	// package probing.
	ProbeIdlePause  time.Duration
	ProbeHeardPause time.Duration
	ProbeDownPause  time.Duration
	// ProbeTimeout bounds one probe.
	ProbeTimeout time.Duration
	// CancelTimeout bounds the sending of one cancellation.
	CancelTimeout time.Duration
	// RefusalPause is what refused callers are told to wait.
	RefusalPause time.Duration
	// Alone says that no other router connects to the back ends, so that this
	// one takes the whole of their limits.
	Alone bool
	// ShareDelay is how long after a change of the list of live routers a
	// bigger share of connections is taken; see package cell. It must be longer
	// than a lease and the time after it for which connections are kept, a
	// quarter of this delay.
	ShareDelay time.Duration
	// Regions bounds what another region may take of this router.
	Regions remote.Config
	// ReachTimeout bounds one probe of another region's entry router.
	ReachTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultEngines       = 4
	DefaultAdmissionRing = 1024
	DefaultMaxRequests   = 4096
	DefaultMaxAttempts   = 16384
	DefaultProbeInterval = probing.DefaultInterval
	DefaultProbeTimeout  = time.Second
	DefaultCancelTimeout = time.Second
	DefaultRefusalPause  = 250 * time.Millisecond
	DefaultShareDelay    = 15 * time.Second
	DefaultReachTimeout  = time.Second
)

// withDefaults fills zero values.
func (c Config) withDefaults() Config {
	c.Engines = cmp.Or(c.Engines, DefaultEngines)
	c.AdmissionRing = cmp.Or(c.AdmissionRing, DefaultAdmissionRing)
	c.MaxRequests = cmp.Or(c.MaxRequests, DefaultMaxRequests)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, DefaultMaxAttempts)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, DefaultProbeInterval)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, DefaultProbeTimeout)
	c.CancelTimeout = cmp.Or(c.CancelTimeout, DefaultCancelTimeout)
	c.RefusalPause = cmp.Or(c.RefusalPause, DefaultRefusalPause)
	c.ReachTimeout = cmp.Or(c.ReachTimeout, DefaultReachTimeout)
	c.ShareDelay = cmp.Or(c.ShareDelay, DefaultShareDelay)
	return c
}

// probing returns the pauses of the prober.
func (c Config) probing() probing.Config {
	return probing.Config{
		Interval:   c.ProbeInterval,
		IdlePause:  c.ProbeIdlePause,
		HeardPause: c.ProbeHeardPause,
		DownPause:  c.ProbeDownPause,
	}
}

// Engine is the decision core that an engine loop drives; query.Engine is one.
type Engine interface {
	Step(now time.Time, event query.Event) []query.Command
}

// Dependencies are the collaborators of a Router.
type Dependencies struct {
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
	// Backends carries attempts, probes and cancellations.
	Backends *backend.Client
	Claims   ClaimRegistry
	Events   EventSink
	Source   ConfigSource
	// Forwarder may be nil when Config.Alone is set.
	Forwarder Forwarder
	// Regions carries requests to other regions; nil when Config.Alone is set.
	Regions RegionCaller
	// Admissions may be nil: nothing is recorded then.
	Admissions AdmissionLog
	// NewEngine creates the engine with an index in [0, Config.Engines).
	NewEngine func(index int) Engine
}
