package query

import (
	"math/rand/v2"
	"time"

	"github.com/martenstage/martenstage/internal/admission"
	"github.com/martenstage/martenstage/internal/balancer"
)

// Engine is the state machine that processes the requests of some services. One
// goroutine owns it.
type Engine struct {
	config Config
	now    time.Time
	random *rand.Rand
	pool   *balancer.Pool
	gate   admission.Gate

	revision   uint64
	installed  bool
	routes     map[string]*routeView
	services   map[string]*serviceView
	partitions map[*balancer.Generation]*partition

	leaseUntil time.Time
	stopping   bool
	stopped    bool

	requests map[RequestID]*request
	// settling counts answered requests with attempts in flight whose outcome still
	// decides how their claim is settled.
	settling int
	// abandonedClaims maps requests that ended before their claim was decided to the
	// caller's request id.
	abandonedClaims map[RequestID]string
	retiredServices []*serviceView
	attempts        attemptTable
	waitingShards   int
	freeRequests    []*request
	sequence        uint64

	timers               timerHeap
	timerAt              time.Time
	events               eventLimiter
	requestedConnections connectionCounts
	commands             []Command
}

// New returns an engine without configuration and lease: it refuses requests until it
// has received both.
func New(config Config) *Engine {
	config = config.withDefaults()
	random := rand.New(rand.NewPCG(config.Seed, config.Seed))
	balancing := config.Tuning.Balancer
	balancing.Zone, balancing.Random = config.Zone, random
	if config.Tuning.Variant != VariantMartenstage {
		balancing.Selection = balancer.SelectRandom
	}
	return &Engine{
		config:               config,
		random:               random,
		pool:                 balancer.New(balancing),
		gate:                 admission.Gate{MaxInFlight: config.MaxInFlight},
		routes:               make(map[string]*routeView),
		services:             make(map[string]*serviceView),
		partitions:           make(map[*balancer.Generation]*partition),
		requests:             make(map[RequestID]*request),
		abandonedClaims:      make(map[RequestID]string),
		events:               newEventLimiter(config.Tuning.EventInterval),
		requestedConnections: make(connectionCounts),
	}
}

// Step processes one event and returns the commands to execute, in order. The
// returned slice is valid until the next Step. A time before that of the last Step is
// replaced by the time of the last Step.
func (e *Engine) Step(now time.Time, event Event) []Command {
	if now.After(e.now) {
		e.now = now
	}
	clear(e.commands)
	e.commands = e.commands[:0]
	e.handle(event)
	e.runTimers()
	e.reportTransitions()
	e.releaseRetired()
	e.finishStop()
	e.armTimer()
	return e.commands
}

func (e *Engine) handle(event Event) {
	switch event := event.(type) {
	case PartArrived:
		e.partArrived(event)
	case AttemptFailed:
		e.attemptFailed(event)
	case RequestArrived:
		e.requestArrived(event.Request)
	case HealthObserved:
		e.healthObserved(event)
	case CallerDisconnected:
		e.callerDisconnected(event.Request)
	case ClaimDecided:
		e.claimDecided(event)
	case ConfigInstalled:
		e.configInstalled(event)
	case LeaseRenewed:
		e.leaseRenewed(event.Until)
	case StopRequested:
		e.stopping = true
	case ShareChanged:
		e.shareChanged(event)
	case MachineObserved:
		e.machineObserved(event)
	case TimerFired:
	}
}

func (e *Engine) emit(command Command) { e.commands = append(e.commands, command) }

// leaseRenewed extends the lease. A renewal that arrives out of order must not
// shorten it; only a zero time ends it early.
func (e *Engine) leaseRenewed(until time.Time) {
	if until.IsZero() || until.After(e.leaseUntil) {
		e.leaseUntil = until
	}
}

// finishStop emits Stopped once every request has its answer and every requested
// claim is settled.
func (e *Engine) finishStop() {
	if !e.stopping || e.stopped || len(e.requests) > 0 || e.settling > 0 || len(e.abandonedClaims) > 0 {
		return
	}
	e.stopped = true
	e.flushAllEvents()
	e.emit(Stopped{})
}
