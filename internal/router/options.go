package router

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/probing"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/remote"
	"github.com/martenstage/martenstage/internal/rpc"
)

// Options are the settings of the router role.
type Options struct {
	Name          string `long:"name" koanf:"name" default:"router" validate:"required" description:"Name of this router, unique in the fleet"`
	Zone          string `long:"zone" koanf:"zone" default:"default" validate:"required" description:"Zone that this router runs in"`
	CallersListen string `long:"callers-listen" koanf:"callers-listen" default:"127.0.0.1:8080" validate:"ip_port" description:"Address of the callers' API"`
	PeersListen   string `long:"peers-listen" koanf:"peers-listen" default:"127.0.0.1:8081" validate:"ip_port" description:"Address for other routers, which hand over requests of services whose cell this router is of"`
	Advertise     string `long:"advertise" koanf:"advertise" validate:"omitempty,ip_port" description:"Address under which other routers reach this one; the one listened on for them when empty"`

	Upstream   []string `long:"upstream" koanf:"upstream" validate:"dive,ip_port" description:"Address of a relay, or of a control voter on a small site, to follow; repeat it to name several"`
	Control    []string `long:"control" koanf:"control" validate:"dive,ip_port" description:"Address of a control voter for claims and events; the upstreams when empty"`
	DataFolder string   `long:"data-folder" koanf:"data-folder" description:"Folder for events on their way to the journal; when empty they go to the log only"`
	Admissions string   `long:"admission-record" koanf:"admission-record" description:"File to which is appended, each second, how many requests were admitted under which configuration; for tests and audits, none when empty"`
	PolicyFile string   `long:"policy-file" koanf:"policy-file" description:"Policy file for a single router without control, in place of upstreams"`

	rpc.SecurityOptions `koanf:",squash"`

	LogLevel string `long:"log-level" koanf:"log-level" default:"info" validate:"oneof=debug info warning error" description:"Least level of log lines"`
	MaxBody  int64  `long:"max-body-bytes" koanf:"max-body-bytes" default:"262144" validate:"min=1" description:"Longest body of a query, bytes"`
	MaxReply int64  `long:"max-reply-bytes" koanf:"max-reply-bytes" default:"8388608" validate:"min=1" description:"Longest reply of a back end, bytes"`

	Engines     int `long:"engines" koanf:"engines" default:"4" validate:"min=1,max=256" description:"Query engines; each owns whole services"`
	Admission   int `long:"admission-ring" koanf:"admission-ring" default:"1024" validate:"min=1" description:"Requests that may wait for one engine; more are refused"`
	MaxRequests int `long:"max-requests" koanf:"max-requests" default:"4096" validate:"min=1" description:"Requests under way in one engine; more are refused"`
	MaxAttempts int `long:"max-attempts" koanf:"max-attempts" default:"16384" validate:"min=1" description:"Attempts in flight of one engine; more are refused"`

	RemoteRequests int `long:"remote-requests" koanf:"remote-requests" default:"256" validate:"min=1" description:"Requests on their way to one other region; more are refused"`

	ProbeInterval time.Duration `long:"probe-interval" koanf:"probe-interval" default:"250ms" validate:"min=10ms" description:"Least pause between health probes of a back end, used while it is in doubt"`
	ProbeIdle     time.Duration `long:"probe-idle-pause" koanf:"probe-idle-pause" default:"1500ms" validate:"min=10ms" description:"Longest pause between observations of a back end that is ready; a site of few routers pauses less"`
	ProbeHeard    time.Duration `long:"probe-heard-pause" koanf:"probe-heard-pause" default:"4s" validate:"min=10ms" description:"Longest pause between probes of a back end whose replies say all that a probe says"`
	ProbeDown     time.Duration `long:"probe-down-pause" koanf:"probe-down-pause" default:"4s" validate:"min=10ms" description:"Longest pause between probes of a back end that is unreachable, draining or warming"`
	ProbeTimeout  time.Duration `long:"probe-timeout" koanf:"probe-timeout" default:"1s" validate:"min=10ms" description:"Longest wait for a health probe"`
	ShareDelay    time.Duration `long:"share-delay" koanf:"share-delay" default:"15s" validate:"min=1s" description:"How long after a change of the live routers a bigger share of connections is taken; at least one and a half times control's lease"`
	DialTimeout   time.Duration `long:"dial-timeout" koanf:"dial-timeout" default:"1s" validate:"min=1ms" description:"Longest wait for a connection to a back end"`

	StopNotice     time.Duration `long:"stop-notice" koanf:"stop-notice" default:"5s" validate:"min=0" description:"How long a stopping router serves on after it reported not ready"`
	StopQuiet      time.Duration `long:"stop-quiet" koanf:"stop-quiet" default:"500ms" validate:"min=0" description:"How long no request may have come before a stopping router closes its listener"`
	StopQuietLimit time.Duration `long:"stop-quiet-limit" koanf:"stop-quiet-limit" default:"10s" validate:"min=0" description:"Longest wait for that"`
	StopLimit      time.Duration `long:"stop-limit" koanf:"stop-limit" default:"120s" validate:"min=1s" description:"Longest planned stop; requests still in flight are then cut off and the exit code is 1"`
}

// Check rejects conflicting or incomplete settings.
func (o *Options) Check() error {
	switch {
	case o.PolicyFile == "" && len(o.Upstream) == 0:
		return errors.New("one of upstream and policy-file must be set")
	case o.PolicyFile != "" && len(o.Upstream) > 0:
		return errors.New("upstream and policy-file can't both be set")
	default:
		return nil
	}
}

// Voters returns the servers that decide claims and store events.
func (o *Options) Voters() []string {
	if len(o.Control) > 0 {
		return o.Control
	}
	return o.Upstream
}

// Config returns the router's configuration for one start of the process.
func (o *Options) Config(boot uint64) Config {
	return Config{
		Name:          o.Name,
		Zone:          o.Zone,
		Boot:          boot,
		Standalone:    o.PolicyFile != "",
		Engines:       o.Engines,
		AdmissionRing: o.Admission,
		MaxRequests:   o.MaxRequests,
		MaxAttempts:   o.MaxAttempts,
		ProbeInterval: o.ProbeInterval,
		ProbeTimeout:  o.ProbeTimeout,
		ShareDelay:    o.ShareDelay,
		Regions:       remote.Config{Limit: o.RemoteRequests},

		ProbeIdlePause:  o.ProbeIdle,
		ProbeHeardPause: o.ProbeHeard,
		ProbeDownPause:  o.ProbeDown,
	}
}

// BackendConfig returns the configuration of the back-end client.
func (o *Options) BackendConfig() backend.Config {
	return backend.Config{
		Zone:          o.Zone,
		MaxReplyBytes: o.MaxReply,
		DialTimeout:   o.DialTimeout,
	}
}

// EngineConfig returns the configuration of one query engine.
func (o *Options) EngineConfig(index int) query.Config {
	return query.Config{
		Zone:        o.Zone,
		Seed:        xxhash.Sum64String(o.Name) + uint64(index),
		MaxInFlight: o.MaxRequests,
		Tuning:      query.Tuning{Balancer: balancer.Config{HealthLifetime: o.healthLifetime()}},
	}
}

// healthLifetime is how long an observation of a back end stays valid before the back
// end counts as unreachable in any case: the longest pause after an observation plus
// the timeout of one probe, and at least two probes of a suspect back end that time
// out.
func (o *Options) healthLifetime() time.Duration {
	const probes = 2
	idle := probing.MaxWithJitter(max(o.ProbeIdle, o.ProbeInterval))
	return max(idle+o.ProbeTimeout, probes*(o.ProbeInterval+o.ProbeTimeout))
}
