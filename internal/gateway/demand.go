package gateway

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/loadview"
)

const (
	// demandHalfLife is the age at which the weight of past requests has halved. Bursts last 5 s,
	// and a shortage must show in two consecutive plans, 250 ms apart.
	demandHalfLife = 500 * time.Millisecond
	// minDemandAge is the least time over which rates are computed: a single request that arrives
	// within a few ms would otherwise count as hundreds per second.
	minDemandAge = 250 * time.Millisecond
	// minReportedRate is the rate, per second, below which a route or tenant is not reported and
	// its counts are discarded.
	minReportedRate = 0.01
	// returnInterval is the resolution at which reserved client retries are counted, and
	// reservedAhead how far ahead they are reported.
	returnInterval = 250 * time.Millisecond
	reservedAhead  = time.Second
)

// demandKind is how a client's request passed admission.
type demandKind uint8

const (
	// demandAdmitted requests were passed on, demandRefused ones refused for lack of capacity and
	// demandOverQuota ones refused by the quota of their tenant.
	demandAdmitted demandKind = iota
	demandRefused
	demandOverQuota
	demandKinds
)

// decayingCounts are counts of requests by kind that decay with demandHalfLife.
type decayingCounts struct {
	values  [demandKinds]float64
	updated time.Time
}

func (c *decayingCounts) decay(now time.Time) {
	if passed := now.Sub(c.updated); passed > 0 {
		factor := math.Exp2(-float64(passed) / float64(demandHalfLife))
		for kind := range c.values {
			c.values[kind] *= factor
		}
		c.updated = now
	}
}

// rates returns the rates per second of requests offered and admitted, where counting began at a
// time.
//
// Requests are refused for lack of capacity before their quota is checked. Of these, only the
// share that the quota would have admitted counts as offered, since the rest needs no capacity.
func (c *decayingCounts) rates(now, since time.Time) (offered, admitted float64) {
	c.decay(now)
	age := max(minDemandAge, now.Sub(since))
	perSecond := math.Ln2 / demandHalfLife.Seconds() / (1 - math.Exp2(-float64(age)/float64(demandHalfLife)))
	passed, overQuota := c.values[demandAdmitted], c.values[demandOverQuota]
	withinQuota := 1.0
	if overQuota > 0 {
		withinQuota = passed / (passed + overQuota)
	}
	return perSecond * (passed + withinQuota*c.values[demandRefused]), perSecond * passed
}

// routeDemand is the demand on one route.
type routeDemand struct {
	counts decayingCounts
	// reserved counts the reserved client retries by when they are due, in intervals of
	// returnInterval since demandMeter.started.
	reserved map[int64]int
}

// demandMeter counts clients' requests by route and, while the view is short, by tenant. It is
// safe for concurrent use.
type demandMeter struct {
	mutex   sync.Mutex
	started time.Time
	routes  map[string]*routeDemand
	// tenants count the requests on the routes in short. They are empty while short is, and count
	// since shortSince.
	tenants    map[string]*decayingCounts
	short      map[string]bool
	shortSince time.Time
}

func newDemandMeter(now time.Time) *demandMeter {
	return &demandMeter{started: now, routes: make(map[string]*routeDemand), tenants: make(map[string]*decayingCounts)}
}

// count counts a request of a client.
func (m *demandMeter) count(now time.Time, route, tenant string, kind demandKind) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	counts := &m.route(now, route).counts
	counts.decay(now)
	counts.values[kind]++
	if tenant == "" || !m.short[route] {
		return
	}
	ofTenant := m.tenants[tenant]
	if ofTenant == nil {
		ofTenant = &decayingCounts{updated: now}
		m.tenants[tenant] = ofTenant
	}
	ofTenant.decay(now)
	ofTenant.values[kind]++
}

// route returns the demand on a route. The caller holds the mutex.
func (m *demandMeter) route(now time.Time, name string) *routeDemand {
	demand := m.routes[name]
	if demand == nil {
		demand = &routeDemand{counts: decayingCounts{updated: now}, reserved: make(map[int64]int)}
		m.routes[name] = demand
	}
	return demand
}

// reserve counts a client retry that is promised for a time.
func (m *demandMeter) reserve(now time.Time, route string, due time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.route(now, route).reserved[m.interval(due)]++
}

func (m *demandMeter) interval(at time.Time) int64 { return int64(at.Sub(m.started) / returnInterval) }

// setShort sets the routes whose requests are counted by tenant: those in the view.
func (m *demandMeter) setShort(now time.Time, routes []loadview.RouteState) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(routes) == 0 {
		clear(m.tenants)
	}
	if len(m.short) == 0 {
		m.shortSince = now
	}
	m.short = lo.SliceToMap(routes, func(state loadview.RouteState) (string, bool) { return state.Route, true })
}

// report returns the demand on the routes with traffic and that of the tenants, the greatest
// first, and discards the counts of others. Work is how long a call of a route occupies a slot.
func (m *demandMeter) report(now time.Time, work map[string]time.Duration) ([]loadview.RouteDemand, []loadview.TenantDemand) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	routes := make([]loadview.RouteDemand, 0, len(m.routes))
	for name, demand := range m.routes {
		offered, admitted := demand.counts.rates(now, m.started)
		reserved := m.reservedSoon(now, demand)
		if offered < minReportedRate && len(demand.reserved) == 0 {
			delete(m.routes, name)
			continue
		}
		routes = append(routes, loadview.RouteDemand{Route: name, Offered: offered, Admitted: admitted, Reserved: reserved, Work: work[name]})
	}
	// Routes that this router gathers for others only.
	for name, duration := range work {
		if m.routes[name] == nil {
			routes = append(routes, loadview.RouteDemand{Route: name, Work: duration})
		}
	}
	slices.SortFunc(routes, func(a, b loadview.RouteDemand) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Route, b.Route))
	})
	return lo.Slice(routes, 0, loadview.MaxRoutes), m.reportTenants(now)
}

// reservedSoon returns the rate per second of the retries that are due within reservedAhead, and
// discards those whose time has passed. The caller holds the mutex.
func (m *demandMeter) reservedSoon(now time.Time, demand *routeDemand) float64 {
	count := 0
	for interval, retries := range demand.reserved {
		switch {
		case interval < m.interval(now):
			delete(demand.reserved, interval)
		case interval < m.interval(now.Add(reservedAhead)):
			count += retries
		}
	}
	return float64(count) / reservedAhead.Seconds()
}

// reportTenants returns the demand of the tenants, the greatest first. The caller holds the
// mutex.
func (m *demandMeter) reportTenants(now time.Time) []loadview.TenantDemand {
	tenants := make([]loadview.TenantDemand, 0, len(m.tenants))
	for name, counts := range m.tenants {
		offered, _ := counts.rates(now, m.shortSince)
		if offered < minReportedRate {
			delete(m.tenants, name)
			continue
		}
		tenants = append(tenants, loadview.TenantDemand{Tenant: name, Offered: offered})
	}
	slices.SortFunc(tenants, func(a, b loadview.TenantDemand) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Tenant, b.Tenant))
	})
	return lo.Slice(tenants, 0, loadview.MaxTenants)
}
