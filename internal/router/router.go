package router

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/cell"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/routestats"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Request is a query as the callers' API hands it over.
type Request struct {
	// CallerID is the caller's request id, or one generated for it.
	CallerID string
	Route    string
	Key      string
	// Deadline is absolute; zero means the policy's.
	Deadline time.Time
	Body     []byte
	// IDGenerated says that the caller gave no id.
	IDGenerated bool
}

// Router is the shell around the query engines.
type Router struct {
	config   Config
	logger   logrus.FieldLogger
	metrics  *routerMetrics
	routes   *routestats.Recorder
	backends *backend.Client
	claims   ClaimRegistry
	admitted AdmissionLog
	events   EventSink
	source   ConfigSource

	loops    []*engineLoop
	prober   *prober
	warmer   *warmer
	canceler *canceler
	shares   *shareKeeper
	settling sync.WaitGroup

	installed  atomic.Pointer[installation]
	leaseUntil atomic.Pointer[time.Time]
	// leaseTold is the lease that all engines have taken in.
	leaseTold atomic.Pointer[time.Time]
	peers     atomic.Pointer[[]Peer]
	// cells are those of the last list of live routers. They belong to the
	// configuration source's goroutine.
	cells     *cell.Cells
	foreign   atomic.Pointer[foreignCells]
	forwarder Forwarder
	regions   *regions
	// handed counts the requests of other routers that are under way here.
	handed atomic.Int64
	// stopping is set once the router reports not ready, refusing once it
	// admits nothing any more.
	stopping atomic.Bool
	refusing atomic.Bool
	// warmed is set once the back ends of the first configuration are known.
	warmed   atomic.Bool
	requests atomic.Uint64
	// runContext is set by Run before the source is started.
	runContext context.Context
}

// New returns a router that does nothing until Run.
func New(config Config, dependencies Dependencies) *Router {
	config = config.withDefaults()
	metrics := newRouterMetrics(dependencies.Registerer)
	created := &Router{
		config:   config,
		logger:   dependencies.Logger,
		metrics:  metrics,
		routes:   routestats.NewRecorder(steadyclock.Now()),
		backends: dependencies.Backends,
		claims:   dependencies.Claims,
		admitted: dependencies.Admissions,
		events:   dependencies.Events,
		source:   dependencies.Source,

		forwarder: dependencies.Forwarder,

		prober: newProber(config, dependencies.Backends, metrics),
		warmer: newWarmer(dependencies.Backends),
	}
	created.cells = cell.NewCells([]string{config.Name})
	created.canceler = newCanceler(created)
	created.shares = newShareKeeper(created)
	created.regions = newRegions(created, dependencies)
	for index := range config.Engines {
		sender := dependencies.Backends.Sender(created.senderName(index))
		loop := newEngineLoop(index, created, dependencies.NewEngine(index), sender)
		registerLoop(dependencies.Registerer, loop)
		created.loops = append(created.loops, loop)
	}
	return created
}

// senderName is unique over routers, starts and engines.
func (r *Router) senderName(index int) string {
	const base = 36
	return r.config.Name + "-" + strconv.FormatUint(r.config.Boot, base) + "-" + strconv.Itoa(index)
}

// Run drives the engines and follows the configuration source until the
// context ends. Call Stop before ending it at a planned stop.
func (r *Router) Run(ctx context.Context) error {
	// The engines outlive the caller's context by their last steps; everything
	// that they start hangs on this one.
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	r.runContext = running
	var duties sync.WaitGroup
	for _, loop := range r.loops {
		duties.Go(func() { loop.run(running) })
	}
	duties.Go(func() { r.shares.run(running) })
	duties.Go(func() { r.regions.run(running) })
	for range cancelWorkers {
		duties.Go(func() { r.canceler.run(running) })
	}
	for range warmWorkers {
		duties.Go(func() { r.warmer.run(running) })
	}
	err := r.source.Run(running, r)
	<-ctx.Done()
	cancel()
	r.prober.close()
	duties.Wait()
	r.settling.Wait()
	r.backends.Close()
	return errors.Wrap(err, "configuration source")
}

// Query answers a request. It returns at the latest when the engine answers,
// or when the context ends because the caller has gone.
func (r *Router) Query(ctx context.Context, request Request) query.Answer {
	return r.counted(request, func() query.Answer {
		if route, remote := r.RemoteRouteNamed(request.Route); remote {
			return r.regions.query(ctx, route, request)
		}
		return r.dispatch(ctx, request)
	})
}

// counted answers a request and counts the answer.
func (r *Router) counted(request Request, answering func() query.Answer) query.Answer {
	arrived := steadyclock.Now()
	answer := answering()
	elapsed := steadyclock.Since(arrived)
	r.metrics.countAnswer(r.routeLabel(request.Route), answer, elapsed)
	r.routes.Record(arrived.Add(elapsed), r.routeLabel(request.Route), sampleOf(answer, elapsed))
	return answer
}

// dispatch answers a request for a route of this region here, or through a
// router of its service's cell.
func (r *Router) dispatch(ctx context.Context, request Request) query.Answer {
	route, known := r.RouteNamed(request.Route)
	if !known || r.refusing.Load() {
		return r.QueryLocal(ctx, request)
	}
	peers := r.cellOf(route.Service)
	if len(peers) == 0 {
		answer := r.QueryLocal(ctx, request)
		// The router may have left the cell meanwhile.
		peers = r.cellOf(route.Service)
		if answer.Err == nil || answer.Verdict != verdict.NotRun ||
			answer.Err.Reason != verdict.ReasonNoReplica || len(peers) == 0 {
			return answer
		}
	}
	return r.forward(ctx, peers, route, request)
}

// QueryLocal answers a request without handing it to another router.
func (r *Router) QueryLocal(ctx context.Context, request Request) query.Answer {
	current := r.installed.Load()
	if current == nil {
		return r.refusal(verdict.ReasonNoLease, "no configuration yet")
	}
	owner, ok := current.owners[request.Route]
	if !ok {
		return r.refusalWithoutRetry(verdict.ReasonUnknownRoute, "no route "+strconv.Quote(request.Route))
	}
	if _, own := current.own.RouteNamed(request.Route); !own {
		// A peer with another list of routers handed it over.
		return r.notOfCell()
	}
	id := query.RequestID(r.requests.Add(1))
	// Room for one answer, so that the engine never waits for a caller.
	reply := make(chan query.Answer, 1)
	accepted := owner.admissions.TryPush(admission{reply: reply, request: query.Request{
		ID:         id,
		CallerID:   request.CallerID,
		Route:      request.Route,
		Key:        request.Key,
		Deadline:   request.Deadline,
		Body:       request.Body,
		BodyDigest: backendapi.Digest(request.Body),
	}})
	if !accepted {
		return r.refusal(verdict.ReasonOverloaded, "the admission ring is full")
	}
	select {
	case answer := <-reply:
		if answer.Err != nil && answer.Err.Reason == verdict.ReasonUnknownRoute {
			// The engine was told first that the router has left the cell.
			return r.notOfCell()
		}
		return answer
	case <-ctx.Done():
		owner.pushOutcome(query.CallerGone{Request: id})
		return callerGone()
	case <-owner.ended:
		return query.Answer{Verdict: verdict.MayHaveRun,
			Err: &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonStopping}}
	}
}

// notOfCell refuses a request for a service that other routers serve.
func (r *Router) notOfCell() query.Answer {
	return r.refusal(verdict.ReasonNoReplica, "this router is not of the service's cell")
}

func callerGone() query.Answer {
	return query.Answer{Verdict: verdict.MayHaveRun,
		Err: &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCanceled}}
}

// refusal is the answer to a request of which nothing was sent.
func (r *Router) refusal(reason verdict.Reason, detail string) query.Answer {
	answer := r.refusalWithoutRetry(reason, detail)
	answer.Err.RetryAfter = r.config.RefusalPause
	return answer
}

func (r *Router) refusalWithoutRetry(reason verdict.Reason, detail string) query.Answer {
	return query.Answer{Verdict: verdict.NotRun, Err: verdict.Refuse(reason, detail)}
}

// routeLabel keeps names that callers made up out of the metrics.
func (r *Router) routeLabel(route string) string {
	const unknown = "unknown"
	current := r.installed.Load()
	if current == nil {
		return unknown
	}
	_, own := current.owners[route]
	_, remote := current.remotes[route]
	if !own && !remote {
		return unknown
	}
	return route
}

// record hands an event to the sink, which numbers it.
func (r *Router) record(event journal.Event) {
	event.Source = r.config.Name
	if event.Time.IsZero() {
		event.Time = time.Now() // The wall clock: a person reads it.
	}
	r.events.Record(event)
}
