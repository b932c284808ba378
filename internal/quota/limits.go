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

// Thresholds to start metering.
const (
	// meterLeadTime is how long before its bucket would be empty, at the limit's rate, a
	// tenant is metered; minMeterTokens is added to the tokens of that time.
	meterLeadTime  = 250 * time.Millisecond
	minMeterTokens = 2.0
)

// meterThreshold returns the level below which a tenant is metered, for a bucket of a capacity
// and a rate.
func meterThreshold(capacity, rate float64) float64 {
	return min(capacity/2, minMeterTokens+meterLeadTime.Seconds()*rate)
}

// unconfirmedLimit returns how many requests each router admits before the ledger has
// acknowledged them: all routers together the tokens left when metering starts, but at least
// one each.
func (l Limit) unconfirmedLimit(routers int) int {
	return max(1, int(meterThreshold(l.Burst, l.Rate))/routers)
}
