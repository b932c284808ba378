package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/exchange"
	"github.com/martenstage/martenstage/internal/httpdrain"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/slicing"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Gateway is a router.
type Gateway struct {
	config  Config
	logger  logrus.FieldLogger
	metrics *metrics
	started time.Time
	seed    uint64
	seeds   atomic.Pointer[[]string]
	// knownGroup is the addressee.Group of the directory nodes; 0 until a node has reported
	// it.
	knownGroup atomic.Uint64
	pool       *exchange.Pool
	loop       *loop
	table      atomic.Pointer[routing.Table]
	// answeredRequests are requests that servers answered shortly before.
	answeredRequests answeredRequests
	// start identifies this start of the router, for the trials that it holds.
	start uint64
	// keySeed seeds the digests of API keys; it is drawn at each start.
	keySeed routing.KeySeed
	// confirmed tells when the active document was last known to be the newest; nil until a
	// node has reported it.
	confirmed atomic.Pointer[confirmation]
	// view tells how old this router's knowledge of servers is; nil until a node has replied.
	view     atomic.Pointer[view]
	quotas   *quotaLimiter
	load     *loadState
	rollouts *rolloutMonitor
	stopping atomic.Bool
	stop     stopState
	// documentKnown is closed once a document is installed.
	documentKnown chan struct{}
	// serversKnown is closed once the router has a table of servers.
	serversKnown chan struct{}
	inFlight     atomic.Int64
	answers      atomic.Uint64
	peers        *peers
	slices       *sliceClient
	claims       *claimTable
	isolation    *isolationMonitor
	follower     *follower
	// quarantine tracks the requests that crash servers. The limits below bound the log lines
	// about broken attempts, crashed servers and requests refused as quarantined.
	quarantine             *quarantineMonitor
	brokenAttemptLines     logging.LineLimit
	crashLines             logging.LineLimit
	quarantineRefusalLines logging.LineLimit
	// tenantRefusalLines bounds the log lines about requests refused for their key or rate
	// limit.
	tenantRefusalLines logging.LineLimit
	// capacityRefusalLines bounds the log lines about requests refused for lack of capacity.
	capacityRefusalLines logging.LineLimit
	// expiredRefusalLines bounds the log lines about requests that came without time left.
	expiredRefusalLines logging.LineLimit
	// misdirectedLines bounds the log lines about calls that reached the wrong process.
	misdirectedLines logging.LineLimit
	clientCloses     *clientCloses
	// shardCalls is the rate of calls to servers of shards, without hedges and retries.
	shardCalls rate
	// loggedGatherers is the gatherer summary last logged. Only the follower's goroutine uses
	// it.
	loggedGatherers gathererSummary
	// suspects are the names of failed routers to report to the directory.
	suspects chan string
	// sliceLag is the delay of slices from other routers, answerLag the time from the cutoff
	// until the response is written.
	sliceLag  lag
	answerLag lag
}

// New returns a router without a document.
func New(config Config, environment Environment) *Gateway {
	gateway := &Gateway{
		config: config, logger: environment.Logger.WithField(logging.FieldNode, config.Name),
		metrics: newMetrics(environment.Registerer), started: steadyclock.Now(),
		documentKnown: make(chan struct{}), serversKnown: make(chan struct{}), suspects: make(chan string, suspectBacklog), claims: newClaimTable(),
		stop: stopState{begun: make(chan struct{})},
		seed: xxhash.Sum64String(config.Name), pool: exchange.NewPool(config.Codec, environment.Registerer),
	}
	_, _ = rand.Read(gateway.keySeed[:]) // crypto/rand.Read never returns an error; it ends the process if there is no randomness.
	gateway.start = newStart()
	gateway.clientCloses = newClientCloses(environment.Registerer, gateway.logger)
	gateway.pool.LimitReplies(config.ReplyMemory)
	gateway.slices = newSliceClient(gateway.group)
	gateway.rollouts = newRolloutMonitor()
	gateway.load = newLoadState(gateway.started)
	gateway.quotas = newQuotaLimiter(gateway.seed ^ uint64(gateway.started.UnixNano()))
	gateway.peers = newPeers(slicing.Router{Name: config.Name, Zone: config.Zone, Address: config.PeerAddress})
	gateway.isolation = newIsolationMonitor(gateway)
	gateway.SetSeeds(config.Seeds)
	engine := scatter.New(scatter.Config{
		Zone: config.Zone, Seed: gateway.seed ^ uint64(gateway.started.UnixNano()), Budget: config.Budget, Cold: config.Cold,
		ClassOrder: config.Parts.ClassOrder, SharedConditions: config.Parts.SharedConditions, ResendRefused: config.Parts.ResendRefused,
	})
	gateway.metrics.registerViewAge(environment.Registerer, func() float64 { return gateway.viewAge(steadyclock.Now()).Seconds() })
	gateway.metrics.registerLoadViewAge(environment.Registerer, func() float64 { return gateway.load.age(steadyclock.Now()).Seconds() })
	gateway.loop = newLoop(engine, gateway.pool, loopCallbacks{
		claim: gateway.slices.claim, observe: gateway.observe, rollout: gateway.rollouts.observe, invariantBroken: gateway.metrics.invariantsBroken.Inc,
	}, gateway.logger)
	gateway.quarantine = newQuarantineMonitor(gateway.logger, gateway.metrics)
	gateway.follower = newFollower(gateway)
	return gateway
}

// newStart returns a random identity of a start. 0 stands for one that is not told.
func newStart() uint64 {
	var drawn [8]byte
	_, _ = rand.Read(drawn[:]) // Never returns an error, as in New.
	return max(1, binary.LittleEndian.Uint64(drawn[:]))
}

// SetSeeds replaces the seeds after a reload of the settings.
func (g *Gateway) SetSeeds(seeds []string) {
	copied := append([]string(nil), seeds...)
	g.seeds.Store(&copied)
}

func (g *Gateway) seedList() []string { return *g.seeds.Load() }

// Ready reports whether the router accepts new connections. It does not while it stops, has no
// document or no table of servers, is isolated from all other zones or can't confirm that keys
// are still valid.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.table.Load() != nil && g.knowsServers() && !g.isolation.isolated.Load() && !g.keysExpired()
}

// knowsServers reports whether the router has a table of servers.
func (g *Gateway) knowsServers() bool {
	select {
	case <-g.serversKnown:
		return true
	default:
		return false
	}
}

// Version returns the version of the active document; 0 for none.
func (g *Gateway) Version() uint64 {
	table := g.table.Load()
	if table == nil {
		return 0
	}
	return table.Document().Version
}

// install makes a document the active one. It came from a node, sinceReply after the previous
// reply.
func (g *Gateway) install(document *routing.Document, from string, sinceReply time.Duration) {
	before := g.Version()
	g.loop.events <- scatter.DocumentChanged{Services: document.Services}
	g.setLimits(document)
	if g.table.Swap(routing.NewTable(document, g.keySeed)) == nil {
		close(g.documentKnown)
	}
	g.peers.invalidateCount()
	g.metrics.version.Set(float64(document.Version))
	g.logger.WithFields(logrus.Fields{
		"version": document.Version, "before": before, "routes": len(document.Routes), "tenants": len(document.Tenants), "from": from, "since_reply": sinceReply,
	}).Info("document_installed")
}

// Run serves clients until the context ends, which starts a planned stop: the router reports
// not ready at once, closes each connection after its next response and serves until it gets no
// new connections. It then closes the connections on which no request is being received or
// served, and returns once all are closed or Config.Grace has passed.
//
// The peers listener serves other routers; it may be nil.
func (g *Gateway) Run(stopping context.Context, clients, peers net.Listener) error {
	background, cancelBackground := context.WithCancel(context.Background())
	defer cancelBackground()
	var tasks sync.WaitGroup
	tasks.Go(func() { g.loop.run(background) })
	tasks.Go(func() { g.follower.run(background) })
	tasks.Go(func() { g.follower.reportSuspects(background) })
	tasks.Go(func() { g.follower.sendQuarantineOrders(background) })
	tasks.Go(func() { g.follower.reportQuota(background) })
	tasks.Go(func() { g.follower.reportRollouts(background) })
	tasks.Go(func() { g.isolation.run(background) })
	server := httpdrain.NewServer(httpdrain.Config{
		Handler: g, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: g.maxHeaderBytes, OnClosed: g.clientCloses.record,
		Intake: g.config.Intake, MaxConnections: g.config.MaxClientConnections,
	})
	tasks.Go(func() { g.enforceLimits(background, server) })
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- server.Serve(clients) }()
	peerServer := httpdrain.NewServer(httpdrain.Config{
		Handler: g.PeerHandler(), ReadHeaderTimeout: readHeaderTimeout, Intake: g.config.Intake, MaxConnections: g.config.MaxPeerConnections,
	})
	if peers != nil {
		go func() { serveErrors <- peerServer.Serve(peers) }()
	}
	var failure error
	select {
	case err := <-serveErrors:
		failure = errors.Wrap(errors.CombineErrors(err, errors.CombineErrors(server.Close(), peerServer.Close())), "clients can't be served")
	case <-stopping.Done():
		g.stopServing(server, peerServer)
	}
	cancelBackground()
	tasks.Wait()
	g.pool.Close()
	return failure
}

// maxHeaderBytes returns the largest head of a request by the active document; 0 for no limit of
// its own.
func (g *Gateway) maxHeaderBytes() int {
	if table := g.table.Load(); table != nil {
		return table.Document().Limits.HeaderBytes
	}
	return 0
}

// enforceLimits closes connections of clients that exceed the time limits of the active
// document.
func (g *Gateway) enforceLimits(ctx context.Context, server *httpdrain.Server) {
	check := time.NewTicker(limitInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
			if table := g.table.Load(); table != nil {
				limits := table.Document().Limits
				server.Enforce(steadyclock.Now(), httpdrain.Limits{Idle: limits.IdleTime, Header: limits.HeaderTime})
			}
		}
	}
}

// stopServing carries out a planned stop.
func (g *Gateway) stopServing(server, peerServer *httpdrain.Server) {
	deadline := steadyclock.Now().Add(g.config.Grace - stopMargin)
	g.stopping.Store(true)
	server.CloseAfterResponses()
	g.limitAnswers(deadline.Add(-lastAnswersTime))
	g.logger.WithField("in_flight", g.inFlight.Load()).Info("stopping")
	time.Sleep(min(unreadyDelay, g.config.Grace/2))
	g.logger.WithField("connections", phaseCounts(server)).Info("closing_connections")
	drainCtx, cancel := steadyclock.WithDeadline(context.Background(), deadline)
	defer cancel()
	// Other routers are served for longer: requests in flight need the attempts that they claim.
	err := errors.CombineErrors(server.Drain(drainCtx), peerServer.Drain(drainCtx))
	g.logger.WithField("unanswered", g.inFlight.Load()).WithField(logrus.ErrorKey, err).Info("stopped")
}
