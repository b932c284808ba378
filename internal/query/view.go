package query

import (
	"reflect"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/admission"
	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/budget"
	"github.com/martenstage/martenstage/internal/plan"
)

// routeView is a route of the installed configuration with what is worked out
// from its policy once.
type routeView struct {
	plan.Route
	service *serviceView
	// moments are the times since admission at which a statement of the policy
	// may begin to hold, sorted.
	moments []time.Duration
	// wanted is the largest coverage that the policy names.
	wanted float64
	// spared is the share of the shards that an answer at the first of the
	// moments may be without.
	spared float64
}

// serviceView is one definition of a service. Requests that were admitted
// under it keep it until they end.
type serviceView struct {
	definition plan.Service
	// partitions are the live shard maps, oldest first.
	partitions []*partition
	state      *serviceState
	requests   int
	retired    bool
}

// serviceState is what outlives changes of a service's definition.
type serviceState struct {
	hedges  *budget.Bucket
	retries *budget.Bucket
	// overloadedUntil keeps extra attempts off after a refusal for load.
	overloadedUntil time.Time
}

// partition is one shard map with the attempts that wait for its replicas.
type partition struct {
	*balancer.Generation
	service *serviceView
	queues  []admission.Queue[waiter]
	names   map[string]int
}

func (e *Engine) configInstalled(event ConfigInstalled) {
	// Revisions only go up: a lower one is an old message.
	if e.installed && event.Revision < e.revision {
		return
	}
	e.revision, e.installed = event.Revision, true
	before := e.services
	e.services = make(map[string]*serviceView, len(event.Plan.Services))
	for _, definition := range event.Plan.Services {
		if e.config.Owns(definition.Name) {
			e.services[definition.Name] = e.installService(definition, before[definition.Name])
		}
	}
	e.routes = make(map[string]*routeView, len(event.Plan.Routes))
	for _, route := range event.Plan.Routes {
		if service, owned := e.services[route.Service]; owned {
			e.routes[route.Name] = newRouteView(route, service)
		}
	}
	for _, name := range sortedKeys(before) {
		if e.services[name] != before[name] {
			before[name].retired = true
			e.releaseIfUnused(before[name])
		}
	}
	e.warmServices()
}

// installService returns the view of a definition. An unchanged definition
// keeps its view, so that most changes of configuration cost nothing here.
func (e *Engine) installService(definition plan.Service, before *serviceView) *serviceView {
	if before != nil && reflect.DeepEqual(before.definition, definition) {
		return before
	}
	view := &serviceView{definition: definition}
	if before != nil {
		view.state = before.state
		view.state.hedges.Resize(definition.HedgeBudget)
		view.state.retries.Resize(definition.RetryBudget)
	} else {
		view.state = &serviceState{
			hedges: budget.New(definition.HedgeBudget), retries: budget.New(definition.RetryBudget),
		}
	}
	for _, shards := range definition.Generations {
		view.partitions = append(view.partitions, e.installPartition(view, shards, before))
	}
	return view
}

func (e *Engine) installPartition(view *serviceView, shards plan.Generation, before *serviceView) *partition {
	installed := &partition{
		Generation: e.pool.AddGeneration(e.now, view.definition, shards),
		service:    view,
		queues:     make([]admission.Queue[waiter], len(shards.Shards)),
		names:      make(map[string]int, len(shards.Shards)),
	}
	for index, shard := range shards.Shards {
		installed.names[shard.Name] = index
	}
	if before != nil {
		for _, earlier := range before.partitions {
			if earlier.Number == shards.Number {
				installed.Inherit(earlier.Generation)
			}
		}
	}
	e.partitions[installed.Generation] = installed
	return installed
}

// releaseIfUnused marks a view to be dropped once the last request that was
// admitted under it has ended.
func (e *Engine) releaseIfUnused(view *serviceView) {
	if view.retired && view.requests == 0 {
		e.retired = append(e.retired, view)
	}
}

func newRouteView(route plan.Route, service *serviceView) *routeView {
	view := &routeView{Route: route, service: service}
	for index := range route.Policy.Statements {
		view.scan(&route.Policy.Statements[index].Condition)
	}
	slices.Sort(view.moments)
	view.moments = slices.Compact(view.moments)
	for index := range route.Policy.Statements {
		view.spared = max(view.spared, view.sparedBy(&route.Policy.Statements[index]))
	}
	return view
}

// sparedBy returns the share of the shards that a statement of the form
// "answer when coverage >= RATIO and elapsed >= the first moment" does without.
func (r *routeView) sparedBy(statement *plan.Statement) float64 {
	if statement.Action != plan.ActionAnswer || statement.Condition.Kind != plan.ConditionAll {
		return 0
	}
	ratio, first := 0.0, false
	for _, operand := range statement.Condition.Operands {
		switch operand.Kind {
		case plan.ConditionCoverage:
			ratio = max(ratio, operand.Ratio)
		case plan.ConditionElapsed:
			first = operand.Duration == r.moments[0]
		}
	}
	if !first || ratio == 0 {
		return 0
	}
	return 1 - ratio
}

// scan collects the moments and coverages that a condition names.
func (r *routeView) scan(condition *plan.Condition) {
	switch condition.Kind {
	case plan.ConditionElapsed:
		r.moments = append(r.moments, condition.Duration)
	case plan.ConditionCoverage:
		r.wanted = max(r.wanted, condition.Ratio)
	}
	for index := range condition.Operands {
		r.scan(&condition.Operands[index])
	}
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
