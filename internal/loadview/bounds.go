package loadview

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Bounds of summaries, totals and views.
const (
	// MaxViewServices bounds the services of a summary, of the totals and of a view.
	MaxViewServices = 256
	// MaxServers bounds the servers in trouble of one service.
	MaxServers = 64
	// MaxSummaryTenants bounds the tenants of a summary and of the totals. It exceeds MaxTenants
	// because the tenants with the greatest demand differ between routers.
	MaxSummaryTenants = 4 * MaxTenants
)

const (
	// stepsPerDoubling is the number of steps in which rates and paces double. Coarser steps
	// would move shares by more than their tolerance; finer ones would change the figures, and
	// thus publish a view, with the noise of the measurement.
	stepsPerDoubling = 4
	// refusalSteps is the number of steps between a refusal share of 0 and 1.
	refusalSteps = 16
)

// Step rounds a rate or a multiple to the nearest step of a factor of 2^(1/4), which it returns
// with four digits to keep messages short. Values that are not positive or not finite give 0.
func Step(value float64) float64 {
	if !(value > 0) || math.IsInf(value, 1) {
		return 0
	}
	step := math.Exp2(math.Round(math.Log2(value)*stepsPerDoubling) / stepsPerDoubling)
	scale := math.Pow10(3 - int(math.Floor(math.Log10(step))))
	if rounded := math.Round(step*scale) / scale; finite(rounded) > 0 {
		return rounded
	}
	return step
}

func stepDuration(value time.Duration) time.Duration { return time.Duration(Step(float64(value))) }

func stepRefusals(share float64) float64 {
	return math.Round(min(1, max(0, finite(share)))*refusalSteps) / refusalSteps
}

// finite returns a rate, or 0 if it is negative or not finite.
func finite(value float64) float64 {
	if !(value > 0) || math.IsInf(value, 1) {
		return 0
	}
	return value
}

// boundRoutes keeps the routes with the greatest rates.
func boundRoutes[R any](routes []R, limit int, demand func(R) RouteDemand) []R {
	slices.SortFunc(routes, func(a, b R) int {
		x, y := demand(a), demand(b)
		return cmp.Or(cmp.Compare(y.Offered, x.Offered), cmp.Compare(x.Route, y.Route))
	})
	return routes[:min(len(routes), limit)]
}

// boundTenants keeps the tenants with the greatest rates.
func boundTenants(tenants []TenantDemand, limit int) []TenantDemand {
	slices.SortFunc(tenants, func(a, b TenantDemand) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Tenant, b.Tenant))
	})
	return tenants[:min(len(tenants), limit)]
}

// compareServices orders services with the most servers in trouble first, then those with the
// most waiting calls.
func compareServices(aServers, aWaiting int, a string, bServers, bWaiting int, b string) int {
	return cmp.Or(cmp.Compare(bServers, aServers), cmp.Compare(bWaiting, aWaiting), cmp.Compare(a, b))
}

// Bound returns the view with its services truncated at MaxViewServices: those with the most
// servers in trouble, then the most waiting calls, are kept.
func (v View) Bound() View {
	v.Services = slices.Clone(v.Services)
	slices.SortFunc(v.Services, func(a, b ServiceState) int {
		return compareServices(len(a.Servers), a.Waiting, a.Service, len(b.Servers), b.Waiting, b.Service)
	})
	v.Services = v.Services[:min(len(v.Services), MaxViewServices)]
	return v
}

// SameAdmission reports whether two views have the same shares and the same services that are short,
// whatever their revisions, epochs and ages.
func (v View) SameAdmission(other View) bool {
	short := func(view View) []string {
		return lo.FilterMap(view.Services, func(s ServiceState, _ int) (string, bool) { return s.Service, s.Short() })
	}
	return slices.EqualFunc(v.Routes, other.Routes, func(a, b RouteState) bool {
		a.Since, b.Since = 0, 0
		return a == b
	}) && slices.Equal(v.Tenants, other.Tenants) && slices.Equal(short(v), short(other))
}

// NamesMore reports whether the view names a server in trouble, or another condition of one, that
// the other one does not.
func (v View) NamesMore(other View) bool { return namesMore(v.servers(), other.servers()) }

// NamesMore is View.NamesMore for reports.
func (r Report) NamesMore(other *Report) bool { return namesMore(r.servers(), other.servers()) }

func (v View) servers() [][]ServerState {
	return lo.Map(v.Services, func(s ServiceState, _ int) []ServerState { return s.Servers })
}

func (r Report) servers() [][]ServerState {
	return lo.Map(r.Services, func(s ServiceReport, _ int) []ServerState { return s.Servers })
}

func namesMore(servers, others [][]ServerState) bool {
	known := make(map[string]Condition)
	for _, server := range slices.Concat(others...) {
		known[server.ID] = server.Condition
	}
	return slices.ContainsFunc(slices.Concat(servers...), func(server ServerState) bool { return known[server.ID] != server.Condition })
}

// weighted is a figure with the number of routers that reported it.
type weighted struct {
	value float64
	count int
}

// median returns the lower weighted median of figures, 0 for none.
func median(figures []weighted) float64 {
	slices.SortFunc(figures, func(a, b weighted) int { return cmp.Compare(a.value, b.value) })
	total := 0
	for _, figure := range figures {
		total += figure.count
	}
	passed := 0
	for _, figure := range figures {
		if passed += figure.count; 2*passed >= total {
			return figure.value
		}
	}
	return 0
}
