package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/state"
	"github.com/martenstage/martenstage/internal/statuspage"
	"github.com/martenstage/martenstage/internal/voter"
)

// fatalErrorBacklog is how many fatal errors are buffered until the process stops.
const fatalErrorBacklog = 8

// compiledFileName is the file name in compiler messages about a submitted text.
const compiledFileName = "configuration"

// Environment holds the logger, metrics and network functions of a Process. Tests
// replace the network.
type Environment struct {
	Logger   *logrus.Logger
	Registry *prometheus.Registry
	// Listen opens the voter's listener; net.Listen if nil.
	Listen func(network, address string) (net.Listener, error)
	// Dial connects to other voters; a plain TCP dialer if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Compile defaults to the compiler of the configuration language.
	Compile Compiler
}

func (e Environment) withDefaults() Environment {
	if e.Listen == nil {
		e.Listen = net.Listen
	}
	if e.Compile == nil {
		e.Compile = policy.NewCompiler(compiledFileName).Compile
	}
	return e
}

// Process is a control voter with its listeners.
type Process struct {
	options     *Options
	environment Environment
	logger      *logrus.Logger
	registry    *prometheus.Registry
	security    *rpc.Security
	client      *rpc.Client
	voter       *voter.Voter
	server      *Server
	listener    *rpc.Server
	metrics     net.Listener
	status      net.Listener
	platform    *platformReader
	// fatalErrors receives errors that stop the process.
	fatalErrors chan error
}

// Open reads the keys, opens the data folder and listens. Its errors carry the
// exit code of the process.
func Open(options *Options, environment Environment) (*Process, error) {
	environment = environment.withDefaults()
	logger, registry := environment.Logger, environment.Registry
	process := &Process{
		options: options, environment: environment, logger: logger, registry: registry,
		fatalErrors: make(chan error, fatalErrorBacklog),
	}
	initial, err := options.initialVoters()
	if err != nil {
		return nil, exitcode.With(exitcode.Settings, err)
	}
	if process.security, err = rpc.NewSecurity(options.Security(), logger); err != nil {
		return nil, exitcode.With(exitcode.Settings, err)
	}
	if process.platform, err = newPlatformReader(options.Platform, logger, registry); err != nil {
		return nil, exitcode.With(exitcode.Settings, err)
	}
	process.client = rpc.NewClient(process.security, rpc.ClientConfig{
		ServerRoles: []keys.Role{keys.RoleControl}, Dial: environment.Dial,
	})
	if err := process.openVoter(initial); err != nil {
		return nil, err
	}
	if err := process.listen(); err != nil {
		err = errors.CombineErrors(exitcode.With(exitcode.Settings, err), process.voter.Close(context.Background()))
		return nil, errors.CombineErrors(err, process.server.Close())
	}
	return process, nil
}

func (p *Process) openVoter(initial []consensus.Member) error {
	store := NewStore(state.DefaultLimits(), plan.FromProto)
	machine := &stateMachine{store: store, logger: p.logger, onFatal: p.reportFatal}
	started := time.Now()
	opened, err := voter.Open(voter.Config{
		ID:              p.options.ID,
		Address:         p.options.address(),
		Folder:          p.options.DataFolder,
		InitialVoters:   initial,
		Heartbeat:       p.options.Heartbeat,
		ElectionTimeout: p.options.ElectionTimeout,
		SnapshotEntries: p.options.SnapshotEntries,
	}, machine, transport{client: p.client, logger: p.logger}, p.logger, p.registry)
	if err != nil {
		return err
	}
	p.voter = opened
	p.server, err = New(Config{
		ID: p.options.ID, ClaimBatch: p.options.ClaimBatch, Lease: p.options.Lease, Folder: p.options.DataFolder,
	}, Dependencies{
		Voter: opened, Store: store, Compile: p.environment.Compile, Client: p.client, Logger: p.logger, Registerer: p.registry,
	})
	if err != nil {
		return errors.CombineErrors(err, opened.Close(context.Background()))
	}
	p.logger.WithFields(logrus.Fields{"folder": p.options.DataFolder, "took": time.Since(started)}).Info("data_folder_opened")
	return nil
}

func (p *Process) listen() error {
	mux := http.NewServeMux()
	p.server.Mount(mux, p.security)
	listener, err := p.environment.Listen("tcp4", p.options.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", p.options.Listen)
	}
	p.listener = rpc.NewServerOn(listener, mux, p.security, p.logger)
	if p.metrics, err = listenOptional("metrics-listen", p.options.MetricsListen); err != nil {
		return errors.CombineErrors(err, p.listener.Close())
	}
	if p.status, err = listenOptional("status-listen", p.options.StatusListen); err != nil {
		err = errors.CombineErrors(err, p.listener.Close())
		if p.metrics != nil {
			err = errors.CombineErrors(err, p.metrics.Close())
		}
	}
	return err
}

// listenOptional opens the listener of an optional setting; nil if the address is
// empty.
func listenOptional(key, address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp4", address)
	return listener, errors.Wrapf(err, "%s: can't listen on %s", key, address)
}

// reportFatal requests the stop of the process.
func (p *Process) reportFatal(err error) {
	select {
	case p.fatalErrors <- err:
	default: // the process is already stopping
	}
}

// Address returns the address of the voter's listener.
func (p *Process) Address() string { return p.listener.Address() }

// Run serves until stopCtx ends or a fatal error occurs, then transfers
// leadership, finishes calls in flight and closes the data folder. A nil error
// means a planned stop.
func (p *Process) Run(stopCtx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { p.server.Run(runCtx) })
	tasks.Go(func() { p.platform.run(runCtx, p.server) })
	if reloader := p.security.Reloader(); reloader != nil {
		tasks.Go(func() { reloader.Run(runCtx) })
	}
	tasks.Go(func() {
		if err := p.listener.Serve(); err != nil {
			p.reportFatal(err)
		}
	})
	if p.metrics != nil {
		mux := http.NewServeMux()
		mux.Handle("/metrics", metrics.Handler(p.registry))
		tasks.Go(func() { p.servePages(runCtx, p.metrics, mux) })
	}
	if p.status != nil {
		page := statuspage.NewHandler(p.options.ID, p.server.StatusSource(), p.logger)
		tasks.Go(func() { p.servePages(runCtx, p.status, page) })
	}
	p.logger.WithFields(logrus.Fields{
		logging.FieldRole: "control", logging.FieldNode: p.options.ID, logging.FieldAddress: p.Address(),
	}).Info("control_started")

	var fatalErr error
	select {
	case <-stopCtx.Done():
	case fatalErr = <-p.fatalErrors:
	}
	err := p.stop(cancel)
	tasks.Wait()
	err = errors.CombineErrors(err, p.server.Close())
	return errors.CombineErrors(fatalErr, err)
}

// stop shuts down in the order that interrupts the fewest calls: leadership first,
// while the listener still receives the messages that the transfer needs, then the
// calls in flight, then the voter.
func (p *Process) stop(cancel context.CancelFunc) error {
	p.logger.Info("control_stopping")
	ctx, end := context.WithTimeout(context.Background(), p.options.StopLimit)
	defer end()
	if leadsOthers(p.voter.Status()) {
		if err := p.voter.TransferLeadership(ctx, 0); err != nil {
			p.logger.WithError(err).Warn("leadership_not_handed_over")
		}
	}
	if err := p.server.recorder.flush(ctx); err != nil {
		p.logger.WithError(err).Warn("events_not_stored")
	}
	cancel()
	shutdownCtx, endShutdown := context.WithTimeout(ctx, p.options.StopLimit/2)
	defer endShutdown()
	if err := p.listener.Shutdown(shutdownCtx); err != nil {
		p.logger.WithError(err).Warn("calls_cut_off")
	}
	err := p.voter.Close(ctx)
	p.client.CloseIdle()
	p.logger.Info("control_stopped")
	return errors.Wrap(err, "close the data folder")
}

// leadsOthers reports whether this voter leads and another active voter could take
// over.
func leadsOthers(status voter.Status) bool {
	return status.Role == consensus.Leader && lo.SomeBy(status.Members, func(member consensus.MemberStatus) bool {
		return member.ID != status.ID && !member.Learner && member.Active
	})
}
