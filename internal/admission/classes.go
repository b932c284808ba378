package admission

import (
	"cmp"
	"slices"

	"github.com/martenstage/martenstage/internal/plan"
)

// urgency is the place of a class in the order in which classes are served: 0 is the most
// urgent, as in routing documents. The queue of an engine and the planner both use this order.
type urgency int

// urgencyOf returns the urgency of a class of the engine.
func urgencyOf(priority plan.Priority) urgency { return urgency(plan.PriorityInteractive - priority) }

// inClasses groups items by class, the most urgent class first. The order of items within a
// class is kept.
func inClasses[T any](items []T, of func(T) urgency) [][]T {
	sorted := slices.Clone(items)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(of(a), of(b)) })
	var groups [][]T
	for start := 0; start < len(sorted); {
		end := start + 1
		for end < len(sorted) && of(sorted[end]) == of(sorted[start]) {
			end++
		}
		groups = append(groups, sorted[start:end])
		start = end
	}
	return groups
}
