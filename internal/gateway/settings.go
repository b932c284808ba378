package gateway

import (
	"time"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/settings"
)

// Options are the settings of the gateway role.
type Options struct {
	Name          string   `long:"name" koanf:"name" default:"gateway" validate:"required" description:"Name of this router, unique in the fleet"`
	Zone          string   `long:"zone" koanf:"zone" default:"default" validate:"required" description:"Zone that this router runs in"`
	ClientsListen string   `long:"clients-listen" koanf:"clients-listen" default:"127.0.0.1:8080" validate:"ip_port" description:"Address for clients"`
	PeerListen    string   `long:"peer-listen" koanf:"peer-listen" validate:"omitempty,ip_port" description:"Address for other routers, under which they reach this one; none when empty"`
	ReadyListen   string   `long:"ready-listen" koanf:"ready-listen" default:"127.0.0.1:8082" validate:"ip_port" description:"Address for readiness calls"`
	MetricsListen string   `long:"metrics-listen" koanf:"metrics-listen" validate:"omitempty,ip_port" description:"Address for metrics; none when empty"`
	Seeds         []string `long:"seed" koanf:"seeds" validate:"dive,ip_port" description:"Address of a directory node; its port is replaced by peer-port if that is set. Repeat it to name several"`
	PeerPort      uint16   `long:"peer-port" koanf:"peer-port" description:"Port at which all directory nodes are reached by routers and each other"`

	StopLimit      time.Duration `long:"stop-limit" koanf:"stop-limit" default:"30s" validate:"min=1s" description:"Longest planned stop"`
	ExtraRatio     float64       `long:"extra-ratio" koanf:"extra-ratio" default:"0.1" validate:"min=0" description:"Hedges and retries allowed at a service, of all routers, as a share of its requests"`
	ExtraSlack     float64       `long:"extra-slack" koanf:"extra-slack" default:"20" validate:"min=0" description:"Hedges and retries allowed beyond that"`
	ExtraWindow    time.Duration `long:"extra-window" koanf:"extra-window" default:"10s" validate:"min=100ms" description:"Length of the windows in which hedges and retries are counted"`
	ColdOver       float64       `long:"cold-over" koanf:"cold-over" default:"1.2" validate:"min=1" description:"How many times the rate that a service names for its cold servers each may get in any second, of all routers"`
	ColdSlack      float64       `long:"cold-slack" koanf:"cold-slack" default:"1" validate:"min=0" description:"Requests in any second allowed beyond that"`
	EvacuateWithin time.Duration `long:"evacuate-within" koanf:"evacuate-within" default:"5s" validate:"min=0" description:"How long after the acknowledgement of an evacuation requests may still go to the zone"`
	RevokeWithin   time.Duration `long:"revoke-within" koanf:"revoke-within" default:"10s" validate:"min=0" description:"How long after a key was taken away requests with it may still be served, also by a router that is cut off; 0 for no bound"`

	LoadReports      string `long:"load-reports" koanf:"load-reports" default:"on" validate:"oneof=on off" description:"Report demand and the observed load of servers to the directory"`
	Admission        string `long:"admission" koanf:"admission" default:"on" validate:"oneof=on off" description:"Refuse requests of routes that are short of capacity, as the directory's leader decides"`
	Reservations     string `long:"reservations" koanf:"reservations" default:"on" validate:"oneof=on off" description:"Tell refused clients a time at which their retry is admitted"`
	TenantShares     string `long:"tenant-shares" koanf:"tenant-shares" default:"on" validate:"oneof=on off" description:"Refuse what tenants send above their share first where capacity is short"`
	ClassOrder       string `long:"class-order" koanf:"class-order" default:"on" validate:"oneof=on off" description:"Send waiting calls of more urgent routes first"`
	SharedConditions string `long:"shared-conditions" koanf:"shared-conditions" default:"on" validate:"oneof=on off" description:"Avoid servers that other routers find slow, refusing or silent"`
	ResendRefused    string `long:"resend-refused" koanf:"resend-refused" default:"on" validate:"oneof=on off" description:"Send a call that all its servers refused to one of them again"`

	LogLevel        string `long:"log-level" koanf:"log-level" default:"info" validate:"oneof=debug info warning error" description:"Least level of log lines"`
	MemoryLimit     int64  `long:"memory-limit" koanf:"memory-limit" default:"0" validate:"min=0" description:"Memory that the process may use, bytes; 0 for that of the machine. Requests that are being read or served may take a quarter of it"`
	DescriptorLimit int64  `long:"descriptor-limit" koanf:"descriptor-limit" default:"0" validate:"min=0" description:"Files and connections that the process may have open; 0 for what the system allows. Connections of clients and servers may take two fifths of it"`
}

// SeedAddresses returns the addresses at which routers reach directory nodes.
func (o *Options) SeedAddresses() []string { return settings.WithPort(o.Seeds, o.PeerPort) }

// ColdLimits returns the limits of requests to cold servers.
func (o *Options) ColdLimits() scatter.ColdLimits {
	return scatter.ColdLimits{RateFactor: o.ColdOver, Slack: o.ColdSlack}
}

// settingOn is the value of a setting that enables a part. A boolean option can't have the
// default true.
const settingOn = "on"

// Parts returns the parts of load sharing and admission that are enabled.
func (o *Options) Parts() Parts {
	return Parts{
		LoadReports: o.LoadReports == settingOn, Admission: o.Admission == settingOn, Reservations: o.Reservations == settingOn,
		TenantShares: o.TenantShares == settingOn, ClassOrder: o.ClassOrder == settingOn,
		SharedConditions: o.SharedConditions == settingOn, ResendRefused: o.ResendRefused == settingOn,
	}
}

// BudgetLimits returns the limits of hedges and retries.
func (o *Options) BudgetLimits() scatter.BudgetLimits {
	return scatter.BudgetLimits{Ratio: o.ExtraRatio, Slack: o.ExtraSlack, Window: o.ExtraWindow}
}
