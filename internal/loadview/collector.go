package loadview

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Collector holds the reports of the routers of one directory node. Its owner synchronizes
// access.
type Collector struct {
	reports map[string]received
}

// received is a router's last report.
type received struct {
	report Report
	at     time.Time
	// arrived is when the router first reported to this node without a pause since.
	arrived time.Time
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{reports: make(map[string]received)} }

// Record stores the report of a router in place of its last one. Lists are truncated at their
// bounds.
func (c *Collector) Record(now time.Time, router string, report Report) {
	arrived := now
	if last, known := c.reports[router]; known && now.Sub(last.at) <= ReportLifetime {
		arrived = last.arrived
	}
	c.reports[router] = received{report: bounded(report), at: now, arrived: arrived}
}

// Forget drops the reports of routers that have since arrived at other nodes.
func (c *Collector) Forget(now time.Time, arrivals []Arrival) {
	for _, arrival := range arrivals {
		if held, known := c.reports[arrival.Router]; known && held.at.Before(now.Add(-arrival.Age)) {
			delete(c.reports, arrival.Router)
		}
	}
}

// Summary adds up the valid reports and drops those that have expired.
func (c *Collector) Summary(now time.Time) Summary {
	maps.DeleteFunc(c.reports, func(_ string, held received) bool { return now.Sub(held.at) > ReportLifetime })
	sum := newAdder()
	summary := Summary{Routers: len(c.reports)}
	for _, router := range slices.Sorted(maps.Keys(c.reports)) {
		held := c.reports[router]
		sum.add(router, held.report, now.Sub(held.at))
		if age := now.Sub(held.arrived); age <= ReportLifetime && len(summary.Arrivals) < maxArrivals {
			summary.Arrivals = append(summary.Arrivals, Arrival{Router: router, Age: age})
		}
	}
	summary.Routes, summary.Services, summary.Tenants = sum.routeSummaries(), sum.serviceSummaries(), sum.tenantSummaries()
	return summary
}

// bounded returns a report without entries beyond the bounds.
func bounded(report Report) Report {
	report.Routes = boundRoutes(slices.Clone(report.Routes), MaxRoutes, func(r RouteDemand) RouteDemand { return r })
	report.Tenants = boundTenants(slices.Clone(report.Tenants), MaxTenants)
	report.Services = slices.Clone(report.Services)
	slices.SortFunc(report.Services, func(a, b ServiceReport) int {
		return compareServices(len(a.Servers), a.Waiting, a.Service, len(b.Servers), b.Waiting, b.Service)
	})
	report.Services = report.Services[:min(len(report.Services), MaxServices)]
	for index := range report.Services {
		servers := report.Services[index].Servers
		report.Services[index].Servers = servers[:min(len(servers), MaxServers)]
	}
	return report
}

// credible reports whether a router finds at most a third of the servers in trouble. Servers that
// it reports without having heard from them, which are silent, count on both sides: a router
// that is cut from most servers hears from few.
func credible(report Report) bool {
	listed := 0
	for _, service := range report.Services {
		listed += len(service.Servers)
	}
	silent := max(0, listed-report.Troubled)
	return report.Heard > 0 && 3*(report.Troubled+silent) <= report.Heard+silent
}

// adder adds up reports.
type adder struct {
	routes  map[string]*routeSum
	waiting map[string]int
	servers map[serverKey]*serverSum
	tenants map[string]float64
}

// serverKey identifies a server in trouble.
type serverKey struct{ service, id string }

// routeSum adds up the demand on a route.
type routeSum struct {
	RouteDemand
	works []weighted
}

// serverSum adds up the reports of a server.
type serverSum struct {
	age             time.Duration
	paces, refusals []weighted
	conditions      [Silent + 1]int
	reporters       int
	reporter        string
	credible        bool
}

func newAdder() *adder {
	return &adder{routes: make(map[string]*routeSum), waiting: make(map[string]int), servers: make(map[serverKey]*serverSum), tenants: make(map[string]float64)}
}

// add adds the report of a router that was received a time ago.
func (a *adder) add(router string, report Report, elapsed time.Duration) {
	for _, route := range report.Routes {
		a.addRoute(route, 1)
	}
	for _, tenant := range report.Tenants {
		a.tenants[tenant.Tenant] += finite(tenant.Offered)
	}
	trusted := credible(report)
	for _, service := range report.Services {
		a.waiting[service.Service] += max(0, service.Waiting)
		for _, server := range service.Servers {
			server.Age += elapsed
			a.addServer(service.Service, ServerSummary{ServerState: server, Reporters: 1, Reporter: router, Credible: trusted})
		}
	}
}

// addRoute adds the demand on a route as observed by known routers.
func (a *adder) addRoute(route RouteDemand, known int) {
	sum := a.routes[route.Route]
	if sum == nil {
		sum = &routeSum{RouteDemand: RouteDemand{Route: route.Route}}
		a.routes[route.Route] = sum
	}
	sum.Offered += finite(route.Offered)
	sum.Admitted += finite(route.Admitted)
	sum.Reserved += finite(route.Reserved)
	if route.Work > 0 && known > 0 {
		sum.works = append(sum.works, weighted{value: float64(route.Work), count: known})
	}
}

// addServer adds the reports of a server. A second report by the same single router only
// contributes its age.
func (a *adder) addServer(service string, server ServerSummary) {
	if server.Condition == Sound || server.Condition > Silent || server.Reporters <= 0 {
		return
	}
	key := serverKey{service: service, id: server.ID}
	sum := a.servers[key]
	if sum == nil {
		sum = &serverSum{age: server.Age, reporter: server.Reporter}
		a.servers[key] = sum
	}
	sum.age = min(sum.age, server.Age)
	sum.credible = sum.credible || server.Credible
	if sum.reporters == 1 && server.Reporters == 1 && sum.reporter == server.Reporter {
		return
	}
	sum.reporters += server.Reporters
	sum.conditions[server.Condition] += server.Reporters
	sum.paces = append(sum.paces, weighted{value: finite(server.Pace), count: server.Reporters})
	sum.refusals = append(sum.refusals, weighted{value: finite(server.Refusals), count: server.Reporters})
}

// state returns the merged state of a server.
func (s *serverSum) state(id string) ServerState {
	condition := Slow
	for candidate := Slow; candidate <= Silent; candidate++ {
		if s.conditions[candidate] >= s.conditions[condition] { // The worse of two that are reported as often.
			condition = candidate
		}
	}
	return ServerState{ID: id, Condition: condition, Pace: Step(median(s.paces)), Refusals: stepRefusals(median(s.refusals)), Age: s.age}
}

func (a *adder) routeSummaries() []RouteSummary {
	var summaries []RouteSummary
	for _, sum := range a.routes {
		known := 0
		for _, work := range sum.works {
			known += work.count
		}
		demand := sum.RouteDemand
		demand.Offered, demand.Admitted, demand.Reserved = Step(demand.Offered), Step(demand.Admitted), Step(demand.Reserved)
		demand.Work = stepDuration(time.Duration(median(sum.works)))
		summaries = append(summaries, RouteSummary{RouteDemand: demand, Known: known})
	}
	return boundRoutes(summaries, MaxRoutes, func(s RouteSummary) RouteDemand { return s.RouteDemand })
}

func (a *adder) tenantSummaries() []TenantDemand {
	var summaries []TenantDemand
	for tenant, offered := range a.tenants {
		if stepped := Step(offered); stepped > 0 {
			summaries = append(summaries, TenantDemand{Tenant: tenant, Offered: stepped})
		}
	}
	return boundTenants(summaries, MaxSummaryTenants)
}

func (a *adder) serviceSummaries() []ServiceSummary {
	services := make(map[string]*ServiceSummary)
	service := func(name string) *ServiceSummary {
		if services[name] == nil {
			services[name] = &ServiceSummary{Service: name}
		}
		return services[name]
	}
	for name, waiting := range a.waiting {
		if waiting > 0 {
			service(name).Waiting = int(Step(float64(waiting)) + 0.5)
		}
	}
	for key, sum := range a.servers {
		summary := ServerSummary{ServerState: sum.state(key.id), Reporters: sum.reporters, Credible: sum.credible}
		if sum.reporters == 1 {
			summary.Reporter = sum.reporter
		}
		found := service(key.service)
		found.Servers = append(found.Servers, summary)
	}
	return boundServices(services)
}

// boundServices orders services and their servers and truncates both at their bounds.
func boundServices(services map[string]*ServiceSummary) []ServiceSummary {
	var bounded []ServiceSummary
	for _, service := range services {
		slices.SortFunc(service.Servers, func(a, b ServerSummary) int { return cmp.Compare(a.ID, b.ID) })
		service.Servers = service.Servers[:min(len(service.Servers), MaxServers)]
		bounded = append(bounded, *service)
	}
	slices.SortFunc(bounded, func(a, b ServiceSummary) int {
		return compareServices(len(a.Servers), a.Waiting, a.Service, len(b.Servers), b.Waiting, b.Service)
	})
	return bounded[:min(len(bounded), MaxViewServices)]
}
