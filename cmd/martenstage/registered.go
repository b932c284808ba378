package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/httpdrain"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/settings"
)

// registeredProcess is what the roles of sites with registered servers have in
// common: a bounded log on standard output, listeners and reload.
type registeredProcess struct {
	logger   *logrus.Logger
	registry *prometheus.Registry
	sink     *logging.Sink
	limits   processLimits
	servers  []*httpdrain.Server
	running  sync.WaitGroup
	// hangups tell that the settings may have changed.
	hangups <-chan os.Signal
}

// runRegistered runs a role of a site with registered servers until a signal.
func runRegistered(
	role, level string, limits processLimits, hangups <-chan os.Signal, run func(context.Context, *registeredProcess) error,
) error {
	process, err := newRegisteredProcess(role, level, limits)
	if err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	process.hangups = hangups
	defer process.close()
	stopping, restore := untilSignal()
	defer restore()
	go tellSuspensions(stopping, process.logger)
	return run(stopping, process)
}

// httpCloseTime bounds the end of the listeners that carry short calls.
const httpCloseTime = 300 * time.Millisecond

func newRegisteredProcess(role, level string, limits processLimits) (*registeredProcess, error) {
	limits.apply()
	registry := metrics.NewRegistry(role)
	sink := logging.NewSink(os.Stdout, registry)
	logger, err := logging.New(sink, level)
	if err != nil {
		return nil, err
	}
	return &registeredProcess{logger: logger, registry: registry, sink: sink, limits: limits}, nil
}

// Shares of the descriptors that listeners may use for connections, in percent.
const (
	// mainShare is for those of clients, servers and operators, and of other processes of the
	// system; statusShare for those of readiness and metrics.
	mainShare   = 40
	statusShare = 6
	// peerShare is for the connections of other routers to a router, which also needs
	// descriptors for servers.
	peerShare = 20
)

// serve serves a handler at an address until close; an empty address is none. Its connections may
// use a share of the descriptors.
func (p *registeredProcess) serve(key, address string, share int64, handler http.Handler) error {
	if address == "" {
		return nil
	}
	listener, err := listen(key, address)
	if err != nil {
		return err
	}
	p.serveOn(key, listener, share, handler)
	return nil
}

// serveOn serves a handler on a listener until close.
func (p *registeredProcess) serveOn(key string, listener net.Listener, share int64, handler http.Handler) {
	server := httpdrain.NewServer(httpdrain.Config{
		Handler: handler, ReadHeaderTimeout: 10 * time.Second, Intake: p.limits.intake, MaxConnections: p.limits.connections(share),
	})
	p.servers = append(p.servers, server)
	p.running.Go(func() {
		if err := server.Serve(listener); err != nil {
			p.logger.WithError(err).WithField("listener", key).Error("listener_failed")
		}
	})
}

// close ends the listeners and the log.
func (p *registeredProcess) close() {
	ctx, cancel := context.WithTimeout(context.Background(), httpCloseTime)
	defer cancel()
	for _, server := range p.servers {
		p.running.Go(func() {
			if err := server.Drain(ctx); err != nil {
				p.logger.WithError(err).Warn("calls_cut")
			}
		})
	}
	p.running.Wait()
	p.sink.Close()
}

// watch reloads the settings file; only the seeds change in a running process.
func (p *registeredProcess) watch(ctx context.Context, path string, seeds func() ([]string, error), set func([]string)) {
	settings.Watch(ctx, p.hangups, path, func(reason string) {
		updated, err := seeds()
		if err != nil {
			p.logger.WithError(err).WithField("reason", reason).Error("settings_refused")
			return
		}
		set(updated)
		p.logger.WithField("reason", reason).WithField("seeds", updated).Info("settings_reloaded")
	})
}
