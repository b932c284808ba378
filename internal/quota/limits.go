package quota

import (
	"time"

	"github.com/martenstage/martenstage/internal/routing"
)

// LimitsOf returns the limits of the tenants that have one.
func LimitsOf(tenants []routing.Tenant) map[string]Limit {
	limits := make(map[string]Limit, len(tenants))
	for _, tenant := range tenants {
		if tenant.Rate > 0 {
			limits[tenant.Name] = Limit{Rate: tenant.Rate, Burst: tenant.Burst}
		}
	}
	return limits
}

// Thresholds of metering.
const (
	// meterAhead is how long before its bucket is empty, at the limit's rate, a tenant is
	// metered; meterLeast is the least number of tokens at which it is.
	meterAhead = 250 * time.Millisecond
	meterLeast = 2.0
)

// meteredBelow is the level of a bucket of a capacity and a rate below which its tenant is
// metered.
func meteredBelow(capacity, rate float64) float64 {
	return min(capacity/2, meterLeast+meterAhead.Seconds()*rate)
}

// credit is how many requests one of a number of routers lets pass before the ledger has
// confirmed that it knows of them: all routers together the tokens that are left when a tenant
// is metered, and each one at least.
func (l Limit) credit(routers int) int {
	return max(1, int(meteredBelow(l.Burst, l.Rate))/routers)
}
