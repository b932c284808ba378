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

// Request is a query as received by the callers' API.
type Request struct {
	// CallerID is the caller's request id, or one generated for it.
	CallerID string
	Route    string
	Key      string
	// Deadline is absolute; zero means the policy's.
	Deadline time.Time
	Body     []byte
	// IDGenerated is true if the caller sent no id.
	IDGenerated bool
}

// Router runs the query engines and executes their commands.
type Router struct {
	config       Config
	logger       logrus.FieldLogger
	metrics      *routerMetrics
	routes       *routestats.Recorder
	backends     *backend.Client
	claims       ClaimRegistry
	admissionLog AdmissionLog
	events       EventSink
	source       ConfigSource

	loops    []*engineLoop
	prober   *prober
	warmer   *warmer
	canceler *canceler
	shares   *shareManager
	settling sync.WaitGroup

	installed  atomic.Pointer[installation]
	leaseUntil atomic.Pointer[time.Time]
	// engineLeaseUntil is the end of the lease that all engines have applied.
	engineLeaseUntil atomic.Pointer[time.Time]
	peers            atomic.Pointer[[]Peer]
	// cells are computed from the last list of live routers. They are used only by the
	// configuration source's goroutine.
	cells     *cell.Cells
	peerCells atomic.Pointer[peersByService]
	forwarder Forwarder
	regions   *regions
	// regionRequests counts the requests in flight that other regions forwarded.
	regionRequests atomic.Int64
	// stopping is set once the router reports not ready, refusing once it admits no
	// more requests.
	stopping atomic.Bool
	refusing atomic.Bool
	// backendsProbed is set once every back end of the first configuration has been
	// probed.
	backendsProbed atomic.Bool
	requests       atomic.Uint64
	// runContext is set by Run before the source is started.
	runContext context.Context
}

// New returns a router that is idle until Run.
func New(config Config, dependencies Dependencies) *Router {
	config = config.withDefaults()
	metrics := newRouterMetrics(dependencies.Registerer)
	created := &Router{
		config:       config,
		logger:       dependencies.Logger,
		metrics:      metrics,
		routes:       routestats.NewRecorder(steadyclock.Now()),
		backends:     dependencies.Backends,
		claims:       dependencies.Claims,
		admissionLog: dependencies.Admissions,
		events:       dependencies.Events,
		source:       dependencies.Source,

		forwarder: dependencies.Forwarder,

		prober: newProber(config, dependencies.Backends, metrics),
		warmer: newWarmer(dependencies.Backends),
	}
	created.cells = cell.NewCells([]string{config.Name})
	created.canceler = newCanceler(created)
	created.shares = newShareManager(created)
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

// Run runs the engines and follows the configuration source until the context ends.
// At a planned stop, call Stop before ending the context.
func (r *Router) Run(ctx context.Context) error {
	// The engines outlive the caller's context by their last steps; everything they
	// start uses this context.
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	r.runContext = running
	var workers sync.WaitGroup
	for _, loop := range r.loops {
		workers.Go(func() { loop.run(running) })
	}
	workers.Go(func() { r.shares.run(running) })
	workers.Go(func() { r.regions.run(running) })
	for range cancelWorkers {
		workers.Go(func() { r.canceler.run(running) })
	}
	for range warmWorkers {
		workers.Go(func() { r.warmer.run(running) })
	}
	err := r.source.Run(running, r)
	<-ctx.Done()
	cancel()
	r.prober.close()
	workers.Wait()
	r.settling.Wait()
	r.backends.Close()
	return errors.Wrap(err, "configuration source")
}

// Query answers a request. It returns when the engine answers or when the context
// ends because the caller has disconnected, whichever is first.
func (r *Router) Query(ctx context.Context, request Request) query.Answer {
	return r.withMetrics(request, func() query.Answer {
		if route, remote := r.RemoteRouteNamed(request.Route); remote {
			return r.regions.query(ctx, route, request)
		}
		return r.dispatch(ctx, request)
	})
}

// withMetrics answers a request and counts the answer.
func (r *Router) withMetrics(request Request, respond func() query.Answer) query.Answer {
	arrived := steadyclock.Now()
	answer := respond()
	elapsed := steadyclock.Since(arrived)
	r.metrics.countAnswer(r.routeLabel(request.Route), answer, elapsed)
	r.routes.Record(arrived.Add(elapsed), r.routeLabel(request.Route), sampleOf(answer, elapsed))
	return answer
}

// dispatch answers a request for a route of this region, either itself or through a
// router of its service's cell.
func (r *Router) dispatch(ctx context.Context, request Request) query.Answer {
	route, known := r.RouteNamed(request.Route)
	if !known || r.refusing.Load() {
		return r.QueryLocal(ctx, request)
	}
	peers := r.cellPeers(route.Service)
	if len(peers) == 0 {
		answer := r.QueryLocal(ctx, request)
		// The router may have left the cell meanwhile.
		peers = r.cellPeers(route.Service)
		if answer.Err == nil || answer.Verdict != verdict.NotRun ||
			answer.Err.Reason != verdict.ReasonNoReplica || len(peers) == 0 {
			return answer
		}
	}
	return r.forward(ctx, peers, route, request)
}

// QueryLocal answers a request without forwarding it to another router.
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
		// A peer with a different list of routers forwarded it.
		return r.refuseNotInCell()
	}
	id := query.RequestID(r.requests.Add(1))
	// Buffered for the only answer, so that the engine never waits for a caller.
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
			// The engine learned first that the router has left the cell.
			return r.refuseNotInCell()
		}
		return answer
	case <-ctx.Done():
		owner.pushOutcome(query.CallerDisconnected{Request: id})
		return canceledAnswer()
	case <-owner.exited:
		return query.Answer{Verdict: verdict.MayHaveRun,
			Err: &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonStopping}}
	}
}

// refuseNotInCell refuses a request for a service that other routers serve.
func (r *Router) refuseNotInCell() query.Answer {
	return r.refusal(verdict.ReasonNoReplica, "this router is not of the service's cell")
}

func canceledAnswer() query.Answer {
	return query.Answer{Verdict: verdict.MayHaveRun,
		Err: &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCanceled}}
}

// refusal returns the answer to a request of which nothing was sent.
func (r *Router) refusal(reason verdict.Reason, detail string) query.Answer {
	answer := r.refusalWithoutRetry(reason, detail)
	answer.Err.RetryAfter = r.config.RefusalRetryAfter
	return answer
}

func (r *Router) refusalWithoutRetry(reason verdict.Reason, detail string) query.Answer {
	return query.Answer{Verdict: verdict.NotRun, Err: verdict.Refuse(reason, detail)}
}

// routeLabel replaces route names that are not configured, so that callers can not
// create metric labels.
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

// record passes an event to the sink, which numbers it.
func (r *Router) record(event journal.Event) {
	event.Source = r.config.Name
	if event.Time.IsZero() {
		event.Time = time.Now() // wall clock: the time is for human readers.
	}
	r.events.Record(event)
}
