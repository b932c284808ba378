package scatter

import (
	"math/rand/v2"
	"time"

	"github.com/martenstage/martenstage/internal/evacuation"
	"github.com/martenstage/martenstage/internal/latency"
	"github.com/martenstage/martenstage/internal/rollout"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Config holds what an engine is made with.
type Config struct {
	// Zone is the router's own.
	Zone string
	// Seed of the random source: equal seeds and events give equal commands.
	Seed   uint64
	Budget BudgetLimits
	Cold   ColdLimits
}

// Engine is the decision core of one router. One goroutine owns it.
type Engine struct {
	config   Config
	random   *rand.Rand
	now      time.Time
	routers  int
	rank     int
	groups   map[string]*group
	servers  map[string]*server
	requests map[RequestID]*request
	attempts map[AttemptID]*attempt
	routes   map[string]*latency.Histogram
	timers   timerHeap
	last     AttemptID
	woken    time.Time
	// evacuated says which servers get nothing by an operator's order.
	evacuated evacuation.View
	// rollouts say which servers calls of a service may go to.
	rollouts map[string]rollout.Rule
	commands []Command
}

// New returns an engine that knows no servers.
func New(config Config) *Engine {
	return &Engine{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed)), routers: 1,
		groups: make(map[string]*group), servers: make(map[string]*server),
		requests: make(map[RequestID]*request), attempts: make(map[AttemptID]*attempt),
		routes: make(map[string]*latency.Histogram),
	}
}

// Step takes in one event and returns what has to be done, in order. The
// returned slice is valid until the next Step.
func (e *Engine) Step(now time.Time, event Event) []Command {
	if now.After(e.now) {
		e.now = now
	}
	e.commands = e.commands[:0]
	e.runTimers()
	e.handle(event)
	e.wake()
	return e.commands
}

func (e *Engine) handle(event Event) {
	switch event := event.(type) {
	case Arrived:
		e.arrive(event)
	case Ended:
		e.end(event)
	case Granted:
		e.takeGrant(event)
	case Abandoned:
		e.abandon(event.Request)
	case Withdrawn:
		e.withdraw(event.Request)
	case ServersChanged:
		for _, told := range event.Servers {
			e.changeServer(told)
		}
		e.serveWaiting()
	case ServersGone:
		for _, id := range event.IDs {
			e.forgetServer(id)
		}
	case DocumentChanged:
		e.changeServices(event.Services)
	case RoutersCounted:
		e.routers, e.rank = max(1, event.Count), event.Rank
	case GatherersCounted:
		e.countGatherers(event.Gatherers)
	case ZonesEvacuated:
		e.evacuated = event.View
		e.serveWaiting()
	case RolloutsChanged:
		e.changeRollouts(event.Rules)
	case TimerFired:
	}
}

func (e *Engine) emit(command Command) { e.commands = append(e.commands, command) }

// wake asks to be called at the next timer, if that is another time than last.
func (e *Engine) wake() {
	if len(e.timers) == 0 || e.timers[0].at.Equal(e.woken) {
		return
	}
	e.woken = e.timers[0].at
	e.emit(Wake{At: e.woken})
}

func (e *Engine) runTimers() {
	for {
		due, ok := e.timers.due(e.now)
		if !ok {
			return
		}
		switch due.kind {
		case timerHedge:
			e.hedge(due.attempt)
		case timerClaim:
			e.claimAhead(due.attempt)
		case timerAbort:
			if _, out := e.attempts[due.attempt]; out {
				e.emit(Abort{Attempt: due.attempt})
			}
		case timerDue:
			if waiting, ok := e.requests[due.request]; ok && waiting.open > 0 {
				e.emit(Overdue{Request: waiting.id, Result: e.result(waiting)})
			}
		case timerRoom:
			e.serveGroup(due.service)
		case timerDeadline:
			if waiting, ok := e.requests[due.request]; ok {
				e.decide(waiting)
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

// changeServer takes in a server. One that left stays so.
func (e *Engine) changeServer(told Server) {
	known, exists := e.servers[told.ID]
	if !exists {
		added := newServer(told)
		added.turnCold(e.now)
		e.servers[told.ID] = added
		in := e.group(told.Service)
		in.servers = append(in.servers, added)
		e.emit(Noted{Server: told, Belief: "server_known"})
		return
	}
	told.Leaving = told.Leaving || known.Leaving
	if told.Leaving != known.Leaving || told.Missing != known.Missing || told.Replaced != known.Replaced {
		e.emit(Noted{Server: told, Belief: "server_changed", Detail: known.recentWork(e.now)})
	}
	known.missingTold = known.missingTold && told.Missing
	known.Server = told
	known.turnCold(e.now)
}

func (e *Engine) forgetServer(id string) {
	known, exists := e.servers[id]
	if !exists {
		return
	}
	known.Leaving = true
	delete(e.servers, id)
	in := e.group(known.Service)
	for index, member := range in.servers {
		if member == known {
			in.servers = append(in.servers[:index:index], in.servers[index+1:]...)
			break
		}
	}
	e.emit(Noted{Server: known.Server, Belief: "server_forgotten", Detail: known.recentWork(e.now)})
}

func (e *Engine) changeServices(services []routing.Service) {
	for _, service := range services {
		in := e.group(service.Name)
		in.connections, in.coldRate = service.MaxConnections, service.ColdRate
	}
}

func (e *Engine) countGatherers(counted map[string]Gatherers) {
	for service, known := range e.groups {
		known.gatherers = counted[service]
	}
	for service, gatherers := range counted {
		e.group(service).gatherers = gatherers
	}
}

// share is the part of what a service allows all routers together that this one
// may use.
func (e *Engine) share(of *group) float64 { return of.gatherers.share(e.routers) }

// histogram returns the histogram of a route's attempts.
func (e *Engine) histogram(route *routing.Route) *latency.Histogram {
	existing, ok := e.routes[route.Name]
	if !ok {
		existing = latency.NewHistogram(latency.DefaultHalfLife)
		e.routes[route.Name] = existing
	}
	return existing
}

// refusalPause is when a request that has not run may come back.
const refusalPause = 150 * time.Millisecond

// failureReason names a failure towards the log.
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
