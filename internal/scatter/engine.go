package scatter

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/evacuation"
	"github.com/martenstage/martenstage/internal/latency"
	"github.com/martenstage/martenstage/internal/rollout"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Config holds the settings of an engine.
type Config struct {
	// Zone is the router's own zone.
	Zone string
	// Seed of the random source: the same seed and events give the same commands.
	Seed   uint64
	Budget BudgetLimits
	Cold   ColdLimits
	// ClassOrder sends the waiting calls of more urgent routes first.
	ClassOrder bool
	// SharedConditions uses the figures of ConditionsShared in the choice of servers.
	SharedConditions bool
	// ResendRefused sends a call that all its servers refused to one of them again.
	ResendRefused bool
}

// Engine decides for one router. A single goroutine owns it.
type Engine struct {
	config      Config
	random      *rand.Rand
	now         time.Time
	routers     int
	rank        int
	groups      map[string]*group
	servers     map[string]*server
	requests    map[RequestID]*request
	attempts    map[AttemptID]*attempt
	durations   map[string]*durations
	timers      timerHeap
	lastAttempt AttemptID
	wakeAt      time.Time
	// evacuated determines which servers get no work by an operator's order.
	evacuated evacuation.View
	// rollouts determine, by service, which versions calls may go to.
	rollouts map[string]rollout.Rule
	// conditions are the shared figures; named are the known servers among them. exploring is
	// the random source of exploring attempts: it is separate, so that figures without weight
	// change no other choice.
	conditions ConditionsShared
	named      []*server
	exploring  *rand.Rand
	// recent are the servers that were used lately, and waiting the services where calls wait;
	// both may hold others until the next LoadReport.
	recent  []*server
	waiting []*group
	// answersBy is that of Stopping; zero while the process does not stop.
	answersBy time.Time
	// lateAt is when timers last ran late.
	lateAt   time.Time
	commands []Command
}

// New returns an engine without servers.
func New(config Config) *Engine {
	return &Engine{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed)), routers: 1,
		groups: make(map[string]*group), servers: make(map[string]*server),
		requests: make(map[RequestID]*request), attempts: make(map[AttemptID]*attempt),
		durations: make(map[string]*durations),
		exploring: rand.New(rand.NewPCG(config.Seed, ^config.Seed)),
	}
}

// Step handles one event and returns the commands to carry out, in order. The returned slice
// is valid until the next Step.
func (e *Engine) Step(now time.Time, event Event) []Command {
	if now.After(e.now) {
		e.now = now
	}
	e.commands = e.commands[:0]
	e.noteLate()
	e.runTimers()
	e.handle(event)
	e.scheduleWake()
	return e.commands
}

func (e *Engine) handle(event Event) {
	switch event := event.(type) {
	case Arrived:
		e.arrive(event)
	case Ended:
		e.end(event)
	case Granted:
		e.handleGrant(event)
	case Abandoned:
		e.abandon(event.Request)
	case Stopping:
		e.stop(event.AnswersBy)
	case Withdrawn:
		e.withdraw(event.Request)
	case ServersChanged:
		for _, update := range event.Servers {
			e.updateServer(update)
		}
		e.dispatchWaiting()
	case ServersRemoved:
		for _, id := range event.IDs {
			e.removeServer(id)
		}
	case DocumentChanged:
		e.updateServices(event.Services)
	case RoutersChanged:
		e.routers, e.rank = max(1, event.Count), event.Rank
	case GatherersChanged:
		e.setGatherers(event.Gatherers)
	case ZonesEvacuated:
		e.evacuated = event.View
		e.dispatchWaiting()
	case RolloutsChanged:
		e.updateRollouts(event.Rules)
	case ConditionsShared:
		e.shareConditions(event)
	case TimerFired:
	}
}

func (e *Engine) emit(command Command) { e.commands = append(e.commands, command) }

// scheduleWake requests a TimerFired for the next timer, unless it was requested already.
func (e *Engine) scheduleWake() {
	if len(e.timers) == 0 || e.timers[0].at.Equal(e.wakeAt) {
		return
	}
	e.wakeAt = e.timers[0].at
	e.emit(Wake{At: e.wakeAt})
}

func (e *Engine) runTimers() {
	for {
		t, ok := e.timers.due(e.now)
		if !ok {
			return
		}
		switch t.kind {
		case timerHedge:
			e.hedge(t.attempt)
		case timerClaim:
			e.claimAhead(t.attempt)
		case timerAbort:
			if _, exists := e.attempts[t.attempt]; exists {
				e.emit(Abort{Attempt: t.attempt})
			}
		case timerDue:
			if pending, ok := e.requests[t.request]; ok && pending.open > 0 {
				e.emit(Overdue{Request: pending.id, Result: e.result(pending)})
			}
		case timerLastSend:
			e.settleWaiting(t.request)
		case timerCapacity:
			e.dispatchQueue(t.service)
		case timerDeadline:
			if pending, ok := e.requests[t.request]; ok {
				e.decide(pending)
			}
		}
	}
}

// InFlight returns the number of requests without an answer.
func (e *Engine) InFlight() int { return len(e.requests) }

func (e *Engine) group(service string) *group {
	existing, ok := e.groups[service]
	if !ok {
		existing = &group{service: service}
		e.groups[service] = existing
	}
	return existing
}

// updateServer adds or updates a server. One that is leaving remains so.
func (e *Engine) updateServer(update Server) {
	known, exists := e.servers[update.ID]
	if !exists {
		added := newServer(update)
		added.startColdBudget(e.now)
		e.servers[update.ID] = added
		grp := e.group(update.Service)
		grp.servers = append(grp.servers, added)
		e.applyCondition(added)
		e.emit(LogServer{Server: update, Event: "server_known"})
		return
	}
	update.Draining = update.Draining || known.Draining
	if update.Draining != known.Draining || update.Missing != known.Missing || update.Replaced != known.Replaced {
		e.emit(LogServer{Server: update, Event: "server_changed", Detail: known.recentWork(e.now)})
	}
	known.missingLogged = known.missingLogged && update.Missing
	known.Server = update
	known.startColdBudget(e.now)
}

func (e *Engine) removeServer(id string) {
	known, exists := e.servers[id]
	if !exists {
		return
	}
	known.Draining = true
	delete(e.servers, id)
	if known.listed {
		e.recent = slices.DeleteFunc(e.recent, func(s *server) bool { return s == known })
	}
	if known.shared != nil {
		e.named = slices.DeleteFunc(e.named, func(s *server) bool { return s == known })
	}
	grp := e.group(known.Service)
	for index, member := range grp.servers {
		if member == known {
			grp.servers = append(grp.servers[:index:index], grp.servers[index+1:]...)
			break
		}
	}
	e.emit(LogServer{Server: known.Server, Event: "server_forgotten", Detail: known.recentWork(e.now)})
}

func (e *Engine) updateServices(services []routing.Service) {
	for _, service := range services {
		grp := e.group(service.Name)
		grp.maxConnections, grp.coldRate = service.MaxConnections, service.ColdRate
	}
}

func (e *Engine) setGatherers(counted map[string]Gatherers) {
	for service, known := range e.groups {
		known.gatherers = counted[service]
	}
	for service, gatherers := range counted {
		e.group(service).gatherers = gatherers
	}
}

// share is this router's share of what a service allows all routers together.
func (e *Engine) share(g *group) float64 { return g.gatherers.share(e.routers) }

// durations are those of a route's attempts, and of its attempts at sound servers.
type durations struct{ all, sound *latency.Histogram }

// durationsOf returns the durations of a route's attempts.
func (e *Engine) durationsOf(route *routing.Route) *durations {
	existing, ok := e.durations[route.Name]
	if !ok {
		existing = &durations{all: latency.NewHistogram(latency.DefaultHalfLife), sound: latency.NewHistogram(latency.DefaultHalfLife)}
		e.durations[route.Name] = existing
	}
	return existing
}

// histogram returns the histogram of a route's attempts.
func (e *Engine) histogram(route *routing.Route) *latency.Histogram { return e.durationsOf(route).all }

// notRunRetryAfter is the delay after which a client may retry a request that has not run.
const notRunRetryAfter = 150 * time.Millisecond

// failureReason maps a failure to the reason that is reported.
func failureReason(failure Failure) verdict.Reason {
	switch failure {
	case NotConnected, Unaccepted, Broken:
		return verdict.ReasonConnection
	case Refused:
		return verdict.ReasonOverloaded
	case OtherInstance, NotSent:
		return verdict.ReasonNoReplica
	case TimedOut, Aborted:
		return verdict.ReasonTimeout
	}
	return verdict.ReasonBackendError
}
