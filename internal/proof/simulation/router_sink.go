package simulation

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
)

// routerSink takes what a router's follower learns, in the order of the shell:
// shares of new back ends before the plan that names them, the plan before the
// lease, connections before the requests that the lease admits.
type routerSink struct{ *router }

func (r routerSink) installPlan(revision uint64, installed *plan.Plan) {
	if revision <= r.revision {
		return
	}
	r.plan = installed
	r.refreshShares()
	r.step(query.ConfigInstalled{Revision: revision, Plan: installed})
	r.revision = revision
	r.world.trace.note(r.name(), "plan_installed", "revision", revision)
}

func (r routerSink) extendLease(_ uint64, until time.Time) {
	if until.After(r.now()) {
		r.setLapsed(false)
	}
	r.step(query.LeaseRenewed{Until: until})
}

func (r routerSink) mergeRouters(changes membership.Changes[membership.Node]) {
	if r.follow.routers.Merge(changes) {
		names := lo.Map(r.follow.routers.Values(), func(node membership.Node, _ int) string { return node.Name })
		r.members = lo.Uniq(append(names, r.name()))
		r.refreshShares()
	}
}

func (r routerSink) mergeMachines(changes membership.Changes[membership.Machine]) {
	if !r.follow.machines.Merge(changes) {
		return
	}
	listed := map[string]membership.State{}
	for _, machine := range r.follow.machines.Values() {
		listed[machine.Address] = machine.State
		if r.machines[machine.Address] != machine.State {
			r.observeMachine(machine.Address, machine.State)
		}
	}
	for _, server := range r.world.backends { // in a fixed order
		_, before := r.machines[server.name()]
		if _, still := listed[server.name()]; before && !still {
			r.observeMachine(server.name(), membership.Live)
		}
	}
	r.machines = listed
}

func (r routerSink) observeMachine(address string, state membership.State) {
	word := map[membership.State]query.MachineState{
		membership.Live: query.MachineLive, membership.Leaving: query.MachineDraining, membership.Gone: query.MachineRemoved,
	}[state]
	r.hear(query.MachineObserved{Address: netip.MustParseAddrPort(address), State: word})
}
