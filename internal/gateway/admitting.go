package gateway

import (
	"net/http"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/reservation"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Values of the metrics of admission.
const (
	refusedByRoute   = "route"
	refusedByTenant  = "tenant"
	reservationGiven = "given"
	reservationNone  = "none"
	reservationKept  = "kept"
)

// admit decides whether a request is served, and refuses it otherwise.
//
// Admission comes before the quota: a request that is refused for lack of capacity would
// otherwise spend a token of its tenant, which then gets less than its quota, and wait for a token
// before it is refused. It comes after the key and after the check whether the request is
// quarantined, since a client must not be told to retry what will never be served.
func (s *exchangeState) admit(table *routing.Table, forwarded *fingerprinted) bool {
	if s.refuseIsolated() || !s.recheckKey(table) || s.refuseWithoutCapacity(forwarded) {
		return false
	}
	if s.refuseOverQuota(forwarded) {
		s.countDemand(demandOverQuota)
		return false
	}
	if !s.recheckKey(table) || !s.checkQuarantine(forwarded) {
		return false
	}
	s.countDemand(demandAdmitted)
	return true
}

// countDemand counts the request for the report of load.
func (s *exchangeState) countDemand(kind demandKind) {
	s.gateway.load.demand.count(steadyclock.Now(), s.route.Name, s.tenantName(), kind)
}

// refuseWithoutCapacity refuses a request that the view of load does not admit. It reports whether
// it did. Nothing has been sent for the request, and it has waited for nothing.
func (s *exchangeState) refuseWithoutCapacity(forwarded *fingerprinted) bool {
	gateway := s.gateway
	if !gateway.config.Parts.Admission {
		return false
	}
	held, now := gateway.load.heldView(), steadyclock.Now()
	decision := reservation.Decide(held, now, reservation.Request{
		Route: s.route.Name, Tenant: s.tenantName(), Fingerprint: forwarded.fingerprint,
	}, reservation.Rules{Tenants: gateway.config.Parts.TenantShares, Reservations: gateway.config.Parts.Reservations})
	if decision.Kept {
		gateway.metrics.reservations.WithLabelValues(reservationKept).Inc()
	}
	if decision.Admitted || gateway.quarantine.quarantined(forwarded) {
		return false
	}
	delay, reserved := decision.RetryIn(held, now, forwarded.fingerprint(), s.remainingOfClient(now), s.route.Target)
	s.refusal = &admissionRefusal{held: held, decision: decision, reserved: reserved, age: now.Sub(held.At)}
	s.countRefusal(decision, reserved)
	if reserved {
		gateway.load.demand.reserve(now, s.route.Name, now.Add(delay))
	}
	s.refuse(http.StatusServiceUnavailable, verdict.ReasonNoCapacity, delay)
	return true
}

// countRefusal counts a refused request and whether it got a reservation.
func (s *exchangeState) countRefusal(decision reservation.Decision, reserved bool) {
	s.countDemand(demandRefused)
	reason, outcome := refusedByRoute, reservationNone
	if decision.ByTenant {
		reason = refusedByTenant
	}
	if reserved {
		outcome = reservationGiven
	}
	s.gateway.metrics.admissionRefusals.WithLabelValues(reason).Inc()
	s.gateway.metrics.reservations.WithLabelValues(outcome).Inc()
}

// remainingOfClient returns how long the client still waits. A client that sends no deadline is
// taken to wait for the timeout of the route.
func (s *exchangeState) remainingOfClient(now time.Time) time.Duration {
	remaining := s.remaining()
	if _, given := s.gateway.config.Dialect.Remaining(s.request.Header); !given {
		remaining = min(remaining, s.route.Timeout)
	}
	return remaining - now.Sub(s.arrived)
}

// admissionRefusal describes a refused request in the log.
type admissionRefusal struct {
	held     loadview.Held
	decision reservation.Decision
	reserved bool
	// age is that of the figures.
	age time.Duration
}

// fields returns the fields of the request's log line that tell why it was refused.
func (r *admissionRefusal) fields() logrus.Fields {
	state := r.decision.State
	fields := logrus.Fields{
		"admitted_share": r.decision.Share, "bottleneck": state.Bottleneck, "load_age": r.age, "reserved": r.reserved,
		"short_for": state.Since + r.age, "load_revision": r.held.View.Revision,
	}
	service, found := lo.Find(r.held.View.Services, func(s loadview.ServiceState) bool { return s.Service == state.Bottleneck })
	if found {
		fields["demand"], fields["capacity"] = service.Demand, service.Capacity
	}
	if r.decision.ByTenant {
		fields["tenant_share"] = state.Fraction
	}
	return fields
}
