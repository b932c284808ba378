package main

import (
	"context"
	"net"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/gateway"
	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/settings"
	"github.com/martenstage/martenstage/platform"
)

// gatewayCommand runs a router of a site with registered servers.
type gatewayCommand struct {
	gateway.Options
	processCommand
}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	hangups := settings.Hangups()
	if err := c.load(&c.Options); err != nil {
		return err
	}
	return runRegistered(roleGateway, c.LogLevel, newProcessLimits(c.MemoryLimit, c.DescriptorLimit), hangups, c.run)
}

func (c *gatewayCommand) run(stopping context.Context, process *registeredProcess) error {
	running := gateway.New(gateway.Config{
		Name: c.Name, Zone: c.Zone, PeerAddress: c.PeerListen, Seeds: c.SeedAddresses(), Grace: c.StopLimit, Budget: c.BudgetLimits(), Cold: c.ColdLimits(), EvacuateWithin: c.EvacuateWithin, RevokeWithin: c.RevokeWithin,
		Parts:  c.Parts(),
		Intake: process.limits.intake, ReplyMemory: process.limits.replies(), MaxClientConnections: process.limits.connections(mainShare), MaxPeerConnections: process.limits.connections(peerShare),
		ParseDocument: platform.ParseDocument, Dialect: platform.Headers{}, Codec: platform.Headers{},
	}, gateway.Environment{Logger: process.logger, Registerer: process.registry})
	clients, err := listen("clients-listen", c.ClientsListen)
	if err != nil {
		return err
	}
	var others net.Listener
	if c.PeerListen != "" {
		if others, err = listen("peer-listen", c.PeerListen); err != nil {
			return err
		}
	}
	if err := process.serve("ready-listen", c.ReadyListen, statusShare, platform.ReadyHandler(running.Ready)); err != nil {
		return err
	}
	if err := process.serve("metrics-listen", c.MetricsListen, statusShare, metrics.Handler(process.registry)); err != nil {
		return err
	}
	go process.watch(stopping, c.Settings, c.reloadSeeds, running.SetSeeds)
	process.logger.WithFields(logrus.Fields{
		"role": "gateway", "node": c.Name, "zone": c.Zone, "address": clients.Addr(), "seeds": c.SeedAddresses(),
	}).Info("started")
	return running.Run(stopping, clients, others)
}

// reloadSeeds reads the settings again and returns the seeds.
func (c *gatewayCommand) reloadSeeds() ([]string, error) {
	reloaded := c.Options
	if err := c.load(&reloaded); err != nil {
		return nil, err
	}
	return reloaded.SeedAddresses(), nil
}
