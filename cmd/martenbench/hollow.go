package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/proof/scale"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/settings"
)

// hollowCommand runs hollow followers until SIGTERM or SIGINT.
type hollowCommand struct {
	Name      string   `long:"name" koanf:"name" required:"yes" validate:"required" description:"Begin of the followers' names"`
	Followers int      `long:"followers" koanf:"followers" required:"yes" validate:"min=1" description:"How many followers run at once"`
	Relays    []string `long:"relay" koanf:"relay" required:"yes" validate:"min=1,dive,ip_port" description:"Address of a relay; repeat it to name all, in the same order for each process"`
	Zones     int      `long:"zones" koanf:"zones" default:"1" validate:"min=1" description:"Zones that relays and followers are dealt to in turn"`
	ZoneNames []string `long:"zone" koanf:"zone" description:"Zone that followers are dealt to in turn; repeat it to name all of a region, whose followers then know all relays. Excludes --zones"`
	Services  string   `long:"services" koanf:"services" description:"Begin of the names of the services of the followers' region; a plan with another service is counted"`
	Metrics   string   `long:"metrics-listen" koanf:"metrics-listen" required:"yes" validate:"ip_port" description:"Address of the metrics page and of the run's questions"`
	Churn     int64    `long:"churn" koanf:"churn" default:"0" validate:"min=0" description:"How many times faster than 23,150 a day over 4,500 nodes followers end; 0 for never"`
	Seed      uint64   `long:"seed" koanf:"seed" default:"1" description:"Seed of restarts and jitter"`
	LogLevel  string   `long:"log-level" koanf:"log-level" default:"warning" validate:"oneof=debug info warning error" description:"Least level of log lines"`
}

// Execute implements flags.Commander.
func (c *hollowCommand) Execute([]string) error {
	if err := settings.Validate(c); err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	logger, err := logging.New(os.Stderr, c.LogLevel)
	if err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	security, err := rpc.NewSecurity(rpc.SecuritySettings{InsecurePlaintext: true}, logger)
	if err != nil {
		return err
	}
	stopping, restore := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer restore()
	context.AfterFunc(stopping, restore)

	fleet := scale.NewFleet(scale.FleetConfig{
		Name: c.Name, Followers: c.Followers, Relays: c.Relays, Zones: c.Zones, Seed: c.Seed,
		ZoneNames: c.ZoneNames, Services: c.Services,
	}, security, logger)
	fleet.SetChurn(c.Churn)
	listener, err := net.Listen("tcp4", c.Metrics)
	if err != nil {
		return exitcode.With(exitcode.Settings, errors.Wrap(err, "metrics-listen"))
	}
	const headerTimeout = time.Second
	server := &http.Server{Handler: fleet.Handler(metrics.NewRegistry("hollow")), ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(stopping, func() { _ = server.Close() })
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	fleet.Run(stopping)
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
