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

// installation is the active configuration with the state that the router derives
// from it. It is always replaced as a whole.
type installation struct {
	revision uint64
	plan     *plan.Plan
	// own is the part of the plan that this router serves itself, according to the
	// cells of its services.
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
	r.replaceInstallation(&installation{revision: revision, plan: installed, own: r.ownedPlan(installed)})
	r.logger.WithField("revision", revision).WithField("services", len(installed.Services)).
		WithField("routes", len(installed.Routes)).Info("configuration installed")
}

// ownedPlan returns the part of a plan that this router serves itself. Engines,
// shares and probes get no other back ends, so that a router's cost grows with its
// cells and not with the fleet. Before the first list of live routers there are no
// cells, and the router serves nothing itself: otherwise it would briefly connect to
// the complete fleet at every start.
func (r *Router) ownedPlan(full *plan.Plan) *plan.Plan {
	switch {
	case r.config.Standalone:
		return full
	case r.peers.Load() == nil:
		return &plan.Plan{}
	default:
		return r.cells.LocalPlan(full, r.config.Name)
	}
}

// cellsKnown reports whether the router knows which services it serves.
func (r *Router) cellsKnown() bool { return r.config.Standalone || r.peerCells.Load() != nil }

// replaceInstallation replaces the installed configuration. It is called from the
// configuration source's goroutine.
func (r *Router) replaceInstallation(next *installation) {
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
	// The engines come first: a request that sees the new owners must find them ready.
	notified := r.notifyEngines(func(loop *engineLoop) query.Event {
		return query.ConfigInstalled{Revision: next.revision, Plan: r.planForEngine(next.own, loop)}
	})
	if !notified {
		return
	}
	// The probe targets are set before the cells and the routes, so that readiness
	// waits for the probes.
	r.prober.setTargets(r.runContext, r.probeTargets(next.own))
	r.updatePeerCells(next.plan)
	r.installed.Store(next)
	r.metrics.revision.Set(float64(next.revision))
}

// updateOwnCells applies a change of the live routers to the installed plan.
func (r *Router) updateOwnCells(current *installation) {
	own := r.ownedPlan(current.plan)
	if sameServices(own, current.own) {
		r.shares.installPlan(current, r.cells)
		r.updatePeerCells(current.plan)
		// The number of routers that share the back ends may have changed.
		r.prober.setTargets(r.runContext, r.probeTargets(current.own))
		return
	}
	r.replaceInstallation(&installation{revision: current.revision, plan: current.plan, own: own})
	r.logger.WithField("services", len(own.Services)).Info("own cells changed")
}

// sameServices reports whether two parts of one plan have the same services.
func sameServices(left, right *plan.Plan) bool {
	return slices.EqualFunc(left.Services, right.Services, func(left, right plan.Service) bool {
		return left.Name == right.Name
	})
}

// ownerOf returns the engine that owns a service. It depends on the name alone, so a
// service never changes engines while requests are in flight.
func (r *Router) ownerOf(service string) *engineLoop {
	return r.loops[xxhash.Sum64String(service)%uint64(len(r.loops))]
}

// planForEngine returns the services and routes of a plan that an engine owns.
func (r *Router) planForEngine(full *plan.Plan, owner *engineLoop) *plan.Plan {
	return &plan.Plan{
		Services: lo.Filter(full.Services, func(service plan.Service, _ int) bool {
			return r.ownerOf(service.Name) == owner
		}),
		Routes: lo.Filter(full.Routes, func(route plan.Route, _ int) bool {
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
	if r.config.Standalone {
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
	// Connections must be available before the lease admits requests.
	if r.leaseValid() {
		r.shares.setLease(true)
	}
	// Readiness waits for the engines: a router that reported ready earlier would
	// refuse its first requests for lack of a lease.
	if r.notifyEngines(func(*engineLoop) query.Event { return query.LeaseRenewed{Until: until} }) {
		r.engineLeaseUntil.Store(&until)
	}
}

// notifyEngines returns once every engine has processed its event. It reports false
// if one exited.
func (r *Router) notifyEngines(eventFor func(*engineLoop) query.Event) bool {
	processed := make([]chan struct{}, len(r.loops))
	for index, loop := range r.loops {
		processed[index] = make(chan struct{})
		loop.pushNotice(eventFor(loop), processed[index])
	}
	for index, loop := range r.loops {
		select {
		case <-processed[index]:
		case <-loop.exited:
			return false
		}
	}
	return true
}

// ObserveMachines implements ConfigSink.
func (r *Router) ObserveMachines(observed []query.MachineObserved) {
	for _, machine := range observed {
		r.prober.machineReported(machine.Address)
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
		r.updateOwnCells(current)
	}
	r.logger.WithField("routers", len(routers)).Info("live routers changed")
}
