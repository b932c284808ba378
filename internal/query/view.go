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

// routeView is a route of the installed configuration with the values that are
// precomputed from its policy.
type routeView struct {
	plan.Route
	service *serviceView
	// elapsedThresholds are the times since admission from which a statement of the
	// policy may hold, sorted.
	elapsedThresholds []time.Duration
	// maxCoverage is the highest coverage that the policy names.
	maxCoverage float64
	// omittableShare is the share of the shards that an answer at the first elapsed
	// threshold may lack.
	omittableShare float64
}

// serviceView is one version of a service's definition. Requests admitted under it
// keep it until they end.
type serviceView struct {
	definition plan.Service
	// partitions are the live shard maps, oldest first.
	partitions []*partition
	state      *serviceState
	requests   int
	retired    bool
}

// serviceState holds the state that outlives changes of a service's definition.
type serviceState struct {
	hedges  *budget.Bucket
	retries *budget.Bucket
	// overloadedUntil is the time before which extra attempts are disabled after a
	// refusal for load.
	overloadedUntil time.Time
}

// partition is one shard map with the queues of shards that wait for its replicas.
type partition struct {
	*balancer.Generation
	service *serviceView
	queues  []admission.Queue[waiter]
	names   map[string]int
}

func (e *Engine) configInstalled(event ConfigInstalled) {
	// Revisions only increase: a lower one comes from an outdated message.
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

// installService returns the view of a definition. An unchanged definition keeps its
// view, so that most configuration changes cost nothing here.
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

// releaseIfUnused schedules a view for removal once the last request admitted under
// it has ended.
func (e *Engine) releaseIfUnused(view *serviceView) {
	if view.retired && view.requests == 0 {
		e.retiredServices = append(e.retiredServices, view)
	}
}

func newRouteView(route plan.Route, service *serviceView) *routeView {
	view := &routeView{Route: route, service: service}
	for index := range route.Policy.Statements {
		view.collectThresholds(&route.Policy.Statements[index].Condition)
	}
	slices.Sort(view.elapsedThresholds)
	view.elapsedThresholds = slices.Compact(view.elapsedThresholds)
	for index := range route.Policy.Statements {
		view.omittableShare = max(view.omittableShare, view.omittableShareOf(&route.Policy.Statements[index]))
	}
	return view
}

// omittableShareOf returns the share of the shards that a statement of the form
// "answer when coverage >= RATIO and elapsed >= the first threshold" can omit.
func (r *routeView) omittableShareOf(statement *plan.Statement) float64 {
	if statement.Action != plan.ActionAnswer || statement.Condition.Kind != plan.ConditionAll {
		return 0
	}
	ratio, first := 0.0, false
	for _, operand := range statement.Condition.Operands {
		switch operand.Kind {
		case plan.ConditionCoverage:
			ratio = max(ratio, operand.Ratio)
		case plan.ConditionElapsed:
			first = operand.Duration == r.elapsedThresholds[0]
		}
	}
	if !first || ratio == 0 {
		return 0
	}
	return 1 - ratio
}

// collectThresholds collects the elapsed times and the highest coverage that a
// condition names.
func (r *routeView) collectThresholds(condition *plan.Condition) {
	switch condition.Kind {
	case plan.ConditionElapsed:
		r.elapsedThresholds = append(r.elapsedThresholds, condition.Duration)
	case plan.ConditionCoverage:
		r.maxCoverage = max(r.maxCoverage, condition.Ratio)
	}
	for index := range condition.Operands {
		r.collectThresholds(&condition.Operands[index])
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
