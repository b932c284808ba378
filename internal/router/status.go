package router

import (
	"context"
	"net/netip"
	"time"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/routestats"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
	"github.com/martenstage/martenstage/internal/wait"
)

// Status describes a router for its status page.
type Status struct {
	Name       string          `json:"name"`
	Zone       string          `json:"zone"`
	Boot       uint64          `json:"boot"`
	Revision   uint64          `json:"revision" doc:"Configuration in force; 0 before the first"`
	Source     string          `json:"source" doc:"Where configuration and lease come from"`
	LeaseUntil time.Time       `json:"lease_until" doc:"The router admits requests until then"`
	LeaseValid bool            `json:"lease_valid"`
	Stopping   bool            `json:"stopping"`
	Services   []ServiceStatus `json:"services" nullable:"false"`
	Regions    []RegionStatus  `json:"regions" nullable:"false" doc:"Other regions that routes lead to"`
}

// ServiceStatus describes one service as the router sees it.
type ServiceStatus struct {
	Name     string          `json:"name"`
	Backends []BackendStatus `json:"backends" nullable:"false"`
}

// BackendStatus describes the router's connections to one back end.
type BackendStatus struct {
	Address     string `json:"address"`
	Open        int    `json:"open_connections"`
	Idle        int    `json:"idle_connections"`
	Connections int    `json:"connection_share" doc:"Connections that this router may open"`
	Slots       int    `json:"slot_share" doc:"Slots that this router counts on"`
}

// Ready reports whether requests are admitted, and if not, why.
func (r *Router) Ready() (bool, verdict.Reason) {
	switch {
	case r.stopping.Load():
		return false, verdict.ReasonStopping
	case r.installed.Load() == nil, !r.leaseValid(), !validAt(r.engineLeaseUntil.Load(), steadyclock.Now()):
		return false, verdict.ReasonNoLease
	case !r.backendsKnown():
		return false, verdict.ReasonNoSnapshot
	default:
		return true, ""
	}
}

// backendsKnown reports whether every back end that this router connects to has been
// probed since the start. Before that, requests would be refused for lack of a
// snapshot.
func (r *Router) backendsKnown() bool {
	if r.backendsProbed.Load() {
		return true
	}
	known := r.cellsKnown() && r.shares.hasShares() && r.prober.allKnown(func(address netip.AddrPort) bool { return r.shares.shareOf(address).Connections > 0 })
	if known {
		r.backendsProbed.Store(true)
	}
	return known
}

func (r *Router) leaseValid() bool { return r.leaseValidAt(steadyclock.Now()) }

func (r *Router) leaseValidAt(at time.Time) bool { return validAt(r.leaseUntil.Load(), at) }

// validAt reports whether a lease is valid at a time; until is nil if there is none.
func validAt(until *time.Time, at time.Time) bool { return until != nil && at.Before(*until) }

// Routes returns the active routes.
func (r *Router) Routes() []plan.Route {
	current := r.installed.Load()
	if current == nil {
		return nil
	}
	return current.plan.Routes
}

// RouteNamed returns an active route.
func (r *Router) RouteNamed(name string) (*plan.Route, bool) {
	current := r.installed.Load()
	if current == nil {
		return nil, false
	}
	return current.plan.RouteNamed(name)
}

// RemoteRoutes returns the active routes that other regions own.
func (r *Router) RemoteRoutes() []plan.RemoteRoute {
	current := r.installed.Load()
	if current == nil {
		return nil
	}
	return current.plan.RemoteRoutes
}

// RemoteRouteNamed returns an active route that another region owns.
func (r *Router) RemoteRouteNamed(name string) (*plan.RemoteRoute, bool) {
	current := r.installed.Load()
	if current == nil {
		return nil, false
	}
	route, found := current.remotes[name]
	return route, found
}

// RouteReports returns the recent request statistics of each route.
func (r *Router) RouteReports(now time.Time) []*v1.RouteReport { return r.routes.Reports(now) }

// sampleOf converts an answer into a sample for the route's report.
func sampleOf(answer query.Answer, elapsed time.Duration) routestats.Sample {
	sample := routestats.Sample{
		Latency: elapsed, Complete: answer.Complete, Late: answer.Late,
		Covered: len(answer.Covered), Wanted: len(answer.Covered) + len(answer.Missing),
	}
	switch {
	case answer.Err == nil:
		sample.Outcome = routestats.Answered
	case answer.Verdict == verdict.NotRun:
		sample.Outcome = routestats.Refused
	default:
		sample.Outcome = routestats.Failed
	}
	return sample
}

// Status returns the current status of the router.
func (r *Router) Status() Status {
	status := Status{
		Name:       r.config.Name,
		Zone:       r.config.Zone,
		Boot:       r.config.Boot,
		Source:     r.source.Describe(),
		LeaseValid: r.leaseValid(),
		Stopping:   r.stopping.Load(),
		Services:   []ServiceStatus{},
		Regions:    r.regions.status(),
	}
	if until := r.leaseUntil.Load(); until != nil {
		status.LeaseUntil = *until
	}
	current := r.installed.Load()
	if current == nil {
		return status
	}
	status.Revision = current.revision
	for _, service := range current.own.Services {
		status.Services = append(status.Services, r.serviceStatus(service))
	}
	return status
}

func (r *Router) serviceStatus(service plan.Service) ServiceStatus {
	status := ServiceStatus{Name: service.Name, Backends: []BackendStatus{}}
	for _, address := range addressesOf(service) {
		open, idle := r.backends.Connections(address)
		share := r.shares.shareOf(address)
		status.Backends = append(status.Backends, BackendStatus{Address: address.String(), Open: open, Idle: idle,
			Connections: share.Connections, Slots: share.Slots})
	}
	return status
}

// regionRequestsPollInterval is the interval at which Stop checks for requests
// forwarded by other regions.
const regionRequestsPollInterval = 5 * time.Millisecond

// BeginStop makes the router report not ready, so that callers switch to other
// routers. It still serves requests.
func (r *Router) BeginStop() { r.stopping.Store(true) }

// Stop refuses new requests and returns once those in flight are answered, claims are
// settled and events are stored, or when the context ends.
func (r *Router) Stop(ctx context.Context) error {
	r.BeginStop()
	r.refusing.Store(true)
	for _, loop := range r.loops {
		loop.pushNotice(query.StopRequested{}, nil)
	}
	for _, loop := range r.loops {
		select {
		case <-loop.stopped:
		case <-loop.exited:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	// A request of another region may have been forwarded to a router of its cell, in
	// which case no engine of this router tracks it.
	for r.regionRequests.Load() > 0 {
		if !wait.For(ctx, regionRequestsPollInterval) {
			return ctx.Err()
		}
	}
	r.settling.Wait()
	if err := r.events.Flush(ctx); err != nil {
		return err
	}
	return r.source.Leave(ctx)
}
