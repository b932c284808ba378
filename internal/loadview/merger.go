package loadview

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// minReporters is how many routers must report a server for all routers to treat it as in
// trouble, unless one of them is credible. A single reporter may itself be slow or cut off.
const minReporters = 2

// Merger holds the summaries of all nodes, at the leader. Its owner synchronizes access.
type Merger struct {
	summaries map[string]receivedSummary
}

// receivedSummary is a node's last summary.
type receivedSummary struct {
	summary Summary
	at      time.Time
}

// NewMerger returns an empty merger.
func NewMerger() *Merger { return &Merger{summaries: make(map[string]receivedSummary)} }

// Record stores the summary of a node in place of its last one.
func (m *Merger) Record(now time.Time, node string, summary Summary) {
	m.summaries[node] = receivedSummary{summary: summary, at: now}
}

// Nodes returns the nodes whose summaries are valid, in order, with the age of each and how many
// routers it adds up.
func (m *Merger) Nodes(now time.Time) []NodeSummary {
	m.expire(now)
	var nodes []NodeSummary
	for _, node := range slices.Sorted(maps.Keys(m.summaries)) {
		held := m.summaries[node]
		nodes = append(nodes, NodeSummary{Node: node, Age: now.Sub(held.at), Routers: held.summary.Routers})
	}
	return nodes
}

// NodeSummary says which summary of a node is held.
type NodeSummary struct {
	Node string `json:"node"`
	// Age is how long ago the summary was received.
	Age     time.Duration `json:"age"`
	Routers int           `json:"routers"`
}

// Arrivals returns the routers that recently arrived at other nodes than the given one.
func (m *Merger) Arrivals(now time.Time, except string) []Arrival {
	m.expire(now)
	var arrivals []Arrival
	for _, node := range slices.Sorted(maps.Keys(m.summaries)) {
		if node == except {
			continue
		}
		held := m.summaries[node]
		for _, arrival := range held.summary.Arrivals {
			arrivals = append(arrivals, Arrival{Router: arrival.Router, Age: arrival.Age + now.Sub(held.at)})
		}
	}
	return arrivals
}

// Totals adds up the valid summaries. Services are those with waiting calls or with servers that
// are in trouble for all routers.
func (m *Merger) Totals(now time.Time) Totals {
	m.expire(now)
	sum := newAdder()
	for _, node := range slices.Sorted(maps.Keys(m.summaries)) {
		held := m.summaries[node]
		sum.addSummary(held.summary, now.Sub(held.at))
	}
	totals := Totals{Routes: make(map[string]RouteDemand), Services: make(map[string]ServiceReport), Tenants: make(map[string]float64)}
	for _, route := range sum.routeTotals() {
		totals.Routes[route.Route] = route
	}
	for _, service := range sum.serviceTotals() {
		totals.Services[service.Service] = service
	}
	for _, tenant := range sum.tenantSummaries() {
		totals.Tenants[tenant.Tenant] = sum.tenants[tenant.Tenant]
	}
	return totals
}

func (m *Merger) expire(now time.Time) {
	maps.DeleteFunc(m.summaries, func(_ string, held receivedSummary) bool { return now.Sub(held.at) > SummaryLifetime })
}

// addSummary adds a node's summary that was received a time ago.
func (a *adder) addSummary(summary Summary, elapsed time.Duration) {
	for _, route := range summary.Routes {
		a.addRoute(route.RouteDemand, route.Known)
	}
	for _, tenant := range summary.Tenants {
		a.tenants[tenant.Tenant] += finite(tenant.Offered)
	}
	for _, service := range summary.Services {
		a.waiting[service.Service] += max(0, service.Waiting)
		for _, server := range service.Servers {
			server.Age += elapsed
			a.addServer(service.Service, server)
		}
	}
}

// routeTotals returns the sums over the nodes, which are in steps already.
func (a *adder) routeTotals() []RouteDemand {
	var totals []RouteDemand
	for _, sum := range a.routes {
		demand := sum.RouteDemand
		demand.Work = time.Duration(median(sum.works))
		totals = append(totals, demand)
	}
	return boundRoutes(totals, MaxRoutes, func(r RouteDemand) RouteDemand { return r })
}

// serviceTotals returns the services with waiting calls or servers in trouble for all routers.
func (a *adder) serviceTotals() []ServiceReport {
	services := make(map[string]*ServiceReport)
	service := func(name string) *ServiceReport {
		if services[name] == nil {
			services[name] = &ServiceReport{Service: name}
		}
		return services[name]
	}
	for name, waiting := range a.waiting {
		if waiting > 0 {
			service(name).Waiting = waiting
		}
	}
	for key, sum := range a.servers {
		if sum.reporters >= minReporters || sum.credible {
			found := service(key.service)
			found.Servers = append(found.Servers, sum.state(key.id))
		}
	}
	var totals []ServiceReport
	for _, found := range services {
		slices.SortFunc(found.Servers, func(x, y ServerState) int { return cmp.Compare(x.ID, y.ID) })
		found.Servers = found.Servers[:min(len(found.Servers), MaxServers)]
		totals = append(totals, *found)
	}
	slices.SortFunc(totals, func(x, y ServiceReport) int {
		return compareServices(len(x.Servers), x.Waiting, x.Service, len(y.Servers), y.Waiting, y.Service)
	})
	return totals[:min(len(totals), MaxViewServices)]
}
