package main

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/machinelist"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/settings"
)

// platformCommand serves a stand-in for the platform's list of machines.
type platformCommand struct {
	Config string `long:"config" description:"Settings file (YAML)"`

	Listen      string   `long:"listen" koanf:"listen" validate:"required,ip_port" description:"Address of the list and of the calls that change it"`
	PolicyFiles []string `long:"policy-file" koanf:"policy-file" description:"Configuration whose replicas are listed as live from the start; may be repeated"`
	Script      string   `long:"script" koanf:"script" description:"Script (YAML) of the lag and of changes by time"`
	LogLevel    string   `long:"log-level" koanf:"log-level" default:"info" description:"debug, info, warning or error"`

	command *flags.Command
}

// UseCommand keeps the parsed command, to tell given options from defaults.
func (c *platformCommand) UseCommand(command *flags.Command) { c.command = command }

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	if err := settings.Load(c.Config, c.command, c); err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	logger, err := logging.New(os.Stderr, c.LogLevel)
	if err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	plans, err := compileFiles(c.PolicyFiles)
	if err != nil {
		return err
	}
	config := machinelist.FakePlatformConfig{}
	if c.Script != "" {
		if config, err = machinelist.ReadScript(c.Script); err != nil {
			return exitcode.With(exitcode.Settings, err)
		}
	}
	config.Machines = replicaAddresses(plans)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	logger.WithField(logging.FieldAddress, c.Listen).WithField("machines", len(config.Machines)).Info("platform stand-in starts")
	return serveHTTP(ctx, c.Listen, machinelist.NewFakePlatform(config).Handler())
}

// replicaAddresses returns the addresses of all replicas, each once.
func replicaAddresses(plans []*plan.Plan) []netip.AddrPort {
	var addresses []netip.AddrPort
	seen := map[netip.AddrPort]bool{}
	for _, compiled := range plans {
		for placement := range compiled.Placements() {
			address := placement.Replica.Address
			if !seen[address] {
				seen[address] = true
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}
