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
	// in steps of a factor of 2^(1/4), rounded to the nearest one.
	roundingError = 1.0905 // 2^(1/8)
	// nearPlans and farPlans are the numbers of consecutive plans after which a shortage begins:
	// farPlans if the demand exceeds all slots, not only the usable ones, and nearPlans if it
	// exceeds the usable ones by more than the rounding of figures. With two plans in both cases,
	// routers refused requests at a true demand of 0.93 of the usable slots, because two plans
	// see half of the same arrivals.
	nearPlans, farPlans = 4, 2
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
	// excesses are those of services whose demand exceeded their capacity in the last plan.
	excesses map[string]excess
	entries  map[string]*entry
	// tenants are the shares of tenants that are held, and above are the tenants that were above
	// their level in the last plan.
	tenants map[string]float64
	above   map[string]bool
}

// excess is for how long the demand of a service has exceeded its capacity.
type excess struct {
	short bool
	// near and far are the numbers of consecutive plans, see nearPlans and farPlans.
	near, far int
}

// next returns the excess after another plan.
func (e excess) next(demand, capacity float64) excess {
	if demand <= capacity {
		return excess{}
	}
	e.near, e.far = e.near+1, e.far+1
	if demand <= capacity*roundingError {
		e.near = 0
	}
	if demand <= capacity/loadview.Usable {
		e.far = 0
	}
	e.short = e.short || e.near >= nearPlans || e.far >= farPlans
	return e
}

// entry is the admission of one route.
type entry struct {
	state loadview.RouteState
	since time.Time
	// target is the share that the last plan had room for.
	target float64
	// fractions are those of the last second, the latest last.
	fractions []fractionAt
}

type fractionAt struct {
	at       time.Time
	fraction float64
}

// NewPlanner returns a planner that admits everything.
func NewPlanner() *Planner {
	return &Planner{entries: map[string]*entry{}, tenants: map[string]float64{}, excesses: map[string]excess{}, above: map[string]bool{}}
}

// Resume continues from the last view of the leader before. It is called before the first plan.
func (p *Planner) Resume(view loadview.View) {
	p.resumed = true
	for _, state := range view.Routes {
		p.entries[state.Route] = &entry{state: state}
		p.excesses[state.Bottleneck] = excess{short: true}
	}
	for _, service := range view.Services {
		if service.Demand > service.Capacity {
			p.excesses[service.Service] = excess{short: true}
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

// confirm removes the limits of services that are not short for certain: the figures of one plan
// may count a report twice. A shortage lasts until the demand is at most the capacity.
func (p *Planner) confirm(model *model) {
	excesses := map[string]excess{}
	for service, index := range model.index {
		current := p.excesses[service].next(model.demand[index], model.capacity[index])
		if current != (excess{}) {
			excesses[service] = current
		}
		if !current.short {
			model.capacity[index] = math.Inf(1)
		}
	}
	p.excesses = excesses
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
	// Figures move by a step of 2^(1/4) from one plan to the next while the demand is the same.
	// The lesser of two targets does not follow them up.
	confirmed := max(e.target, state.Fraction)
	if target >= 1 {
		confirmed = 1
	}
	state.Fraction = min(target, confirmed, state.Fraction+rise)
	e.target = target
	if state.Fraction > 1-fractionError {
		state.Fraction = 1
	}
	state.Reservable = reservable(state.Fraction, reserved, limited)
	if limited.bottleneck != "" {
		state.Bottleneck = limited.bottleneck
	}
	state.Promised = e.promise(now)
}

// reservable returns the share of the refused requests that may hold a reservation: all once there
// is room for all requests.
func reservable(fraction, reserved float64, limited limit) float64 {
	refused := (1-fraction)*(limited.offered-reserved) + limited.refused
	if limited.share >= 1 && limited.refused <= 0 || refused <= 0 {
		return 1
	}
	return min(1, ReturnShare*(limited.share*limited.offered+limited.held)/refused)
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
