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
	"github.com/jessevdk/go-flags"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/callers"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/policy"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/settings"
)

// routerCommand runs a router until SIGTERM or SIGINT.
type routerCommand struct {
	router.Options
	Settings string `long:"settings" description:"Settings file (YAML)"`
	command  *flags.Command
}

// UseCommand keeps the parsed command, to tell given options from defaults.
func (c *routerCommand) UseCommand(command *flags.Command) { c.command = command }

// Execute implements flags.Commander.
func (c *routerCommand) Execute([]string) error {
	if err := settings.Load(c.Settings, c.command, &c.Options); err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	// A second signal ends the process at once.
	stopping, restore := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer restore()
	context.AfterFunc(stopping, restore)
	return c.run(stopping)
}

func (c *routerCommand) run(stopping context.Context) error {
	injector := do.New()
	do.ProvideValue(injector, &c.Options)
	do.Provide(injector, provideLogger)
	do.ProvideValue(injector, metrics.NewRegistry("router"))
	do.Provide(injector, provideSource)
	do.Provide(injector, provideRouter)
	do.Provide(injector, provideServer)

	listener, err := listen("callers-listen", c.CallersListen)
	if err != nil {
		return err
	}
	served, err := do.Invoke[*router.Router](injector)
	if err != nil {
		_ = listener.Close()
		return err
	}
	server := do.MustInvoke[*callers.Server](injector)
	do.MustInvoke[*logrus.Logger](injector).WithField(logging.FieldRole, "router").
		WithField(logging.FieldNode, c.Name).WithField(logging.FieldAddress, listener.Addr()).
		WithField("source", served.Status().Source).Info("router started")

	running, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- served.Run(running) }()
	err = server.Run(stopping, listener)
	cancel()
	return errors.CombineErrors(err, <-ended)
}

// listen opens a listener; a failure names the setting and the port.
func listen(key, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, exitcode.With(exitcode.Settings, errors.Wrapf(err, "%s: can't listen on %s", key, address))
	}
	return listener, nil
}

func provideLogger(injector do.Injector) (*logrus.Logger, error) {
	logger, err := logging.New(os.Stderr, do.MustInvoke[*router.Options](injector).LogLevel)
	return logger, exitcode.With(exitcode.Settings, err)
}

func provideSource(injector do.Injector) (router.ConfigSource, error) {
	options := do.MustInvoke[*router.Options](injector)
	text, err := os.ReadFile(options.PolicyFile)
	if err != nil {
		return nil, exitcode.With(exitcode.Settings, errors.Wrap(err, "policy-file"))
	}
	compiled, err := policy.Compile(options.PolicyFile, text)
	if err != nil {
		return nil, exitcode.With(exitcode.Settings, err)
	}
	return &router.StaticSource{Plan: compiled, File: options.PolicyFile}, nil
}

func provideRouter(injector do.Injector) (*router.Router, error) {
	options := do.MustInvoke[*router.Options](injector)
	logger, err := do.Invoke[*logrus.Logger](injector)
	if err != nil {
		return nil, err
	}
	source, err := do.Invoke[router.ConfigSource](injector)
	if err != nil {
		return nil, err
	}
	registry := do.MustInvoke[*prometheus.Registry](injector)
	backends := backend.New(options.BackendConfig(), backend.Dependencies{Logger: logger, Registerer: registry})
	return router.New(options.Config(uint64(time.Now().UnixNano())), router.Dependencies{
		Logger:     logger,
		Registerer: registry,
		Backends:   backends,
		Claims:     router.NewLocalClaims(),
		Events:     router.EventLog{Logger: logger},
		Source:     source,
		NewEngine: func(index int) router.Engine {
			return query.New(options.EngineConfig(index))
		},
	}), nil
}

func provideServer(injector do.Injector) (*callers.Server, error) {
	options := do.MustInvoke[*router.Options](injector)
	logger := do.MustInvoke[*logrus.Logger](injector)
	served := do.MustInvoke[*router.Router](injector)
	var handler http.Handler = callers.NewHandler(callers.Config{
		MaxBody: options.MaxBody,
		Metrics: metrics.Handler(do.MustInvoke[*prometheus.Registry](injector)),
	}, served, logger)
	return callers.NewServer(callers.StopConfig{
		Notice:     options.StopNotice,
		Quiet:      options.StopQuiet,
		QuietLimit: options.StopQuietLimit,
		Limit:      options.StopLimit,
	}, handler, served, logger), nil
}
