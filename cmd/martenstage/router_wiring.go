package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/admissionrecord"
	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/callers"
	"github.com/martenstage/martenstage/internal/controlclient"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/follower"
	"github.com/martenstage/martenstage/internal/forward"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/policy"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/spool"
	"github.com/martenstage/martenstage/internal/verdict"
)

// routerBoot is the start number of this process.
type routerBoot uint64

// routerSpoolFolder is the folder of the event spool under the data folder.
const routerSpoolFolder = "events"

func newRouterInjector(options *router.Options) *do.RootScope {
	injector := do.New()
	do.ProvideValue(injector, options)
	do.ProvideValue(injector, routerBoot(time.Now().UnixNano()))
	do.ProvideValue(injector, metrics.NewRegistry("router"))
	do.Provide(injector, loggerAt(options.LogLevel))
	do.Provide(injector, provideRouterParts)
	return injector
}

func provideRouterParts(injector do.Injector) (*routerParts, error) {
	logger, err := do.Invoke[*logrus.Logger](injector)
	if err != nil {
		return nil, err
	}
	parts := &routerParts{logger: logger, close: func() error { return nil }}
	dependencies := router.Dependencies{Logger: logger, Registerer: do.MustInvoke[*prometheus.Registry](injector)}
	options := do.MustInvoke[*router.Options](injector)
	if options.PolicyFile != "" {
		err = joinNobody(options, &dependencies)
	} else {
		err = joinControl(injector, parts, &dependencies)
	}
	if err == nil {
		err = recordAdmissions(options, parts, &dependencies)
	}
	if err != nil {
		return nil, errors.CombineErrors(err, parts.close())
	}
	finishRouter(injector, parts, dependencies)
	return parts, nil
}

// joinNobody makes a router that runs on a policy file alone.
func joinNobody(options *router.Options, dependencies *router.Dependencies) error {
	text, err := os.ReadFile(options.PolicyFile)
	if err != nil {
		return exitcode.With(exitcode.Settings, errors.Wrap(err, "policy-file"))
	}
	compiled, err := policy.Compile(options.PolicyFile, text)
	if err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	dependencies.Source = &router.StaticSource{Plan: compiled, File: options.PolicyFile}
	dependencies.Claims = router.NewLocalClaims()
	dependencies.Events = router.EventLog{Logger: dependencies.Logger}
	return nil
}

// joinControl makes a router that follows control, with its peers.
func joinControl(injector do.Injector, parts *routerParts, dependencies *router.Dependencies) error {
	options := do.MustInvoke[*router.Options](injector)
	boot := uint64(do.MustInvoke[routerBoot](injector))
	security, err := rpc.NewSecurity(options.Security(), parts.logger)
	if err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	if reloader := security.Reloader(); reloader != nil {
		parts.helpers = append(parts.helpers, reloader.Run)
	}
	client := rpc.NewClient(security, rpc.ClientConfig{ServerRoles: []keys.Role{keys.RoleControl, keys.RoleRelay}})
	voters := controlclient.NewVoters(client, options.Voters())
	claims := controlclient.NewClaims(voters, controlclient.Holder(options.Name, boot), parts.logger, dependencies.Registerer)
	parts.helpers = append(parts.helpers, claims.Run)
	dependencies.Claims = claims
	if err := openEvents(options, boot, voters, parts, dependencies); err != nil {
		return err
	}
	address, err := servePeers(options, security, parts, dependencies)
	if err != nil {
		return err
	}
	dependencies.Source, err = controlclient.NewSource(
		controlclient.SourceConfig{Name: options.Name, Zone: options.Zone, Address: address, Boot: boot, Upstreams: options.Upstream},
		controlclient.SourceDeps{
			Dial: follower.NewDial(client), Events: dependencies.Events,
			Routes: func(now time.Time) []*v1.RouteReport { return parts.router.RouteReports(now) },
			Logger: parts.logger, Registerer: dependencies.Registerer, Random: rand.Float64,
		})
	return exitcode.With(exitcode.Settings, err)
}

// openEvents keeps events on disk until control has them, if there is a
// folder for that.
func openEvents(options *router.Options, boot uint64, voters *controlclient.Voters, parts *routerParts,
	dependencies *router.Dependencies) error {
	if options.DataFolder == "" {
		dependencies.Events = router.EventLog{Logger: parts.logger}
		return nil
	}
	events, err := spool.Open(
		spool.Config{Folder: filepath.Join(options.DataFolder, routerSpoolFolder), Source: options.Name, Boot: boot},
		spool.Deps{Deliver: voters.AppendEvents, Logger: parts.logger, Registerer: dependencies.Registerer})
	if err != nil {
		return exitcode.With(exitcode.DataFolder, err)
	}
	events.RecordStart("router started")
	parts.helpers = append(parts.helpers, events.Run)
	parts.close = events.Close
	dependencies.Events = events
	return nil
}

// recordAdmissions writes admissions down if a file is named for that.
func recordAdmissions(options *router.Options, parts *routerParts, dependencies *router.Dependencies) error {
	if options.Admissions == "" {
		return nil
	}
	file, err := admissionrecord.Open(options.Admissions, options.Name, parts.logger)
	if err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	closeOthers := parts.close
	parts.helpers = append(parts.helpers, file.Run)
	parts.close = func() error { return errors.CombineErrors(file.Close(), closeOthers()) }
	dependencies.Admissions = file
	return nil
}

// servePeers listens for requests that other routers hand over. It returns
// the address at which they reach this one.
func servePeers(options *router.Options, security *rpc.Security, parts *routerParts,
	dependencies *router.Dependencies) (string, error) {
	listener, err := listen("peers-listen", options.PeersListen)
	if err != nil {
		return "", err
	}
	client := forward.NewClient(options.Name, security)
	dependencies.Forwarder, dependencies.Regions = client, client
	mux := http.NewServeMux()
	path, handler := forward.NewHandler(localRouter{parts}, security)
	mux.Handle(path, handler)
	server := rpc.NewServerOn(listener, mux, security, parts.logger)
	parts.helpers = append(parts.helpers, func(ctx context.Context) {
		var closing sync.WaitGroup
		closing.Go(func() {
			<-ctx.Done()
			bounded, cancel := context.WithTimeout(context.Background(), options.StopLimit)
			defer cancel()
			if err := server.Shutdown(bounded); err != nil {
				parts.logger.WithError(err).Warn("answers to other routers were cut off")
			}
		})
		if err := server.Serve(); err != nil {
			parts.logger.WithError(err).Error("listener for routers failed")
		}
		// Serving ends when the shutdown begins; answers may still be written.
		closing.Wait()
	})
	if options.Advertise != "" {
		return options.Advertise, nil
	}
	return listener.Addr().String(), nil
}

// localRouter answers for peers once the router is made.
type localRouter struct{ parts *routerParts }

// QueryLocal implements forward.Local.
func (l localRouter) QueryLocal(ctx context.Context, request router.Request) query.Answer {
	return l.parts.router.QueryLocal(ctx, request)
}

// QueryCrossed implements forward.Local.
func (l localRouter) QueryCrossed(ctx context.Context, request router.Request) query.Answer {
	return l.parts.router.QueryCrossed(ctx, request)
}

// Ready implements forward.Local.
func (l localRouter) Ready() (bool, verdict.Reason) { return l.parts.router.Ready() }

// finishRouter makes the router and the callers' API over its dependencies.
func finishRouter(injector do.Injector, parts *routerParts, dependencies router.Dependencies) {
	options := do.MustInvoke[*router.Options](injector)
	registry := do.MustInvoke[*prometheus.Registry](injector)
	dependencies.Backends = backend.New(options.BackendConfig(),
		backend.Dependencies{Logger: parts.logger, Registerer: registry})
	dependencies.NewEngine = func(index int) router.Engine { return query.New(options.EngineConfig(index)) }
	parts.source = dependencies.Source
	parts.router = router.New(options.Config(uint64(do.MustInvoke[routerBoot](injector))), dependencies)
	handler := callers.NewHandler(callers.Config{
		MaxBody: options.MaxBody,
		Metrics: metrics.Handler(registry),
	}, parts.router, parts.logger)
	parts.server = callers.NewServer(callers.StopConfig{
		Notice:     options.StopNotice,
		Quiet:      options.StopQuiet,
		QuietLimit: options.StopQuietLimit,
		Limit:      options.StopLimit,
	}, handler, parts.router, parts.logger)
}
