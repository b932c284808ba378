package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/controlclient"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/follower"
	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/httpdrain"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/spool"
)

// spoolFolder is the subfolder of the data folder that holds the event spool.
const spoolFolder = "events"

// Process is a relay with its listeners.
type Process struct {
	options  *Options
	logger   *logrus.Logger
	registry *prometheus.Registry
	security *rpc.Security
	client   *rpc.Client
	relay    *Relay
	// spool is nil without a data folder.
	spool    *spool.Spool
	listener *rpc.Server
	metrics  net.Listener
}

// Open loads the keys and opens the listeners. Errors carry the exit code of
// the process.
func Open(options *Options, logger *logrus.Logger, registry *prometheus.Registry) (*Process, error) {
	process := &Process{options: options, logger: logger, registry: registry}
	var err error
	if process.security, err = rpc.NewSecurity(options.Security(), logger); err != nil {
		return nil, exitcode.With(exitcode.Settings, err)
	}
	process.client = rpc.NewClient(process.security, rpc.ClientConfig{
		ServerRoles: []keys.Role{keys.RoleControl, keys.RoleRelay},
	})
	if err := process.openSpool(); err != nil {
		return nil, exitcode.With(exitcode.DataFolder, err)
	}
	if err := process.openRelay(); err != nil {
		return nil, errors.CombineErrors(exitcode.With(exitcode.Settings, err), process.closeSpool())
	}
	if err := process.listen(); err != nil {
		return nil, errors.CombineErrors(exitcode.With(exitcode.Settings, err), process.closeSpool())
	}
	return process, nil
}

// bootNumber returns a number that is higher at every start, unless the clock
// of the machine is set back by more than the time that a start takes. It is
// the wall clock time, which distinguishes starts.
func bootNumber() uint64 { return uint64(time.Now().UnixNano()) } // wall clock: it distinguishes starts

func (p *Process) openSpool() error {
	if p.options.DataFolder == "" {
		return nil
	}
	voters := controlclient.NewVoters(p.client, p.options.journalVoters())
	opened, err := spool.Open(
		spool.Config{
			Folder: filepath.Join(p.options.DataFolder, spoolFolder), Source: p.options.Name, Boot: bootNumber(),
		},
		spool.Deps{Deliver: voters.AppendEvents, Logger: p.logger, Registerer: p.registry})
	p.spool = opened
	return err
}

func (p *Process) closeSpool() error {
	if p.spool == nil {
		return nil
	}
	return p.spool.Close()
}

func (p *Process) openRelay() error {
	deps := Deps{
		Dial: follower.NewDial(p.client), Logger: p.logger, Registerer: p.registry, Random: rand.Float64,
	}
	if p.spool != nil {
		deps.Events = p.spool
	}
	opened, err := New(Config{
		Name: p.options.Name, Zone: p.options.Zone, Address: p.options.address(),
		Boot: bootNumber(), Upstreams: p.options.Upstream,
	}, deps)
	p.relay = opened
	return err
}

func (p *Process) listen() error {
	mux := http.NewServeMux()
	path, handler := martenstagev1connect.NewFollowServiceHandler(p.relay.Service(), rpc.HandlerOptions())
	mux.Handle(path, rpc.RequireRole(p.security, handler, keys.RoleRouter, keys.RoleRelay))
	var err error
	if p.listener, err = rpc.NewServer(p.options.Listen, mux, p.security, p.logger); err != nil {
		return err
	}
	if p.options.MetricsListen == "" {
		return nil
	}
	if p.metrics, err = net.Listen("tcp4", p.options.MetricsListen); err != nil {
		return errors.CombineErrors(errors.Wrapf(err, "metrics: listen on %s", p.options.MetricsListen), p.listener.Close())
	}
	return nil
}

// Address returns the listen address.
func (p *Process) Address() string { return p.listener.Address() }

// Run serves until the context stopping ends. A nil error means a planned stop.
func (p *Process) Run(stopping context.Context) error {
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	var goroutines sync.WaitGroup
	failed := make(chan error, 2)
	goroutines.Go(func() { failed <- p.relay.Run(running) })
	goroutines.Go(func() {
		if err := p.listener.Serve(); err != nil {
			failed <- err
		}
	})
	p.startBackgroundTasks(running, &goroutines)
	p.logger.WithFields(logrus.Fields{
		logging.FieldRole: "relay", logging.FieldNode: p.options.Name, logging.FieldAddress: p.Address(),
	}).Info("relay_started")

	var failure error
	select {
	case <-stopping.Done():
	case failure = <-failed:
	}
	p.stop(cancel)
	goroutines.Wait()
	p.client.CloseIdle()
	p.logger.Info("relay_stopped")
	return errors.CombineErrors(failure, p.closeSpool())
}

// startBackgroundTasks starts the event spool, the key reloader and the metrics
// server, as far as they are configured.
func (p *Process) startBackgroundTasks(running context.Context, goroutines *sync.WaitGroup) {
	if p.spool != nil {
		p.spool.RecordStart("relay started")
		goroutines.Go(func() { p.spool.Run(running) })
	}
	if reloader := p.security.Reloader(); reloader != nil {
		goroutines.Go(func() { reloader.Run(running) })
	}
	if p.metrics != nil {
		goroutines.Go(func() { p.serveMetrics(running) })
	}
}

// stop closes the listener once the calls in flight are answered, so that
// followers switch to another relay without waiting for a timeout. Their leases
// stay valid meanwhile; control accounts for them until this relay's own lease
// would lapse.
func (p *Process) stop(cancel context.CancelFunc) {
	ctx, cancelTimeout := context.WithTimeout(context.Background(), p.options.StopLimit)
	defer cancelTimeout()
	if err := p.listener.Shutdown(ctx); err != nil {
		p.logger.WithField("reason", err).Warn("calls cut off")
	}
	if p.spool != nil {
		if err := p.spool.Flush(ctx); err != nil {
			p.logger.WithField("reason", err).Warn("events not stored")
		}
	}
	cancel()
}

// metricsStopLimit is how long requests for metrics may go on during a stop.
const metricsStopLimit = 300 * time.Millisecond

func (p *Process) serveMetrics(ctx context.Context) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics.Handler(p.registry))
	server := httpdrain.NewServer(httpdrain.Config{Handler: mux, ReadHeaderTimeout: time.Second})
	if err := server.ServeUntil(ctx, p.metrics, metricsStopLimit); err != nil {
		p.logger.WithField("reason", err).Warn("metrics not served")
	}
}
