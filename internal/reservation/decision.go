package reservation

import (
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/quarantine"
)

// Rules are the parts of admission that are enabled.
type Rules struct {
	// Tenants applies View.Tenants, and Reservations gives and keeps reservations.
	Tenants, Reservations bool
}

// Request is a request that is to be admitted.
type Request struct {
	Route string
	// Tenant is empty for a request without one.
	Tenant string
	// Fingerprint is called only if the decision needs it.
	Fingerprint func() quarantine.Fingerprint
}

// Decision is whether a request is admitted, and by which figures.
type Decision struct {
	Admitted bool
	// Kept reports that the request is admitted by its reservation alone.
	Kept bool
	// State holds the figures of the view for the request, without their weight, and Share is the
	// share that is admitted by Fraction with the weight applied; 1 for a request without an entry.
	State loadview.RouteState
	Share float64
	// ByTenant reports that State holds the share of the tenant.
	ByTenant bool
}

// Decide decides on a request by the view that a router holds. A request is admitted if the view
// has no entry for its route or the figures have no weight.
func Decide(held loadview.Held, now time.Time, request Request, rules Rules) Decision {
	open := Decision{Admitted: true, Share: 1}
	weight := held.Weight(now)
	if weight == 0 {
		return open
	}
	state, found := lo.Find(held.View.Routes, func(s loadview.RouteState) bool { return s.Route == request.Route })
	if !found {
		return open
	}
	decision := Decision{State: state}
	if tenant, exceeds := tenantState(held.View, request.Tenant); exceeds && rules.Tenants {
		decision.State.Fraction, decision.State.Promised, decision.ByTenant = tenant.Share, tenant.Share, true
	}
	if !rules.Reservations {
		decision.State.Reservable = 0
	}
	weighted := decision.State
	weighted.Fraction = towardsOne(weighted.Fraction, weight)
	weighted.Promised = towardsOne(weighted.Promised, weight)
	decision.Share = weighted.Fraction
	if weighted.Fraction >= 1 {
		decision.Admitted = true
		return decision
	}
	at, fingerprint := ClockAt(held, now), request.Fingerprint()
	decision.Admitted = Admits(at, fingerprint, weighted)
	decision.Kept = decision.Admitted && Rank(fingerprint, at.Epoch) >= weighted.Fraction
	return decision
}

func tenantState(view loadview.View, tenant string) (loadview.TenantState, bool) {
	if tenant == "" {
		return loadview.TenantState{}, false
	}
	return lo.Find(view.Tenants, func(s loadview.TenantState) bool { return s.Tenant == tenant })
}

// towardsOne applies the weight of the figures to a share: without weight it is 1.
func towardsOne(share, weight float64) float64 { return 1 - (1-share)*weight }

// RetryWaitDivisor is the divisor of a client's remaining time that it waits at most before it
// sends a refused request again.
const RetryWaitDivisor = 3

// RetryIn returns after how long the client of a refused request may retry it, and whether a
// reservation was given: Find within the lesser of a third of the client's remaining time and the
// remaining time less the target, so that the retry can still be answered in time.
//
// The figures are used without their weight: until the retry, the leader may have published
// newer ones, by which a share raised for age is not admitted.
func (d Decision) RetryIn(held loadview.Held, now time.Time, fingerprint quarantine.Fingerprint, remaining, target time.Duration) (delay time.Duration, reserved bool) {
	return Find(ClockAt(held, now), fingerprint, d.State, min(remaining/RetryWaitDivisor, remaining-target))
}
