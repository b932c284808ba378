package relay

import (
	"time"

	"github.com/martenstage/martenstage/internal/rpc"
)

// Options are the settings of the relay role.
type Options struct {
	Name       string   `long:"name" koanf:"name" validate:"required" description:"Name of this relay, unique in the fleet"`
	Zone       string   `long:"zone" koanf:"zone" default:"default" validate:"required" description:"Zone that this relay runs in"`
	Listen     string   `long:"listen" koanf:"listen" validate:"required,ip_port" description:"Address for routers and further relays"`
	Advertise  string   `long:"advertise" koanf:"advertise" validate:"omitempty,ip_port" description:"Address under which others reach this relay; the listen address when empty"`
	Upstream   []string `long:"upstream" koanf:"upstream" validate:"min=1,dive,ip_port" description:"Address of a control voter, or of a relay nearer to control; repeat it to name several"`
	Control    []string `long:"control" koanf:"control" validate:"dive,ip_port" description:"Address of a control voter for events; the upstreams when empty"`
	DataFolder string   `long:"data-folder" koanf:"data-folder" description:"Folder for events on their way to the journal; when empty they go to the log only"`

	MetricsListen string        `long:"metrics-listen" koanf:"metrics-listen" validate:"omitempty,ip_port" description:"Address of the metrics page; none when empty"`
	LogLevel      string        `long:"log-level" koanf:"log-level" default:"info" validate:"oneof=debug info warning error" description:"Least level of log lines"`
	StopLimit     time.Duration `long:"stop-limit" koanf:"stop-limit" default:"5s" validate:"min=1s" description:"Longest planned stop"`

	rpc.SecurityOptions `koanf:",squash"`
}

func (o *Options) address() string {
	if o.Advertise != "" {
		return o.Advertise
	}
	return o.Listen
}

// journalVoters are the servers that events are sent to.
func (o *Options) journalVoters() []string {
	if len(o.Control) > 0 {
		return o.Control
	}
	return o.Upstream
}
