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

	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/settings"
)

// controlCommand runs a control voter until SIGTERM or SIGINT.
type controlCommand struct {
	control.Options
	Settings string `long:"settings" description:"Settings file (YAML)"`
	command  *flags.Command
}

// UseCommand keeps the parsed command, to tell given options from defaults.
func (c *controlCommand) UseCommand(command *flags.Command) { c.command = command }

// Execute implements flags.Commander.
func (c *controlCommand) Execute([]string) error {
	if err := settings.Load(c.Settings, c.command, &c.Options); err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	// A second signal ends the process at once.
	stopping, restore := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer restore()
	context.AfterFunc(stopping, restore)

	injector := do.New()
	do.ProvideValue(injector, &c.Options)
	do.ProvideValue(injector, metrics.NewRegistry("control"))
	do.Provide(injector, provideControlLogger)
	do.Provide(injector, provideControl)
	process, err := do.Invoke[*control.Process](injector)
	if err != nil {
		return err
	}
	return process.Run(stopping)
}

func provideControlLogger(injector do.Injector) (*logrus.Logger, error) {
	logger, err := logging.New(os.Stderr, do.MustInvoke[*control.Options](injector).LogLevel)
	return logger, exitcode.With(exitcode.Settings, err)
}

func provideControl(injector do.Injector) (*control.Process, error) {
	logger, err := do.Invoke[*logrus.Logger](injector)
	if err != nil {
		return nil, err
	}
	registry := do.MustInvoke[*prometheus.Registry](injector)
	return control.Open(do.MustInvoke[*control.Options](injector), control.Environment{Logger: logger, Registry: registry})
}
