package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/relay"
	"github.com/martenstage/martenstage/internal/settings"
)

// relayCommand runs a relay until SIGTERM or SIGINT.
type relayCommand struct {
	relay.Options
	Settings string `long:"settings" description:"Settings file (YAML)"`
	command  *flags.Command
}

// UseCommand keeps the parsed command, to tell given options from defaults.
func (c *relayCommand) UseCommand(command *flags.Command) { c.command = command }

// Execute implements flags.Commander.
func (c *relayCommand) Execute([]string) error {
	if err := settings.Load(c.Settings, c.command, &c.Options); err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	// A second signal ends the process at once.
	stopping, restore := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer restore()
	context.AfterFunc(stopping, restore)

	injector := do.New()
	do.ProvideValue(injector, &c.Options)
	do.ProvideValue(injector, metrics.NewRegistry("relay"))
	do.Provide(injector, provideRelayLogger)
	do.Provide(injector, provideRelay)
	process, err := do.Invoke[*relay.Process](injector)
	if err != nil {
		return err
	}
	return process.Run(stopping)
}

func provideRelayLogger(injector do.Injector) (*logrus.Logger, error) {
	logger, err := logging.New(os.Stderr, do.MustInvoke[*relay.Options](injector).LogLevel)
	return logger, exitcode.With(exitcode.Settings, err)
}

func provideRelay(injector do.Injector) (*relay.Process, error) {
	logger, err := do.Invoke[*logrus.Logger](injector)
	if err != nil {
		return nil, err
	}
	registry := do.MustInvoke[*prometheus.Registry](injector)
	return relay.Open(do.MustInvoke[*relay.Options](injector), logger, registry)
}
