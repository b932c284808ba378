package admission

import (
	"math"

	"github.com/martenstage/martenstage/internal/loadview"
)

// model is the demand and the capacity of all services that routes call, in slots.
type model struct {
	routes []RouteInput
	// index is the place of each service in demand and capacity.
	index    map[string]int
	services []string
	demand   []float64
	capacity []float64
	// exempt routes are always admitted.
	exempt map[string]bool
}

// limit is what there is room for on a route. Rates are per second.
type limit struct {
	// share of the requests of tenants within their share, and the service that limits it, if any.
	share      float64
	bottleneck string
	// offered is the rate of these requests; held and refused are the rates of requests of
	// tenants above their level that are admitted and refused.
	offered, held, refused float64
}

func newModel(in Inputs) *model {
	m := &model{routes: in.Routes, index: map[string]int{}, exempt: map[string]bool{}}
	for _, route := range in.Routes {
		work := in.Totals.Routes[route.Name]
		for _, part := range route.parts() {
			m.demand[m.place(part.service, in)] += work.Offered * work.Work.Seconds() * part.share
		}
	}
	shared := sharedByPriorities(in.Routes)
	for _, route := range in.Routes {
		m.exempt[route.Name] = route.Target <= 0 || in.Tenants == nil && !shared[route.Name]
	}
	return m
}

// place returns the index of a service, which is new if it was not called before.
func (m *model) place(service string, in Inputs) int {
	index, known := m.index[service]
	if known {
		return index
	}
	index = len(m.services)
	m.index[service] = index
	m.services = append(m.services, service)
	m.demand = append(m.demand, 0)
	capacity := math.Inf(1)
	if slots := in.Slots(service); len(slots) > 0 {
		capacity = loadview.Capacity(slots, in.Totals.Services[service].Servers)
	}
	m.capacity = append(m.capacity, capacity)
	return index
}

// sharedByPriorities returns the routes that call a service which a route of another priority
// calls too.
func sharedByPriorities(routes []RouteInput) map[string]bool {
	priority := map[string]int{}
	several := map[string]bool{}
	for _, route := range routes {
		for _, part := range route.parts() {
			if other, known := priority[part.service]; known && other != route.Priority {
				several[part.service] = true
			}
			priority[part.service] = route.Priority
		}
	}
	shared := map[string]bool{}
	for _, route := range routes {
		for _, part := range route.parts() {
			if several[part.service] {
				shared[route.Name] = true
			}
		}
	}
	return shared
}

// fill shares the capacity out between the routes. What tenants above their level are held to is
// taken off first, and the rest of their demand does not count.
func (m *model) fill(totals map[string]loadview.RouteDemand, held *heldTenants) map[string]limit {
	capacity := append([]float64(nil), m.capacity...)
	demands := make([]*demand, len(m.routes))
	places := make([]int, len(m.routes))
	for index, route := range m.routes {
		places[index] = index
		demands[index] = m.demandOf(route, totals[route.Name])
		if held != nil && !m.exempt[route.Name] {
			held.reduce(demands[index], capacity)
		}
	}
	groups := inClasses(places, func(place int) urgency {
		if route := m.routes[place]; !m.exempt[route.Name] {
			return urgency(route.Priority)
		}
		// Routes that are always admitted take their room before all classes.
		return -1
	})
	classes := make([][]*demand, len(groups))
	for index, group := range groups {
		for _, place := range group {
			classes[index] = append(classes[index], demands[place])
		}
	}
	fillClasses(capacity, classes)
	limits := make(map[string]limit, len(demands))
	for index, route := range m.routes {
		limited := limit{share: demands[index].share, offered: totals[route.Name].Offered}
		if held != nil && !m.exempt[route.Name] {
			limited = held.split(limited)
		}
		if limiting := demands[index].bottleneck; limiting >= 0 {
			limited.bottleneck = m.services[limiting]
		}
		limits[route.Name] = limited
	}
	return limits
}

func (m *model) demandOf(route RouteInput, total loadview.RouteDemand) *demand {
	result := &demand{omittable: route.omittable(), bottleneck: -1}
	for _, part := range route.parts() {
		slots := total.Offered * total.Work.Seconds() * part.share
		if slots <= 0 {
			continue // Without demand, a full service limits nothing.
		}
		result.calls = append(result.calls, call{service: m.index[part.service], slots: slots})
	}
	return result
}
