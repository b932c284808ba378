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

// Config holds the limits, intervals and timeouts of a Router.
type Config struct {
	// Name identifies the router among its peers.
	Name string
	// Zone is where the router runs.
	Zone string
	// Boot changes at every start of the process.
	Boot uint64
	// Engines is the number of query engines; each owns complete services.
	Engines int
	// AdmissionRing bounds the requests that wait for an engine; when the ring is
	// full, requests are refused.
	AdmissionRing int
	// MaxRequests bounds the requests in flight in one engine.
	MaxRequests int
	// MaxAttempts bounds the attempts in flight in one engine.
	MaxAttempts int
	// ProbeInterval is the minimum pause between two probes of one back end, used
	// while that back end is suspect.
	ProbeInterval time.Duration
	// ProbeIdlePause, ProbeHeardPause and ProbeDownPause are the maximum pauses for a
	// back end that is idle, that is replying to queries, and that is down; see
	// package probing.
	ProbeIdlePause  time.Duration
	ProbeHeardPause time.Duration
	ProbeDownPause  time.Duration
	// ProbeTimeout bounds one probe.
	ProbeTimeout time.Duration
	// CancelTimeout bounds the sending of one cancellation.
	CancelTimeout time.Duration
	// RefusalRetryAfter is the RetryAfter hint of refusals.
	RefusalRetryAfter time.Duration
	// Standalone means that no other router connects to the back ends, so that this one
	// uses their complete limits.
	Standalone bool
	// ShareDelay is how long after a change of the list of live routers a bigger share
	// of connections takes effect; see package cell. It must be longer than a lease
	// plus the time for which connections are kept after the lease, a quarter of this
	// delay.
	ShareDelay time.Duration
	// Regions limits the requests to each other region.
	Regions remote.Config
	// RegionProbeTimeout bounds one probe of another region's entry router.
	RegionProbeTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultEngines            = 4
	DefaultAdmissionRing      = 1024
	DefaultMaxRequests        = 4096
	DefaultMaxAttempts        = 16384
	DefaultProbeInterval      = probing.DefaultInterval
	DefaultProbeTimeout       = time.Second
	DefaultCancelTimeout      = time.Second
	DefaultRefusalRetryAfter  = 250 * time.Millisecond
	DefaultShareDelay         = 15 * time.Second
	DefaultRegionProbeTimeout = time.Second
)

// withDefaults replaces zero values by the defaults.
func (c Config) withDefaults() Config {
	c.Engines = cmp.Or(c.Engines, DefaultEngines)
	c.AdmissionRing = cmp.Or(c.AdmissionRing, DefaultAdmissionRing)
	c.MaxRequests = cmp.Or(c.MaxRequests, DefaultMaxRequests)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, DefaultMaxAttempts)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, DefaultProbeInterval)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, DefaultProbeTimeout)
	c.CancelTimeout = cmp.Or(c.CancelTimeout, DefaultCancelTimeout)
	c.RefusalRetryAfter = cmp.Or(c.RefusalRetryAfter, DefaultRefusalRetryAfter)
	c.RegionProbeTimeout = cmp.Or(c.RegionProbeTimeout, DefaultRegionProbeTimeout)
	c.ShareDelay = cmp.Or(c.ShareDelay, DefaultShareDelay)
	return c
}

// probing returns the pauses of the prober.
func (c Config) probing() probing.Config {
	return probing.Config{
		Interval:      c.ProbeInterval,
		IdlePause:     c.ProbeIdlePause,
		ObservedPause: c.ProbeHeardPause,
		DownPause:     c.ProbeDownPause,
	}
}

// Engine makes the decisions that an engine loop executes; query.Engine implements
// it.
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
	// Forwarder may be nil for a standalone router.
	Forwarder Forwarder
	// Regions carries requests to other regions; nil for a standalone router.
	Regions RegionCaller
	// Admissions may be nil: admissions are not recorded then.
	Admissions AdmissionLog
	// NewEngine creates the engine with an index in [0, Config.Engines).
	NewEngine func(index int) Engine
}
