package main

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/relay"
)

// relayCommand runs a relay until SIGTERM or SIGINT.
type relayCommand struct {
	relay.Options
	processCommand
}

// Execute implements flags.Commander.
func (c *relayCommand) Execute([]string) error {
	if err := c.load(&c.Options); err != nil {
		return err
	}
	injector := do.New()
	do.ProvideValue(injector, &c.Options)
	do.ProvideValue(injector, metrics.NewRegistry("relay"))
	do.Provide(injector, loggerAt(c.LogLevel))
	do.Provide(injector, provideRelay)
	return runProcess[*relay.Process](injector)
}

func provideRelay(injector do.Injector) (*relay.Process, error) {
	logger, err := do.Invoke[*logrus.Logger](injector)
	if err != nil {
		return nil, err
	}
	registry := do.MustInvoke[*prometheus.Registry](injector)
	return relay.Open(do.MustInvoke[*relay.Options](injector), logger, registry)
}
