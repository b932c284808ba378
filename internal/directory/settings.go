package directory

import (
	"time"

	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/settings"
)

// Options are the settings of the directory role.
type Options struct {
	Name          string   `long:"name" koanf:"name" default:"directory" validate:"required" description:"Name of this node, unique in the fleet"`
	ControlListen string   `long:"control-listen" koanf:"control-listen" default:"127.0.0.1:7200" validate:"ip_port" description:"Address for servers and operators"`
	PeerListen    string   `long:"peer-listen" koanf:"peer-listen" default:"127.0.0.1:7201" validate:"ip_port" description:"Address for other directory nodes and routers, under which they reach this one"`
	MetricsListen string   `long:"metrics-listen" koanf:"metrics-listen" validate:"omitempty,ip_port" description:"Address for metrics; none when empty"`
	Seeds         []string `long:"seed" koanf:"seeds" validate:"dive,ip_port" description:"Address of a directory node; its port is replaced by peer-port if that is set. Repeat it to name several"`
	PeerPort      uint16   `long:"peer-port" koanf:"peer-port" description:"Port at which all directory nodes are reached by routers and each other"`
	DataFolder    string   `long:"data-folder" koanf:"data-folder" validate:"required" description:"Folder for identity and log"`
	Bootstrap     bool     `long:"bootstrap" koanf:"bootstrap" description:"The group is formed for the first time: a seed with an empty folder founds it"`
	Losses        int      `long:"losses" koanf:"losses" default:"1" validate:"min=0,max=4" description:"Nodes that may be lost at once; the group has two voters for each and one more"`

	HeartbeatInterval time.Duration `long:"heartbeat-interval" koanf:"heartbeat-interval" default:"1s" validate:"min=10ms" description:"How often servers announce themselves"`
	CanaryShare       float64       `long:"canary-share" koanf:"canary-share" default:"0.1" validate:"gt=0,max=1" description:"Share of a service's requests that a bad version may get in a roll-out"`
	QuotaOver         float64       `long:"quota-over" koanf:"quota-over" default:"0.05" validate:"min=0" description:"Share by which the requests of a tenant may exceed its limit in any window"`
	QuotaSlack        float64       `long:"quota-slack" koanf:"quota-slack" default:"10" validate:"min=0" description:"Requests of a tenant in any window allowed beyond that"`
	QuotaWindow       time.Duration `long:"quota-window" koanf:"quota-window" default:"5s" validate:"min=100ms" description:"Length of those windows"`
	AdmissionPlan     string        `long:"admission-plan" koanf:"admission-plan" default:"off" validate:"oneof=on off" description:"Whether this node, while it leads, has routers refuse what exceeds the capacity of services, by priority and tenant"`
	StopLimit         time.Duration `long:"stop-limit" koanf:"stop-limit" default:"30s" validate:"min=1s" description:"Longest planned stop"`
	LogLevel          string        `long:"log-level" koanf:"log-level" default:"info" validate:"oneof=debug info warning error" description:"Least level of log lines"`
	MemoryLimit       int64         `long:"memory-limit" koanf:"memory-limit" default:"0" validate:"min=0" description:"Memory that the process may use, bytes; 0 for that of the machine. Requests that are being read or served may take a quarter of it"`
	DescriptorLimit   int64         `long:"descriptor-limit" koanf:"descriptor-limit" default:"0" validate:"min=0" description:"Files and connections that the process may have open; 0 for what the system allows. Connections of clients and servers may take two fifths of it"`
}

// SeedAddresses returns the peer addresses of the seeds.
func (o *Options) SeedAddresses() []string { return settings.WithPort(o.Seeds, o.PeerPort) }

// PlansAdmission reports whether the node computes, while it leads, which share of each route's
// requests is admitted.
func (o *Options) PlansAdmission() bool { return o.AdmissionPlan == "on" }

// Documents are the functions by which a node reads routing documents.
type Documents struct {
	// Check parses a document and returns its version; Limits reads the limits of its tenants.
	Check  func(text []byte) (version uint64, err error)
	Limits func(text []byte) (map[string]quota.Limit, error)
	// Parse parses a checked document.
	Parse func(text []byte) (*routing.Document, error)
}

// Config returns the configuration of a node.
func (o *Options) Config(documents Documents) Config {
	return Config{
		Name: o.Name, PeerAddress: o.PeerListen, Seeds: o.SeedAddresses(), Bootstrap: o.Bootstrap,
		Folder: o.DataFolder, Losses: o.Losses, HeartbeatInterval: o.HeartbeatInterval,
		CheckDocument: documents.Check, ReadLimits: documents.Limits, ReadDocument: documents.Parse,
		CanaryShare:    o.CanaryShare,
		QuotaTolerance: quota.Tolerance{Fraction: o.QuotaOver, Slack: o.QuotaSlack, Window: o.QuotaWindow},
	}
}
