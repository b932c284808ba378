package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/settings"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// processCommand is what the commands that run a process have in common.
type processCommand struct {
	Settings string `long:"settings" description:"Settings file (YAML)"`
	command  *flags.Command
}

// UseCommand keeps the parsed command, to tell given options from defaults.
func (c *processCommand) UseCommand(command *flags.Command) { c.command = command }

// load fills the settings of a role from the file and the given options.
func (c *processCommand) load(options any) error {
	return exitcode.With(exitcode.Settings, settings.Load(c.Settings, c.command, options))
}

// untilSignal returns a context that ends with SIGTERM or SIGINT, which begin a
// planned stop. A second signal ends the process at once.
func untilSignal() (stopping context.Context, restore context.CancelFunc) {
	stopping, restore = signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(stopping, restore)
	return stopping, restore
}

// process is a role that runs until its context ends.
type process interface {
	Run(stopping context.Context) error
}

// tellSuspensions logs each suspension of the machine until the context ends: what the
// process believed before it may be old.
func tellSuspensions(ctx context.Context, logger logrus.FieldLogger) {
	err := steadyclock.Watch(ctx, func(length time.Duration) {
		logger.WithField("length", length).Warn("machine_suspended")
	})
	if err != nil {
		logger.WithError(err).Warn("suspensions_not_seen")
	}
}

// runProcess builds a process and runs it until a signal.
func runProcess[P process](injector do.Injector) error {
	stopping, restore := untilSignal()
	defer restore()
	built, err := do.Invoke[P](injector)
	if err != nil {
		return err
	}
	logger, err := do.Invoke[*logrus.Logger](injector)
	if err != nil {
		return err
	}
	go tellSuspensions(stopping, logger)
	return built.Run(stopping)
}

// loggerAt returns a provider of the process's logger.
func loggerAt(level string) do.Provider[*logrus.Logger] {
	return func(do.Injector) (*logrus.Logger, error) {
		logger, err := logging.New(os.Stderr, level)
		return logger, exitcode.With(exitcode.Settings, err)
	}
}
