package gateway

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/exchange"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/slicing"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Gateway is one router.
type Gateway struct {
	config  Config
	logger  logrus.FieldLogger
	metrics *metrics
	started time.Time
	seed    uint64
	seeds   atomic.Pointer[[]string]
	// knownGroup is that of the directory nodes, an addressee.Group; 0 until one told.
	knownGroup atomic.Uint64
	pool       *exchange.Pool
	loop       *loop
	table      atomic.Pointer[routing.Table]
	// keySeed is that of the digests of keys, drawn at the start.
	keySeed routing.KeySeed
	// confirmed says since when the document in force is known to be the newest; nil as long
	// as no node told.
	confirmed atomic.Pointer[confirmation]
	// view says how old what the router knows of servers is; nil as long as no node told.
	view     atomic.Pointer[view]
	quotas   *quotaWatch
	rollouts *rolloutWatch
	stopping atomic.Bool
	// closing says that connections end with their next answer.
	closing atomic.Bool
	// known is closed once there is a document.
	known    chan struct{}
	inFlight atomic.Int64
	answers  atomic.Uint64
	peers    *peers
	slices   *sliceClient
	claims   *claimBook
	reach    *reach
	follower *follower
	// quarantine are the requests that end servers; breaks, endings and refusals bound the
	// lines about attempts that broke off, servers that ended and requests refused for that.
	quarantine *quarantineWatch
	breaks     logging.LineLimit
	endings    logging.LineLimit
	refusals   logging.LineLimit
	// tenantRefusals bounds the lines of requests refused for their key or limit.
	tenantRefusals logging.LineLimit
	// misdirected bounds the lines of calls that were meant for another process.
	misdirected logging.LineLimit
	clients     *clientConnections
	// shardCalls is how often servers of shards are called, beyond repeats.
	shardCalls rate
	// gatherersTold is what the log last said of who gathers; the one that follows owns it.
	gatherersTold gathererCount
	// doubts are routers that failed, to be told to the directory.
	doubts chan string
	// sliceLag is that of slices from other routers, answerLag that from the cut
	// until an answer is written.
	sliceLag  lag
	answerLag lag
}

// New returns a router that knows no document yet.
func New(config Config, environment Environment) *Gateway {
	gateway := &Gateway{
		config: config, logger: environment.Logger.WithField(logging.FieldNode, config.Name),
		metrics: newMetrics(environment.Registerer), started: steadyclock.Now(),
		known: make(chan struct{}), doubts: make(chan string, doubtBacklog), claims: newClaimBook(), clients: newClientConnections(environment.Registerer),
		seed: xxhash.Sum64String(config.Name), pool: exchange.NewPool(config.Codec, environment.Registerer),
	}
	_, _ = rand.Read(gateway.keySeed[:]) // It never returns an error: without randomness the process ends.
	gateway.slices = newSliceClient(gateway.group)
	gateway.rollouts = newRolloutWatch()
	gateway.quotas = newQuotaWatch(gateway.seed ^ uint64(gateway.started.UnixNano()))
	gateway.peers = newPeers(slicing.Router{Name: config.Name, Zone: config.Zone, Address: config.PeerAddress})
	gateway.reach = newReach(gateway)
	gateway.SetSeeds(config.Seeds)
	engine := scatter.New(scatter.Config{Zone: config.Zone, Seed: gateway.seed ^ uint64(gateway.started.UnixNano()), Budget: config.Budget, Cold: config.Cold})
	gateway.metrics.watchView(environment.Registerer, func() float64 { return gateway.viewAge(steadyclock.Now()).Seconds() })
	gateway.loop = newLoop(engine, gateway.pool, loopPorts{claim: gateway.slices.claim, observe: gateway.observe, rollout: gateway.rollouts.observe}, gateway.logger)
	gateway.quarantine = newQuarantineWatch(gateway.logger, gateway.metrics)
	gateway.follower = newFollower(gateway)
	return gateway
}

// SetSeeds replaces the seeds, after a reload of the settings.
func (g *Gateway) SetSeeds(seeds []string) {
	copied := append([]string(nil), seeds...)
	g.seeds.Store(&copied)
}

func (g *Gateway) seedList() []string { return *g.seeds.Load() }

// Ready reports whether the router wants new connections: it does not while it stops,
// knows no document, is cut off from all other zones or can't tell whether keys still hold.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.table.Load() != nil && !g.reach.isolated.Load() && !g.keysLapsed()
}

// Version returns that of the document in force; 0 for none.
func (g *Gateway) Version() uint64 {
	table := g.table.Load()
	if table == nil {
		return 0
	}
	return table.Document().Version
}

// install puts a document in force.
func (g *Gateway) install(document *routing.Document, from string) {
	before := g.Version()
	g.loop.events <- scatter.DocumentChanged{Services: document.Services}
	g.setLimits(document)
	if g.table.Swap(routing.NewTable(document, g.keySeed)) == nil {
		close(g.known)
	}
	g.peers.recount()
	g.metrics.version.Set(float64(document.Version))
	g.logger.WithFields(logrus.Fields{
		"version": document.Version, "before": before, "routes": len(document.Routes), "tenants": len(document.Tenants), "from": from,
	}).Info("document_installed")
}

// Run serves clients until the context ends, which begins a planned stop: the
// router is not ready at once, goes on serving until it gets no new connections,
// ends each connection with its next answer and returns once all is answered, at
// the latest within the grace.
//
// Other routers are served at the second listener; nil for none.
func (g *Gateway) Run(stopping context.Context, clients, others net.Listener) error {
	duties, end := context.WithCancel(context.Background())
	defer end()
	var running sync.WaitGroup
	running.Go(func() { g.loop.run(duties) })
	running.Go(func() { g.follower.run(duties) })
	running.Go(func() { g.follower.tellDoubts(duties) })
	running.Go(func() { g.follower.tellQuarantine(duties) })
	running.Go(func() { g.follower.tellQuota(duties) })
	running.Go(func() { g.follower.tellRollouts(duties) })
	running.Go(func() { g.reach.run(duties) })
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTime, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: g.clients.begin, ConnState: g.clients.change,
	}
	running.Go(func() { g.enforceLimits(duties) })
	served := make(chan error, 2)
	go func() { served <- server.Serve(clients) }()
	peerServer := &http.Server{Handler: g.PeerHandler(), ReadHeaderTimeout: headerTime}
	if others != nil {
		go func() { served <- peerServer.Serve(others) }()
	}
	var failed error
	select {
	case err := <-served:
		failed = errors.Wrap(errors.CombineErrors(err, errors.CombineErrors(server.Close(), peerServer.Close())), "clients can't be served")
	case <-stopping.Done():
		g.stop(server, peerServer)
	}
	end()
	running.Wait()
	g.pool.Close()
	return failed
}

// enforceLimits closes connections of clients that exceed the times of the
// document in force.
func (g *Gateway) enforceLimits(ctx context.Context) {
	check := time.NewTicker(limitInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
			if table := g.table.Load(); table != nil {
				g.clients.enforce(steadyclock.Now(), table.Document().Limits)
			}
		}
	}
}

// stop carries out the planned stop.
func (g *Gateway) stop(server, peerServer *http.Server) {
	deadline := steadyclock.Now().Add(g.config.Grace - stopMargin)
	g.stopping.Store(true)
	g.logger.WithField("in_flight", g.inFlight.Load()).Info("stopping")
	time.Sleep(min(unreadyTime, g.config.Grace/2))
	g.closing.Store(true)
	finishing, cancel := steadyclock.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := errors.CombineErrors(server.Shutdown(finishing), peerServer.Shutdown(finishing))
	g.logger.WithField("unanswered", g.inFlight.Load()).WithField(logrus.ErrorKey, err).Info("stopped")
}
