package directory

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/admission"
	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/routing"
)

// AdmissionPlanner computes, at the leader, the share of each route's requests that routers
// admit. A planner serves one term and is called by one goroutine at a time.
type AdmissionPlanner interface {
	// Resume continues from the last view of the leader before, ahead of the first plan.
	Resume(view loadview.View)
	// Plan returns the shares. It is called every 100 ms and decides itself how often they
	// change.
	Plan(now time.Time, inputs PlanInputs) admission.Outcome
}

// PlanInputs are the figures from which a plan is computed.
type PlanInputs struct {
	Totals loadview.Totals
	// Version is that of the routing document, Routes and Tenants are its routes and tenants.
	Version uint64
	Routes  []routing.Route
	Tenants []routing.Tenant
	// Slots returns the usable servers of a service; none if the service is unknown.
	Slots func(service string) []loadview.ServerSlots
}

// loadDocument holds the routes and tenants of the document in effect, at the leader.
type loadDocument struct {
	version uint64
	routes  []routing.Route
	tenants []routing.Tenant
}

// update reads the document if its version differs. A document that can't be read leaves no
// routes, so that every request is admitted; the error is returned once for each version.
func (d *loadDocument) update(state *stateMachine, read func([]byte) (*routing.Document, error)) error {
	version, text, _ := state.document()
	if version == d.version || read == nil {
		return nil
	}
	*d = loadDocument{version: version}
	parsed, err := read(text)
	if err != nil {
		return err
	}
	d.routes, d.tenants = parsed.Routes, parsed.Tenants
	return nil
}

// serverSlots holds the usable servers by service, as of a revision of the table and of the
// evacuations.
type serverSlots struct {
	services                        map[string][]loadview.ServerSlots
	tableRevision, evacuateRevision uint64
}

// of returns the usable servers of a service.
func (s *serverSlots) of(service string) []loadview.ServerSlots { return s.services[service] }

// updateSlots updates the usable servers if servers or evacuations changed: those that are ready
// and not in an evacuated zone. It reports whether the table of servers is settled.
func (n *Node) updateSlots(slots *serverSlots, now time.Time) (settled bool) {
	zones, evacuateRevision := n.member.state().evacuations()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if slots.services != nil && slots.tableRevision == n.registry.Revision() && slots.evacuateRevision == evacuateRevision {
		return n.settled
	}
	evacuated := lo.SliceToMap(zones, func(e Evacuation) (string, bool) { return e.Zone, true })
	*slots = serverSlots{services: make(map[string][]loadview.ServerSlots), tableRevision: n.registry.Revision(), evacuateRevision: evacuateRevision}
	for _, instance := range n.registry.ChangedSince(now, 0) {
		if instance.State != registry.Ready || instance.Replaced || evacuated[instance.Zone] {
			continue
		}
		slots.services[instance.Service] = append(slots.services[instance.Service], loadview.ServerSlots{ID: instance.ID, Slots: instance.Slots})
	}
	return n.settled
}

// demandOf returns the demand at each service, in slots.
func demandOf(routes []routing.Route, totals loadview.Totals) map[string]float64 {
	demand := make(map[string]float64)
	for _, route := range routes {
		figures := totals.Routes[route.Name]
		slots := figures.Offered * figures.Work.Seconds()
		if slots == 0 {
			continue
		}
		for _, shard := range route.Shards {
			demand[shard] += slots
		}
		weights := lo.SumBy(route.Targets, func(t routing.Target) int { return t.Weight })
		for _, target := range route.Targets {
			share := 1.0
			if weights > 0 {
				share = float64(target.Weight) / float64(weights)
			}
			demand[target.Service] += slots * share
		}
	}
	return demand
}

// serviceStates returns the services that are short or have servers in trouble, and records in
// since for how long. A service without usable servers is not short: its capacity is unknown.
func serviceStates(now time.Time, inputs PlanInputs, since map[string]time.Time) []loadview.ServiceState {
	demand := demandOf(inputs.Routes, inputs.Totals)
	var states []loadview.ServiceState
	for _, name := range lo.Union(lo.Keys(demand), lo.Keys(inputs.Totals.Services)) {
		observed, slots := inputs.Totals.Services[name], inputs.Slots(name)
		state := loadview.ServiceState{
			Service: name, Waiting: observed.Waiting, Servers: observed.Servers,
			Demand: inHundredths(demand[name]), Capacity: inHundredths(loadview.Capacity(slots, observed.Servers)),
		}
		short := len(slots) > 0 && state.Demand > state.Capacity
		if !short && len(state.Servers) == 0 {
			continue
		}
		if _, known := since[name]; !known {
			since[name] = now
		}
		state.Since = now.Sub(since[name])
		states = append(states, state)
	}
	listed := lo.SliceToMap(states, func(s loadview.ServiceState) (string, bool) { return s.Service, true })
	for name := range since {
		if !listed[name] {
			delete(since, name)
		}
	}
	slices.SortFunc(states, func(a, b loadview.ServiceState) int { return cmp.Compare(a.Service, b.Service) })
	return states
}

// inHundredths rounds a figure in slots, which keeps messages short.
func inHundredths(slots float64) float64 { return math.Round(slots*100) / 100 }
