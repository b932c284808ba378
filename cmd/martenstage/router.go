package main

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/callers"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/router"
)

// routerCommand runs a router until SIGTERM or SIGINT.
type routerCommand struct {
	router.Options
	processCommand
}

// Execute implements flags.Commander.
func (c *routerCommand) Execute([]string) error {
	if err := c.load(&c.Options); err != nil {
		return err
	}
	if err := c.Check(); err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	stopping, restore := untilSignal()
	defer restore()
	return runRouter(stopping, &c.Options)
}

// runRouter runs a router until the context begins a planned stop.
func runRouter(stopping context.Context, options *router.Options) error {
	listener, err := listen("callers-listen", options.CallersListen)
	if err != nil {
		return err
	}
	injector := newRouterInjector(options)
	parts, err := do.Invoke[*routerParts](injector)
	if err != nil {
		return errors.CombineErrors(err, listener.Close())
	}
	parts.logger.WithFields(logrus.Fields{
		logging.FieldRole: "router", logging.FieldNode: options.Name, logging.FieldAddress: listener.Addr(),
		"source": parts.source.Describe(),
	}).Info("router started")
	running, end := context.WithCancel(context.Background())
	defer end()
	go tellSuspensions(running, parts.logger)
	var helpers sync.WaitGroup
	for _, helper := range parts.helpers {
		helpers.Go(func() { helper(running) })
	}
	ended := make(chan error, 1)
	go func() { ended <- parts.router.Run(running) }()
	err = parts.server.Run(stopping, listener)
	end()
	err = errors.CombineErrors(err, <-ended)
	helpers.Wait()
	return errors.CombineErrors(err, parts.close())
}

// listen opens a listener; a failure names the setting and the port.
func listen(key, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, exitcode.With(exitcode.Settings, errors.Wrapf(err, "%s: can't listen on %s", key, address))
	}
	return listener, nil
}

// routerParts are the pieces that run together.
type routerParts struct {
	logger *logrus.Logger
	source router.ConfigSource
	router *router.Router
	server *callers.Server
	// helpers run beside the router until it has stopped.
	helpers []func(context.Context)
	close   func() error
}
