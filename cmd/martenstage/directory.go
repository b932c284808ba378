package main

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/settings"
	"github.com/martenstage/martenstage/internal/voter"
	"github.com/martenstage/martenstage/platform"
)

// directoryCommand runs a control node of a site with registered servers.
type directoryCommand struct {
	directory.Options
	processCommand
}

// Execute implements flags.Commander.
func (c *directoryCommand) Execute([]string) error {
	hangups := settings.Hangups()
	if err := c.load(&c.Options); err != nil {
		return err
	}
	return runRegistered(roleDirectory, c.LogLevel, newProcessLimits(c.MemoryLimit, c.DescriptorLimit), hangups, c.run)
}

// wrapStore is put around the log on disk; nil but in builds that play faults of disks.
var wrapStore func(voter.Store) voter.Store

func (c *directoryCommand) run(stopping context.Context, process *registeredProcess) error {
	config := c.Config(directory.Documents{Check: platform.DocumentVersion, Limits: platform.DocumentLimits, Parse: platform.ParseDocument})
	config.SnapshotBytes = process.limits.snapshotBytes()
	if c.PlansAdmission() {
		config.NewPlanner = directory.NewAdmissionPlanner
	}
	node, err := directory.Open(config, directory.Environment{
		Logger: process.logger, Registerer: process.registry, WrapStore: wrapStore,
	})
	if err != nil {
		return exitcode.With(exitcode.DataFolder, err)
	}
	if err := process.serve("peer-listen", c.PeerListen, mainShare, node.PeerHandler()); err != nil {
		return err
	}
	if err := process.serve("control-listen", c.ControlListen, mainShare, platform.ControlHandler(node)); err != nil {
		return err
	}
	if err := process.serve("metrics-listen", c.MetricsListen, statusShare, metrics.Handler(process.registry)); err != nil {
		return err
	}
	go process.watch(stopping, c.Settings, c.reloadSeeds, node.SetSeeds)
	process.logger.WithFields(logrus.Fields{
		"role": "directory", "node": c.Name, "address": c.ControlListen, "peer_address": c.PeerListen,
		"seeds": c.SeedAddresses(), "bootstrap": c.Bootstrap, "folder": c.DataFolder,
	}).Info("started")
	err = node.Run(stopping)
	process.logger.WithField(logrus.ErrorKey, err).Info("stopped")
	return err
}

// reloadSeeds reads the settings again and returns the seeds.
func (c *directoryCommand) reloadSeeds() ([]string, error) {
	reloaded := c.Options
	if err := c.load(&reloaded); err != nil {
		return nil, err
	}
	return reloaded.SeedAddresses(), nil
}
