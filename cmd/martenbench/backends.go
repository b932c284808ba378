package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/settings"
)

// backendsCommand runs the emulated back ends of configurations.
type backendsCommand struct {
	Config string `long:"config" description:"Settings file (YAML)"`

	PolicyFiles []string      `long:"policy-file" koanf:"policy-file" validate:"required" description:"Configuration whose replicas are emulated; repeat it to serve several"`
	Record      string        `long:"record" koanf:"record" description:"File for the record of queries and departures; empty for none"`
	Script      string        `long:"script" koanf:"script" description:"Script (YAML) of service times, index versions and faults"`
	AdminListen string        `long:"admin-listen" koanf:"admin-listen" validate:"omitempty,ip_port" description:"Address of the administration listener; empty for none"`
	Seed        uint64        `long:"seed" koanf:"seed" default:"1" description:"Seed of service times, stragglers and fractions"`
	Median      time.Duration `long:"service-time-median" koanf:"service-time-median" default:"4ms" description:"Median service time of services that the script does not name"`
	ZoneDelay   time.Duration `long:"zone-delay" koanf:"zone-delay" default:"1ms" description:"Delay of each direction between two zones"`
	ColdStart   time.Duration `long:"cold-start" koanf:"cold-start" default:"3s" description:"How long a back end warms up after its return"`
	LogLevel    string        `long:"log-level" koanf:"log-level" default:"info" description:"debug, info, warning or error"`

	command *flags.Command
}

// UseCommand keeps the parsed command, to tell given options from defaults.
func (c *backendsCommand) UseCommand(command *flags.Command) { c.command = command }

// Execute implements flags.Commander.
func (c *backendsCommand) Execute([]string) error {
	if err := settings.Load(c.Config, c.command, c); err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	injector := do.New()
	do.Provide(injector, c.logger)
	do.Provide(injector, c.recorder)
	do.Provide(injector, c.fleet)
	fleet, err := do.Invoke[*emulator.Fleet](injector)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	recorder := do.MustInvoke[*emulator.FileRecorder](injector)
	err = c.run(ctx, fleet, do.MustInvoke[*logrus.Logger](injector))
	return errors.CombineErrors(err, recorder.Close())
}

// run serves until the context ends.
func (c *backendsCommand) run(ctx context.Context, fleet *emulator.Fleet, logger *logrus.Logger) error {
	if err := fleet.Start(); err != nil {
		return err
	}
	defer fleet.Close()
	defer logger.Info("back ends stop")
	if c.AdminListen != "" {
		return serveHTTP(ctx, c.AdminListen, adminHandler(fleet))
	}
	<-ctx.Done()
	return nil
}

// adminHandler serves the fleet's administration and the process's metrics.
func adminHandler(fleet *emulator.Fleet) http.Handler {
	registry := metrics.NewRegistry("backends")
	registry.MustRegister(fleet)
	mux := http.NewServeMux()
	mux.Handle("/", fleet.AdminHandler())
	mux.Handle("GET /metrics", metrics.Handler(registry))
	return mux
}

func (c *backendsCommand) logger(do.Injector) (*logrus.Logger, error) {
	logger, err := logging.New(os.Stderr, c.LogLevel)
	return logger, exitcode.With(exitcode.Settings, err)
}

func (c *backendsCommand) recorder(do.Injector) (*emulator.FileRecorder, error) {
	path := c.Record
	if path == "" {
		path = os.DevNull
	}
	return emulator.NewFileRecorder(path)
}

func (c *backendsCommand) fleet(injector do.Injector) (*emulator.Fleet, error) {
	config, err := c.emulatorConfig()
	if err != nil {
		return nil, exitcode.With(exitcode.Settings, err)
	}
	return emulator.New(config, emulator.Dependencies{
		Recorder: do.MustInvoke[*emulator.FileRecorder](injector),
		Logger:   do.MustInvoke[*logrus.Logger](injector),
	})
}

func (c *backendsCommand) emulatorConfig() (emulator.Config, error) {
	plans, err := compileFiles(c.PolicyFiles)
	if err != nil {
		return emulator.Config{}, err
	}
	config := emulator.DefaultConfig(c.Seed, plans...)
	config.Model.Default.Median = c.Median
	config.ZoneDelay = c.ZoneDelay
	config.ColdStart = c.ColdStart
	if c.Script == "" {
		return config, nil
	}
	script, err := emulator.ReadScript(c.Script)
	if err != nil {
		return config, err
	}
	return script.Apply(config), nil
}
