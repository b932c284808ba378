package plan

import "slices"

// Equal reports whether two plans are equivalent. It ignores the source lines of
// statements, which shift whenever the text above them changes.
func Equal(left, right *Plan) bool {
	return slices.EqualFunc(left.Services, right.Services, servicesEqual) &&
		slices.EqualFunc(left.Routes, right.Routes, routesEqual) &&
		slices.EqualFunc(left.Regions, right.Regions, regionsEqual) &&
		slices.Equal(left.RemoteRoutes, right.RemoteRoutes)
}

func regionsEqual(left, right Region) bool {
	return left.Name == right.Name && slices.Equal(left.Entries, right.Entries)
}

func servicesEqual(left, right Service) bool {
	return serviceSettingsEqual(left, right) &&
		slices.EqualFunc(left.Generations, right.Generations, func(a, b Generation) bool {
			return a.Number == b.Number && (sameBackingArray(a.Shards, b.Shards) || slices.EqualFunc(a.Shards, b.Shards, shardsEqual))
		})
}

// serviceSettingsEqual compares two services except for their generations.
func serviceSettingsEqual(left, right Service) bool {
	return left.Name == right.Name &&
		left.HedgeBudget == right.HedgeBudget &&
		left.RetryBudget == right.RetryBudget &&
		left.CellRouters == right.CellRouters &&
		left.ColdStart == right.ColdStart
}

func shardsEqual(left, right Shard) bool {
	return left.ID == right.ID && left.Name == right.Name &&
		(sameBackingArray(left.Replicas, right.Replicas) || slices.Equal(left.Replicas, right.Replicas))
}

func routesEqual(left, right Route) bool {
	return left.Name == right.Name &&
		left.Service == right.Service &&
		left.Target == right.Target &&
		policiesEqual(left.Policy, right.Policy)
}

func policiesEqual(left, right Policy) bool {
	return left.Name == right.Name &&
		left.Priority == right.Priority &&
		left.Deadline == right.Deadline &&
		left.Once == right.Once &&
		left.ClaimExpiry == right.ClaimExpiry &&
		left.Hedge == right.Hedge &&
		left.Retry == right.Retry &&
		left.SnapshotCoverage == right.SnapshotCoverage &&
		left.Merge == right.Merge &&
		slices.EqualFunc(left.Statements, right.Statements, func(a, b Statement) bool {
			return a.Action == b.Action && conditionsEqual(a.Condition, b.Condition)
		})
}

func conditionsEqual(left, right Condition) bool {
	return left.Kind == right.Kind &&
		left.Duration == right.Duration &&
		left.Ratio == right.Ratio &&
		slices.Equal(left.Shards, right.Shards) &&
		slices.EqualFunc(left.Operands, right.Operands, conditionsEqual)
}
