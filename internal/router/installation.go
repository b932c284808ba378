package router

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/cell"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
)

// installation is the configuration in force with what the shell derives from
// it. It is replaced whole.
type installation struct {
	revision uint64
	plan     *plan.Plan
	// own is the part of the plan that this router serves itself, by the cells
	// of its services.
	own *plan.Plan
	// owners maps a route to the engine of its service.
	owners map[string]*engineLoop
	// remotes are the routes that other regions own, by name.
	remotes map[string]*plan.RemoteRoute
}

// InstallPlan implements ConfigSink.
func (r *Router) InstallPlan(revision uint64, installed *plan.Plan) {
	if current := r.installed.Load(); current != nil && revision <= current.revision {
		return
	}
	r.put(&installation{revision: revision, plan: installed, own: r.ownPart(installed)})
	r.logger.WithField("revision", revision).WithField("services", len(installed.Services)).
		WithField("routes", len(installed.Routes)).Info("configuration installed")
}

// ownPart returns the part of a plan that this router serves itself. Engines,
// shares and probes know no other back ends, so that what a router holds and
// does grows with its cells and not with the fleet. Before the first list of
// live routers there are no cells, and the router serves nothing itself: it
// would else connect to the whole fleet for a moment at every start.
func (r *Router) ownPart(whole *plan.Plan) *plan.Plan {
	switch {
	case r.config.Alone:
		return whole
	case r.peers.Load() == nil:
		return &plan.Plan{}
	default:
		return r.cells.Own(whole, r.config.Name)
	}
}

// cellsKnown reports whether the router knows which services it serves.
func (r *Router) cellsKnown() bool { return r.config.Alone || r.foreign.Load() != nil }

// put replaces what is installed. It is called from the configuration source's
// goroutine.
func (r *Router) put(next *installation) {
	next.owners = make(map[string]*engineLoop)
	for _, route := range next.plan.Routes {
		next.owners[route.Name] = r.ownerOf(route.Service)
	}
	next.remotes = make(map[string]*plan.RemoteRoute)
	for index := range next.plan.RemoteRoutes {
		next.remotes[next.plan.RemoteRoutes[index].Name] = &next.plan.RemoteRoutes[index]
	}
	r.regions.install(next.plan.Regions)
	r.shares.installPlan(next, r.cells)
	// The engines come first: a request that sees the new owners must find
	// them ready.
	told := r.tellEngines(func(loop *engineLoop) query.Event {
		return query.ConfigInstalled{Revision: next.revision, Plan: r.partOf(next.own, loop)}
	})
	if !told {
		return
	}
	// Before the cells and the routes are there, so that readiness waits for the
	// probes.
	r.prober.retarget(r.runContext, r.probeTargets(next.own))
	r.refreshCells(next.plan)
	r.installed.Store(next)
	r.metrics.revision.Set(float64(next.revision))
}

// moveCells takes in that the live routers changed under a plan.
func (r *Router) moveCells(current *installation) {
	own := r.ownPart(current.plan)
	if sameServices(own, current.own) {
		r.shares.installPlan(current, r.cells)
		r.refreshCells(current.plan)
		// The routers that share the back ends may be more or fewer now.
		r.prober.retarget(r.runContext, r.probeTargets(current.own))
		return
	}
	r.put(&installation{revision: current.revision, plan: current.plan, own: own})
	r.logger.WithField("services", len(own.Services)).Info("own cells changed")
}

// sameServices reports whether two parts of one plan have the same services.
func sameServices(left, right *plan.Plan) bool {
	return slices.EqualFunc(left.Services, right.Services, func(left, right plan.Service) bool {
		return left.Name == right.Name
	})
}

// ownerOf returns the engine that owns a service. It depends on the name
// alone, so a service never changes engines while requests are under way.
func (r *Router) ownerOf(service string) *engineLoop {
	return r.loops[xxhash.Sum64String(service)%uint64(len(r.loops))]
}

// partOf returns the services and routes of a plan that an engine owns.
func (r *Router) partOf(whole *plan.Plan, owner *engineLoop) *plan.Plan {
	return &plan.Plan{
		Services: lo.Filter(whole.Services, func(service plan.Service, _ int) bool {
			return r.ownerOf(service.Name) == owner
		}),
		Routes: lo.Filter(whole.Routes, func(route plan.Route, _ int) bool {
			return r.ownerOf(route.Service) == owner
		}),
	}
}

// probeTargets collects the back ends of a plan with the engines using them.
func (r *Router) probeTargets(installed *plan.Plan) map[netip.AddrPort]probeTarget {
	targets := make(map[netip.AddrPort]probeTarget)
	for _, service := range installed.Services {
		owner, routers := r.ownerOf(service.Name), r.cellSize(&service)
		for _, address := range addressesOf(service) {
			target := targets[address]
			target.address = address
			target.loops = lo.Uniq(append(target.loops, owner))
			target.routers = max(target.routers, routers)
			targets[address] = target
		}
	}
	return targets
}

// cellSize returns how many routers use the back ends of a service.
func (r *Router) cellSize(service *plan.Service) int {
	if r.config.Alone {
		return 1
	}
	return len(r.cells.Members(service.Name, service.CellRouters))
}

// addressesOf lists the back ends of a service, each once.
func addressesOf(service plan.Service) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, generation := range service.Generations {
		for _, shard := range generation.Shards {
			for _, replica := range shard.Replicas {
				addresses = append(addresses, replica.Address)
			}
		}
	}
	return lo.Uniq(addresses)
}

// ExtendLease implements ConfigSink.
func (r *Router) ExtendLease(until time.Time) {
	current := r.leaseUntil.Load()
	if !until.IsZero() && current != nil && !until.After(*current) {
		return
	}
	r.leaseUntil.Store(&until)
	// Connections come before the requests that the lease admits.
	if r.leaseValid() {
		r.shares.setLease(true)
	}
	// Readiness waits for the engines: a router that said it was ready before would refuse its
	// first requests for want of a lease.
	if r.tellEngines(func(*engineLoop) query.Event { return query.LeaseRenewed{Until: until} }) {
		r.leaseTold.Store(&until)
	}
}

// tellEngines returns once every engine has taken its event in. It reports false if one ended.
func (r *Router) tellEngines(eventFor func(*engineLoop) query.Event) bool {
	taken := make([]chan struct{}, len(r.loops))
	for index, loop := range r.loops {
		taken[index] = make(chan struct{})
		loop.pushNotice(eventFor(loop), taken[index])
	}
	for index, loop := range r.loops {
		select {
		case <-taken[index]:
		case <-loop.ended:
			return false
		}
	}
	return true
}

// ObserveMachines implements ConfigSink.
func (r *Router) ObserveMachines(observed []query.MachineObserved) {
	for _, machine := range observed {
		r.prober.watch(machine.Address)
		for _, loop := range r.loops {
			loop.pushNotice(machine, nil)
		}
	}
}

// InstallRouters implements ConfigSink.
func (r *Router) InstallRouters(routers []Peer) {
	r.peers.Store(&routers)
	names := lo.Map(routers, func(peer Peer, _ int) string { return peer.Name })
	r.cells = cell.NewCells(lo.Uniq(append(names, r.config.Name)))
	if current := r.installed.Load(); current != nil {
		r.moveCells(current)
	}
	r.logger.WithField("routers", len(routers)).Info("live routers changed")
}
