package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/loadview"
)

// countFor counts the requests of one route and tenant at a constant rate, each kind of them after
// the other, and returns the time afterwards.
func countFor(m *demandMeter, now time.Time, length time.Duration, perSecond int, route, tenant string, kinds ...demandKind) time.Time {
	step := time.Second / time.Duration(perSecond)
	for number := range int(length / step) {
		m.count(now, route, tenant, kinds[number%len(kinds)])
		now = now.Add(step)
	}
	return now
}

// TestDemandRatesFollowTheCounts guards against rates that are wrong soon after the start, and
// against routes without traffic that stay in the report.
func TestDemandRatesFollowTheCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newDemandMeter(now)
	for range 10 {
		now = countFor(m, now, 500*time.Millisecond, 400, "r", "", demandAdmitted, demandRefused)
		routes, tenants := m.report(now, map[string]time.Duration{"r": time.Millisecond})
		require.Empty(t, tenants)
		require.Len(t, routes, 1)
		require.InEpsilon(t, 400, routes[0].Offered, 0.02)
		require.InEpsilon(t, 200, routes[0].Admitted, 0.02)
		require.Equal(t, time.Millisecond, routes[0].Work)
	}
	routes, _ := m.report(now.Add(time.Minute), nil)
	require.Empty(t, routes)
	require.Empty(t, m.routes)
}

// TestDemandBeyondTheQuotaIsNotOffered guards against a tenant far beyond its quota that makes
// the route look short: what the quota refuses needs no capacity.
func TestDemandBeyondTheQuotaIsNotOffered(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newDemandMeter(now)
	now = countFor(m, now, 5*time.Second, 400, "r", "", demandAdmitted, demandOverQuota, demandOverQuota, demandOverQuota)
	routes, _ := m.report(now, nil)
	require.InEpsilon(t, 100, routes[0].Offered, 0.03)
	now = countFor(m, now, 5*time.Second, 400, "r", "", demandAdmitted, demandOverQuota, demandRefused, demandRefused)
	routes, _ = m.report(now, nil)
	require.InEpsilon(t, 200, routes[0].Offered, 0.03, "half of the refused requests were within the quota")
}

// TestTenantsAreReportedWhileShort guards against reports that grow with tenants under normal
// load: tenants are counted on the routes of the view only, at most MaxTenants are reported, and
// nothing is kept once the shortage ends.
func TestTenantsAreReportedWhileShort(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newDemandMeter(now)
	now = countFor(m, now, time.Second, 100, "r", "early", demandAdmitted)
	require.Empty(t, m.tenants)
	m.setShort(now, []loadview.RouteState{{Route: "r"}})
	countFor(m, now, time.Second, 100, "other", "elsewhere", demandAdmitted)
	for number := range loadview.MaxTenants + 3 {
		countFor(m, now, time.Second, 20+10*number, "r", fmt.Sprint("t", number), demandAdmitted)
	}
	now = now.Add(time.Second)
	_, tenants := m.report(now, nil)
	require.Len(t, tenants, loadview.MaxTenants)
	require.Equal(t, fmt.Sprint("t", loadview.MaxTenants+2), tenants[0].Tenant)
	require.InEpsilon(t, 20+10*(loadview.MaxTenants+2), tenants[0].Offered, 0.05)
	m.setShort(now, nil)
	_, tenants = m.report(now, nil)
	require.Empty(t, tenants)
	require.Empty(t, m.tenants)
}

// TestReportOfRoutesIsBounded guards against reports that grow with the document.
func TestReportOfRoutesIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newDemandMeter(now)
	work := make(map[string]time.Duration)
	for number := range 2 * loadview.MaxRoutes {
		name := fmt.Sprint("r", number)
		countFor(m, now, time.Second, 10+number, name, "", demandAdmitted)
		work["gathered-"+name] = time.Millisecond
	}
	routes, _ := m.report(now.Add(time.Second), work)
	require.Len(t, routes, loadview.MaxRoutes)
	require.Equal(t, fmt.Sprint("r", 2*loadview.MaxRoutes-1), routes[0].Route)
}

// TestReservedRetriesAreThoseOfTheNextSecond guards against room kept for retries that come later
// or have come.
func TestReservedRetriesAreThoseOfTheNextSecond(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newDemandMeter(now)
	reserved := func() float64 {
		routes, _ := m.report(now, nil)
		if len(routes) == 0 {
			return 0
		}
		return routes[0].Reserved
	}
	for range 5 {
		m.reserve(now, "r", now.Add(600*time.Millisecond))
	}
	m.reserve(now, "r", now.Add(2500*time.Millisecond))
	require.InDelta(t, 5, reserved(), 0)
	now = now.Add(time.Second)
	require.Zero(t, reserved())
	now = now.Add(time.Second)
	require.InDelta(t, 1, reserved(), 0)
	now = now.Add(time.Minute)
	require.Zero(t, reserved())
	require.Empty(t, m.routes)
}
