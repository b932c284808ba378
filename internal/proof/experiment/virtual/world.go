package virtual

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/experiment/schedule"
	"github.com/martenstage/martenstage/internal/proof/load"
	"github.com/martenstage/martenstage/internal/proof/virtualtime"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/records"
)

// World is one run.
type World struct {
	config    Config
	clock     virtualtime.Queue
	recorder  schedule.Recorder
	newEngine NewEngine
	servers   map[netip.AddrPort]*server
	order     []*server
	routers   []*router
	claims    claimTable
	revision  uint64
	current   *plan.Plan
	turn      int
	probes    int
	// underWay counts, per request, what may still happen to it.
	underWay map[string]int
}

// New returns a world in which nothing has happened yet.
func New(config Config, newEngine NewEngine, recorder schedule.Recorder) *World {
	w := &World{
		config: config, recorder: recorder, newEngine: newEngine,
		servers: map[netip.AddrPort]*server{}, claims: claimTable{}, underWay: map[string]int{},
	}
	for _, step := range config.Plans {
		w.addServers(step.Plan)
	}
	for index := range config.Script {
		fault := config.Script[index]
		w.schedule(&fault, index)
	}
	for index, zone := range config.Zones {
		w.addRouter(index, zone).boot()
	}
	for _, step := range config.Plans {
		w.clock.At(step.At, func() { w.install(step.Plan) })
	}
	for _, stop := range config.Stops {
		w.clock.At(stop.At, func() { w.stop(stop) })
	}
	w.clock.After(leaseRenewal, w.renewLeases)
	return w
}

// Run plays the arrivals, which next returns in order of time until it returns
// false, and returns when nothing is under way.
func (w *World) Run(next func() (load.Arrival, bool)) {
	w.arrive(next)
	for w.clock.Now() <= w.config.Horizon || len(w.underWay) > 0 {
		if !w.clock.Step() {
			return
		}
	}
}

func (w *World) arrive(next func() (load.Arrival, bool)) {
	arrival, ok := next()
	if !ok {
		return
	}
	w.clock.At(arrival.At, func() {
		w.open(arrival.ID)
		(&callerRequest{world: w, arrival: arrival}).submit()
		w.arrive(next)
	})
}

func (w *World) addServers(installed *plan.Plan) {
	for serviceIndex := range installed.Services {
		service := &installed.Services[serviceIndex]
		for generationIndex := range service.Generations {
			generation := &service.Generations[generationIndex]
			for shardIndex := range generation.Shards {
				shard := &generation.Shards[shardIndex]
				for _, replica := range shard.Replicas {
					w.addServer(service, shard, replica).hold(generation, shard.ID)
				}
			}
		}
	}
}

func (w *World) install(installed *plan.Plan) {
	w.revision++
	w.current = installed
	for _, router := range w.routers {
		router.install(w.revision, installed)
	}
}

func (w *World) plan() *plan.Plan { return w.current }

// renewLeases renews the configuration leases of all routers.
func (w *World) renewLeases() {
	for _, router := range w.routers {
		router.step(query.LeaseRenewed{Until: w.wall().Add(leaseTerm)})
	}
	w.clock.After(leaseRenewal, w.renewLeases)
}

// stop stops a router as planned and starts it again later.
func (w *World) stop(stop schedule.RouterStop) {
	stopped := w.routers[stop.Router]
	began := w.wall()
	stopped.stopped = func() {
		stopped.away = true
		w.recorder.Stop(records.PlannedStop{Router: stopped.name(), Began: began, Exited: w.wall()})
		w.clock.After(stop.Away, stopped.boot)
	}
	stopped.step(query.StopRequested{})
}

func (r *router) name() string { return fmt.Sprint("router-", r.index) }

func (w *World) wall() time.Time { return w.clock.Wall() }

// open and close count what is under way for a request, so that its records
// can be judged and forgotten as soon as nothing more will come.
func (w *World) open(request string) { w.underWay[request]++ }

func (w *World) close(request string) {
	w.underWay[request]--
	if w.underWay[request] == 0 {
		delete(w.underWay, request)
		w.recorder.Closed(request)
	}
}

// record ends a query on a server.
func (w *World) record(run *execution) {
	run.record.Finished = w.wall()
	w.recorder.Execution(run.record)
	w.close(run.record.Request)
}

// Now returns the time since the beginning.
func (w *World) Now() time.Duration { return w.clock.Now() }
