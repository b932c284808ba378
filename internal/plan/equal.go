package plan

import "slices"

// Equal reports whether two plans mean the same. Source lines of statements
// don't count: they move whenever the text above them does.
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
	return settingsEqual(left, right) &&
		slices.EqualFunc(left.Generations, right.Generations, func(a, b Generation) bool {
			return a.Number == b.Number && (sameList(a.Shards, b.Shards) || slices.EqualFunc(a.Shards, b.Shards, shardsEqual))
		})
}

// settingsEqual compares all of a service but its generations.
func settingsEqual(left, right Service) bool {
	return left.Name == right.Name &&
		left.HedgeBudget == right.HedgeBudget &&
		left.RetryBudget == right.RetryBudget &&
		left.CellRouters == right.CellRouters &&
		left.ColdStart == right.ColdStart
}

func shardsEqual(left, right Shard) bool {
	return left.ID == right.ID && left.Name == right.Name &&
		(sameList(left.Replicas, right.Replicas) || slices.Equal(left.Replicas, right.Replicas))
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
