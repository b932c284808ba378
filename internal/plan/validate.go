package plan

import (
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	// maxLiveGenerations allows for the old and the new shard map during a
	// repartitioning.
	maxLiveGenerations = 2
	// maxConditionDepth bounds the recursion over a received condition. The
	// compiler's own limit on nesting is lower.
	maxConditionDepth = 2048
)

// Validate checks that a received plan satisfies the invariants documented on the
// types of this package, so that users of the plan need not check them. Compiled
// plans always pass. The error names the invalid item.
func Validate(p *Plan) error {
	if !hasSortedUniqueNames(p.Services, func(service Service) string { return service.Name }) {
		return errors.New("plan: services are not sorted by unique names")
	}
	if !hasSortedUniqueNames(p.Routes, func(route Route) string { return route.Name }) {
		return errors.New("plan: routes are not sorted by unique names")
	}
	if err := validateRemote(p); err != nil {
		return errors.Wrap(err, "plan")
	}
	for index := range p.Services {
		if err := validateService(&p.Services[index]); err != nil {
			return errors.Wrapf(err, "plan: service %q", p.Services[index].Name)
		}
	}
	for index := range p.Routes {
		if err := validateRoute(p, &p.Routes[index]); err != nil {
			return errors.Wrapf(err, "plan: route %q", p.Routes[index].Name)
		}
	}
	return nil
}

// hasSortedUniqueNames reports whether values are sorted by name and all names
// are unique and not empty.
func hasSortedUniqueNames[Value any](values []Value, name func(Value) string) bool {
	previous := ""
	for _, value := range values {
		if name(value) <= previous {
			return false
		}
		previous = name(value)
	}
	return true
}

func validateService(service *Service) error {
	if count := len(service.Generations); count == 0 || count > maxLiveGenerations {
		return errors.Newf("%d generations, not 1 or %d", count, maxLiveGenerations)
	}
	if !isValidBudget(service.HedgeBudget) || !isValidBudget(service.RetryBudget) {
		return errors.New("a budget has a ratio outside [0,1] or a negative burst")
	}
	if service.CellRouters < 0 || service.ColdStart < 0 {
		return errors.New("negative cell size or cold start")
	}
	previous := uint32(0)
	for index := range service.Generations {
		generation := &service.Generations[index]
		if generation.Number <= previous {
			return errors.Newf("generation %d does not come after %d", generation.Number, previous)
		}
		previous = generation.Number
		if err := validateGeneration(generation); err != nil {
			return errors.Wrapf(err, "generation %d", generation.Number)
		}
	}
	return nil
}

func isValidBudget(budget Budget) bool {
	return budget.Ratio >= 0 && budget.Ratio <= 1 && budget.Burst >= 0 && !math.IsInf(budget.Burst, 1)
}

func validateGeneration(generation *Generation) error {
	if len(generation.Shards) == 0 {
		return errors.New("no shard")
	}
	names := make(map[string]bool, len(generation.Shards))
	for index, shard := range generation.Shards {
		if int(shard.ID) != index {
			return errors.Newf("shard %d stands in place %d", shard.ID, index)
		}
		if shard.Name == "" || names[shard.Name] {
			return errors.Newf("shard name %q is empty or used twice", shard.Name)
		}
		names[shard.Name] = true
		if len(shard.Replicas) == 0 {
			return errors.Newf("shard %q has no replica", shard.Name)
		}
		for _, replica := range shard.Replicas {
			if !replica.Address.Addr().Is4() || replica.Address.Port() == 0 {
				return errors.Newf("replica address %s is not IPv4 with a port", replica.Address)
			}
			if replica.Slots <= 0 || replica.Connections <= 0 {
				return errors.Newf("replica %s has no slots or no connections", replica.Address)
			}
		}
	}
	return nil
}

func validateRoute(p *Plan, route *Route) error {
	service, found := p.ServiceNamed(route.Service)
	if !found {
		return errors.Newf("unknown service %q", route.Service)
	}
	if route.Target != TargetAll && route.Target != TargetKey {
		return errors.Newf("unknown target %d", route.Target)
	}
	policy := &route.Policy
	switch {
	case policy.Priority < PriorityBatch || policy.Priority > PriorityInteractive:
		return errors.Newf("unknown priority %d", policy.Priority)
	case policy.Deadline <= 0:
		return errors.New("no deadline")
	case policy.Once && (policy.ClaimExpiry <= 0 || policy.Hedge.Quantile != 0):
		return errors.New("at-most-once policy without a claim expiry, or with a hedge")
	case !(policy.SnapshotCoverage > 0 && policy.SnapshotCoverage <= 1):
		return errors.Newf("snapshot coverage %v is outside (0,1]", policy.SnapshotCoverage)
	case !isValidHedge(policy.Hedge):
		return errors.New("hedge out of bounds")
	case policy.Retry.MaxPerShard < 0 || policy.Retry.Backoff < 0:
		return errors.New("retry out of bounds")
	case policy.Merge.Kind != MergeConcat && policy.Merge.Kind != MergeTop:
		return errors.Newf("unknown merge %d", policy.Merge.Kind)
	}
	return validateStatements(service, policy)
}

func isValidHedge(hedge Hedge) bool {
	return hedge.Quantile >= 0 && hedge.Quantile < 1 && hedge.MinDelay >= 0 && hedge.MaxDelay >= hedge.MinDelay && hedge.MaxPerShard >= 0
}

// validateStatements checks that the last statement decides before the deadline
// under all circumstances, so that every request ends.
func validateStatements(service *Service, policy *Policy) error {
	if len(policy.Statements) == 0 {
		return errors.New("no statement")
	}
	for _, statement := range policy.Statements {
		if statement.Action != ActionAnswer && statement.Action != ActionFail {
			return errors.Newf("unknown action %d", statement.Action)
		}
		if err := validateCondition(service, statement.Condition, 0); err != nil {
			return err
		}
	}
	last := policy.Statements[len(policy.Statements)-1].Condition
	decides := last.Kind == ConditionAlways || last.Kind == ConditionElapsed && last.Duration < policy.Deadline
	if !decides {
		return errors.New("the last statement might not decide before the deadline")
	}
	return nil
}

func validateCondition(service *Service, condition Condition, depth int) error {
	if depth > maxConditionDepth {
		return errors.New("condition nested too deeply")
	}
	switch condition.Kind {
	case ConditionAll, ConditionAny:
	case ConditionNot:
		if len(condition.Operands) != 1 {
			return errors.New("a negation without exactly one operand")
		}
	case ConditionCovered:
		if err := validateCovered(service, condition.Shards); err != nil {
			return err
		}
	case ConditionAlways, ConditionElapsed, ConditionCoverage, ConditionSettled:
	default:
		return errors.Newf("unknown condition %d", condition.Kind)
	}
	for _, operand := range condition.Operands {
		if err := validateCondition(service, operand, depth+1); err != nil {
			return err
		}
	}
	return nil
}

func validateCovered(service *Service, names []string) error {
	for _, name := range names {
		for _, generation := range service.Generations {
			if !slices.ContainsFunc(generation.Shards, func(shard Shard) bool { return shard.Name == name }) {
				return errors.Newf("generation %d has no shard %q", generation.Number, name)
			}
		}
	}
	return nil
}
