package admission

import (
	"maps"
	"slices"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/loadview"
)

// heldTenants are the tenants above their level.
type heldTenants struct {
	shares map[string]float64
	// demand is the part of the demand on short routes that they send, and admitted the part
	// of that demand that they may send.
	demand, admitted float64
}

// reduce takes the room of the held tenants off the capacity and leaves the demand of the other
// tenants. The demand of each tenant is taken to be spread over the short routes like that
// of all.
func (h *heldTenants) reduce(route *demand, capacity []float64) {
	for index := range route.calls {
		needed := &route.calls[index]
		capacity[needed.service] -= needed.slots * h.admitted
		needed.slots *= 1 - h.demand
	}
}

// split takes the requests of held tenants out of what a route is offered.
func (h *heldTenants) split(limited limit) limit {
	limited.held = limited.offered * h.admitted
	limited.refused = limited.offered * (h.demand - h.admitted)
	limited.offered *= 1 - h.demand
	return limited
}

// affected returns the routes that call a service which is the bottleneck of a route. Tenants are
// held on all of them: if only short routes counted, what a tenant sends on a more urgent route
// would take the room of the other tenants on the short one.
func (m *model) affected(limits map[string]limit) map[string]bool {
	bottlenecks := map[string]bool{}
	for _, limited := range limits {
		if limited.bottleneck != "" {
			bottlenecks[limited.bottleneck] = true
		}
	}
	affected := map[string]bool{}
	for _, route := range m.routes {
		for _, part := range route.parts() {
			if bottlenecks[part.service] {
				affected[route.Name] = true
			}
		}
	}
	return affected
}

// tenantShares returns the tenants above their level on the routes that are affected by a shortage
// or still have an entry. The totals list only the tenants with the greatest demand; the others count
// together as one with the sum of their weights, so that they keep their demand unless it is
// more than all of them are owed. Reserved client retries are admitted whoever sends them, so
// their room is taken off first. Only tenants that were
// above their level in the last plan too are held, since the figures of one plan may count a report twice.
func (m *model) tenantShares(in Inputs, limits map[string]limit, affected map[string]bool, p *Planner) heldTenants {
	offered, room := 0.0, 0.0
	for _, route := range m.routes {
		limited := limits[route.Name]
		if m.exempt[route.Name] || !affected[route.Name] && p.entries[route.Name] == nil {
			continue
		}
		total := in.Totals.Routes[route.Name]
		offered += total.Offered
		room += limited.share*total.Offered - min(total.Reserved, ReturnShare*limited.share*total.Offered)
	}
	if len(affected) == 0 || len(in.Totals.Tenants) == 0 || in.Tenants == nil {
		p.above = nil
		return heldTenants{}
	}
	names := slices.Sorted(maps.Keys(in.Totals.Tenants))
	demands, weights := tenantDemands(names, in, offered)
	level := MaxMin(demands, weights, room)
	held, above := heldTenants{shares: map[string]float64{}}, map[string]bool{}
	for index, name := range names {
		share := level * weights[index] / demands[index]
		above[name] = share < 1
		if share < 1 && p.above[name] {
			held.shares[name] = max(leastFraction, share)
			held.demand += demands[index] / offered
			held.admitted += held.shares[name] * demands[index] / offered
		}
	}
	p.above = above
	return held
}

// roundingRest is the part of the demand below which the rest is an error of the sum.
const roundingRest = 1e-9

// tenantDemands returns the demands and weights of the named tenants, and of all others
// together as the last one.
func tenantDemands(names []string, in Inputs, offered float64) ([]float64, []float64) {
	usual := usualWeight(in.Tenants)
	weight := func(name string) float64 {
		if rate := in.Tenants[name]; rate > 0 {
			return rate
		}
		return usual
	}
	demands := make([]float64, 0, len(names)+1)
	weights := make([]float64, 0, len(names)+1)
	// Reports of the last second may be of other routes than the present ones.
	scale := 1.0
	if listed := lo.Sum(lo.Values(in.Totals.Tenants)); listed > offered {
		scale = offered / listed
	}
	rest := offered
	restWeight := 0.0
	for name := range in.Tenants {
		restWeight += weight(name)
	}
	for _, name := range names {
		demands = append(demands, scale*in.Totals.Tenants[name])
		weights = append(weights, weight(name))
		rest -= scale * in.Totals.Tenants[name]
		if _, known := in.Tenants[name]; known {
			restWeight -= weight(name)
		}
	}
	if rest > roundingRest*offered {
		// Requests of public routes belong to no tenant; they count as one more.
		demands, weights = append(demands, rest), append(weights, max(restWeight, usual))
	}
	return demands, weights
}

// usualWeight is the weight of a tenant without a rate: the mean rate of those with one, or 1.
func usualWeight(rates map[string]float64) float64 {
	given := lo.Filter(lo.Values(rates), func(rate float64, _ int) bool { return rate > 0 })
	if len(given) == 0 {
		return 1
	}
	return lo.Sum(given) / float64(len(given))
}

// raiseTenants moves the shares of the tenants: down at once, up by at most rise. A share of 1
// needs no entry, nor does a tenant without demand.
func (p *Planner) raiseTenants(targets map[string]float64, in Inputs, rise float64) {
	shares := map[string]float64{}
	for _, name := range lo.Union(lo.Keys(p.tenants), lo.Keys(targets)) {
		target, held := targets[name]
		if !held {
			target = 1
		}
		previous, known := p.tenants[name]
		if !known {
			previous = 1
		}
		share := min(target, previous+rise)
		if _, present := in.Tenants[name]; share < 1 && present {
			shares[name] = share
		}
	}
	p.tenants = shares
}

func (p *Planner) tenantStates() []loadview.TenantState {
	names := slices.Sorted(maps.Keys(p.tenants))
	return lo.Map(names, func(name string, _ int) loadview.TenantState {
		return loadview.TenantState{Tenant: name, Share: p.tenants[name]}
	})
}
