package admission

import (
	"cmp"
	"math"
	"slices"
)

// MaxMin returns the level of a weighted max-min fair allocation of room: each demand i gets the
// lesser of demands[i] and level × weights[i]. The allocation is work-conserving: the sum is
// room, unless the demands need less; then the level is +Inf. Demands and room are rates in the
// same unit. Weights must be positive; without weights, all are 1.
//
// Source: progressive filling for a single resource, as in Ghodsi et al., "Dominant Resource
// Fairness", NSDI 2011.
func MaxMin(demands, weights []float64, room float64) float64 {
	order := make([]int, len(demands))
	total := 0.0
	for index := range demands {
		order[index] = index
		total += weightAt(weights, index)
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a]/weightAt(weights, a), demands[b]/weightAt(weights, b))
	})
	left := max(0, room)
	for _, index := range order {
		weight := weightAt(weights, index)
		if demands[index]*total > left*weight {
			return left / total
		}
		left -= demands[index]
		total -= weight
	}
	return math.Inf(1)
}

func weightAt(weights []float64, index int) float64 {
	if weights == nil {
		return 1
	}
	return weights[index]
}
