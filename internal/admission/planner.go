package admission

import (
	"math"
	"time"

	"github.com/martenstage/martenstage/internal/loadview"
)

const (
	// planInterval is the minimum time between two plans: views are published that often.
	planInterval = 250 * time.Millisecond
	// riseStep is the most by which a share rises within planInterval. The share is 1 again 2.5 s
	// after it was 0, and requests that come back meet room that grows as fast as they do.
	riseStep = 0.1
	// maxRiseTime is the longest time between two plans for which a share rises in proportion.
	maxRiseTime = time.Second
	// roundingError is the factor by which a figure may exceed the true rate: rates are reported
	// in steps of a factor of 2^(1/4), rounded to the nearest one. A shortage begins only with a
	// demand that exceeds the capacity by more. Without this, routers refused requests at a true
	// demand of 0.92 of the capacity.
	roundingError = 1.0905 // 2^(1/8)
	// promiseTime is for how long a fraction bounds the promises given under it.
	promiseTime = time.Second
	// ReturnShare is the share of the room of a route that is kept for client retries while
	// the route is short.
	ReturnShare = 0.15
	// fractionError is the rounding error of a fraction that rose in steps.
	fractionError = 1e-9
	// leastFraction is admitted even without any capacity. Without requests, routers would not
	// learn that servers have recovered.
	leastFraction = 0.02
	// resumeHold is the time for which no share rises at a new leader. The summaries of all
	// nodes arrive within it; before, the demand seems to be less than it is.
	resumeHold = 600 * time.Millisecond
)

// Inputs are the figures from which a plan is computed.
type Inputs struct {
	Totals loadview.Totals
	// Routes are the routes of the routing document (RouteInputs).
	Routes []RouteInput
	// Slots returns the usable servers of a service with their slots. The capacity of a
	// service without servers is unknown, and limits nothing.
	Slots func(service string) []loadview.ServerSlots
	// Tenants are the rates of all tenants of the document (TenantRates), nil if it has none.
	Tenants map[string]float64
}

// Outcome is what a view says about admission. Routes and tenants without an entry are admitted.
type Outcome struct {
	// Routes are in the order of the document, Tenants by name.
	Routes  []loadview.RouteState
	Tenants []loadview.TenantState
}

// Planner computes from the totals the share of each route's requests that routers admit.
type Planner struct {
	// at is the time of the last plan, zero before the first one.
	at      time.Time
	last    Outcome
	resumed bool
	// holdUntil is the time until which no share rises.
	holdUntil time.Time
	// short are the services whose demand exceeded their capacity in the last plan.
	short   map[string]bool
	entries map[string]*entry
	// tenants are the shares of tenants that are held, and above are the tenants that were above
	// their level in the last plan.
	tenants map[string]float64
	above   map[string]bool
}

// entry is the admission of one route.
type entry struct {
	state loadview.RouteState
	since time.Time
	// fractions are those of the last second, the latest last.
	fractions []fractionAt
}

type fractionAt struct {
	at       time.Time
	fraction float64
}

// NewPlanner returns a planner that admits everything.
func NewPlanner() *Planner {
	return &Planner{entries: map[string]*entry{}, tenants: map[string]float64{}, short: map[string]bool{}, above: map[string]bool{}}
}

// Resume continues from the last view of the leader before. It is called before the first plan.
func (p *Planner) Resume(view loadview.View) {
	p.resumed = true
	for _, state := range view.Routes {
		p.entries[state.Route] = &entry{state: state}
		p.short[state.Bottleneck] = true
	}
	for _, service := range view.Services {
		if service.Demand > service.Capacity {
			p.short[service.Service] = true
		}
	}
	for _, tenant := range view.Tenants {
		p.tenants[tenant.Tenant] = tenant.Share
		p.above[tenant.Tenant] = true
	}
	p.last = Outcome{Routes: view.Routes, Tenants: view.Tenants}
}

// Plan returns the shares. Within planInterval of the last plan it returns that one.
func (p *Planner) Plan(now time.Time, in Inputs) Outcome {
	first := p.at.IsZero()
	if !first && now.Sub(p.at) < planInterval {
		return p.last
	}
	if first {
		p.start(now)
	}
	rise := riseStep * float64(min(now.Sub(p.at), maxRiseTime)) / float64(planInterval)
	if first || now.Before(p.holdUntil) {
		rise = 0
	}
	p.at = now
	model := newModel(in)
	p.confirm(model)
	limits := model.fill(in.Totals.Routes, nil)
	affected := model.affected(limits)
	held := model.tenantShares(in, limits, affected, p)
	if len(held.shares) > 0 {
		limits = model.fill(in.Totals.Routes, &held)
	}
	p.raiseTenants(held.shares, in, rise)
	p.last = Outcome{Routes: p.routes(now, in, model, limits, affected, rise), Tenants: p.tenantStates()}
	return p.last
}

// start sets the times of what was resumed.
func (p *Planner) start(now time.Time) {
	p.at = now
	if p.resumed {
		p.holdUntil = now.Add(resumeHold)
	}
	for _, resumed := range p.entries {
		resumed.since = now.Add(-resumed.state.Since)
		resumed.fractions = []fractionAt{{at: now, fraction: resumed.state.Promised}}
	}
}

// confirm removes the limits of services that were not short in the last plan too. The figures
// of one plan may count a report twice. A shortage lasts until the demand is at most the capacity.
func (p *Planner) confirm(model *model) {
	short := map[string]bool{}
	for service, index := range model.index {
		least := model.capacity[index] * roundingError
		if p.short[service] {
			least = model.capacity[index]
		}
		if short[service] = model.demand[index] > least; !short[service] || !p.short[service] {
			model.capacity[index] = math.Inf(1)
		}
	}
	p.short = short
}

// routes updates the entries and returns their states. With tenants, all affected routes have an
// entry, which makes routers report the demand of tenants on them.
func (p *Planner) routes(
	now time.Time, in Inputs, model *model, limits map[string]limit, affected map[string]bool, rise float64,
) []loadview.RouteState {
	var states []loadview.RouteState
	entries := map[string]*entry{}
	for _, route := range in.Routes {
		if model.exempt[route.Name] {
			continue
		}
		limited := limits[route.Name]
		needed := limited.bottleneck != "" || in.Tenants != nil && affected[route.Name]
		current := p.entries[route.Name]
		if current == nil {
			if !needed {
				continue
			}
			current = &entry{since: now, state: loadview.RouteState{Route: route.Name, Fraction: 1}}
		}
		current.update(now, in.Totals.Routes[route.Name], limited, rise)
		if current.state.Fraction >= 1 && !needed && len(p.tenants) == 0 {
			continue
		}
		entries[route.Name] = current
		states = append(states, current.state)
	}
	p.entries = entries
	return states
}

// update moves the fraction towards what there is room for: down at once, up by at most rise.
func (e *entry) update(now time.Time, total loadview.RouteDemand, limited limit, rise float64) {
	state := &e.state
	state.Offered = total.Offered
	state.Since = now.Sub(e.since)
	room := limited.share * limited.offered
	reserved := min(total.Reserved, room)
	target := 1.0
	if limited.share < 1 {
		target = max(leastFraction, (room-reserved)/(limited.offered-reserved))
	}
	state.Fraction = min(target, state.Fraction+rise)
	if state.Fraction > 1-fractionError {
		state.Fraction = 1
	}
	refused := (1-state.Fraction)*(limited.offered-reserved) + limited.refused
	state.Reservable = 1
	if refused > 0 && (limited.share < 1 || limited.refused > 0) {
		state.Reservable = min(1, ReturnShare*(room+limited.held)/refused)
	}
	if limited.bottleneck != "" {
		state.Bottleneck = limited.bottleneck
	}
	state.Promised = e.promise(now)
}

// promise records the fraction and returns the highest one of the last second.
func (e *entry) promise(now time.Time) float64 {
	e.fractions = append(e.fractions, fractionAt{at: now, fraction: e.state.Fraction})
	for now.Sub(e.fractions[0].at) > promiseTime {
		e.fractions = e.fractions[1:]
	}
	highest := 0.0
	for _, past := range e.fractions {
		highest = max(highest, past.fraction)
	}
	return highest
}
