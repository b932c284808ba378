package main

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/metrics"
)

// controlCommand runs a control voter until SIGTERM or SIGINT.
type controlCommand struct {
	control.Options
	processCommand
}

// Execute implements flags.Commander.
func (c *controlCommand) Execute([]string) error {
	if err := c.load(&c.Options); err != nil {
		return err
	}
	injector := do.New()
	do.ProvideValue(injector, &c.Options)
	do.ProvideValue(injector, metrics.NewRegistry("control"))
	do.Provide(injector, loggerAt(c.LogLevel))
	do.Provide(injector, provideControl)
	return runProcess[*control.Process](injector)
}

func provideControl(injector do.Injector) (*control.Process, error) {
	logger, err := do.Invoke[*logrus.Logger](injector)
	if err != nil {
		return nil, err
	}
	registry := do.MustInvoke[*prometheus.Registry](injector)
	return control.Open(do.MustInvoke[*control.Options](injector), control.Environment{Logger: logger, Registry: registry})
}
