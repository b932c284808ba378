package admission

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/loadview"
)

// drawnRoutes draws routes with their demand over up to six services.
func drawnRoutes(t *rapid.T) Inputs {
	services := []string{"s0", "s1", "s2", "s3", "s4", "s5"}
	in := Inputs{Totals: loadview.Totals{Routes: map[string]loadview.RouteDemand{}}}
	for index := range rapid.IntRange(1, 6).Draw(t, "routes") {
		count := rapid.IntRange(1, len(services)).Draw(t, "shards")
		route := gathering(fmt.Sprint("r", index), rapid.IntRange(0, 3).Draw(t, "priority"),
			rapid.SampledFrom([]float64{0.5, 0.8, 0.85, 0.95, 1}).Draw(t, "least"), services[:count]...)
		if rapid.Bool().Draw(t, "other end") {
			route.Shards = services[len(services)-count:]
		}
		in.Routes = append(in.Routes, route)
		in.Totals.Routes[route.Name] = loadview.RouteDemand{
			Offered:  rapid.Float64Range(0, 2000).Draw(t, "offered"),
			Reserved: rapid.Float64Range(0, 2000).Draw(t, "reserved"),
			Work:     time.Duration(rapid.IntRange(0, 100).Draw(t, "work")) * time.Millisecond,
		}
	}
	return in
}

// demandAt is the demand at each service in slots, added up independently of the planner.
func demandAt(in Inputs) map[string]float64 {
	sums := map[string]float64{}
	for _, route := range in.Routes {
		demand := in.Totals.Routes[route.Name]
		for _, shard := range route.Shards {
			sums[shard] += demand.Offered * demand.Work.Seconds()
		}
	}
	return sums
}

// calmSlots returns slots that exceed the demand at all services, but for services that all routes
// which call them may omit.
func calmSlots(t *rapid.T, in Inputs) func(string) []loadview.ServerSlots {
	sums := demandAt(in)
	short := map[string]bool{}
	for _, service := range []string{"s0", "s1", "s2", "s3", "s4", "s5"} {
		short[service] = rapid.Bool().Draw(t, "short")
		for _, route := range in.Routes {
			omitted := 0
			for _, shard := range route.Shards {
				if short[shard] {
					omitted++
				}
			}
			if omitted > route.omittable() {
				short[service] = false
			}
		}
	}
	return func(service string) []loadview.ServerSlots {
		slots := int(sums[service]/loadview.Usable) + 1
		if short[service] {
			slots = 1
		}
		return []loadview.ServerSlots{{ID: "a", Slots: slots}}
	}
}

// Guards against refusals while the demand is below the capacity of every service that a route
// can't omit (requirement 1).
func TestInCalmNothingIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawnRoutes(t)
		in.Slots = calmSlots(t, in)
		planner, now := NewPlanner(), loopStart
		for range 8 {
			now = now.Add(time.Duration(rapid.IntRange(50, 2000).Draw(t, "pause")) * time.Millisecond)
			outcome := planner.Plan(now, in)
			require.Empty(t, outcome.Routes)
			require.Empty(t, outcome.Tenants)
		}
	})
}

// meanShare is the share that all requests over the same shards get without priorities.
func meanShare(in Inputs) float64 {
	sums := demandAt(in)
	var ratios []float64
	for _, shard := range in.Routes[0].Shards {
		ratios = append(ratios, loadview.Capacity(in.Slots(shard), nil)/sums[shard])
	}
	slices.Sort(ratios)
	return min(1, ratios[in.Routes[0].omittable()])
}

// Guards against a less urgent class that is admitted more than a more urgent one on the same
// services, and against one that gets less than a quarter of the mean (requirement 6).
func TestClassesKeepTheirOrderAndTheirMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := []string{"s0", "s1", "s2", "s3"}[:rapid.IntRange(1, 4).Draw(t, "shards")]
		slots := map[string]int{}
		for _, shard := range shards {
			slots[shard] = rapid.IntRange(1, 40).Draw(t, "slots")
		}
		in := Inputs{Slots: func(service string) []loadview.ServerSlots {
			return []loadview.ServerSlots{{ID: "a", Slots: slots[service]}}
		}}
		least := rapid.SampledFrom([]float64{0.5, 0.75, 1}).Draw(t, "least")
		for class := range rapid.IntRange(2, 4).Draw(t, "classes") {
			in.Routes = append(in.Routes, gathering(fmt.Sprint("r", class), class, least, shards...))
		}
		planner, now := NewPlanner(), loopStart
		for range 12 {
			in.Totals.Routes = map[string]loadview.RouteDemand{}
			for _, route := range in.Routes {
				in.Totals.Routes[route.Name] = offered(rapid.Float64Range(1, 3000).Draw(t, "offered"))
			}
			steps(planner, &now, rapid.IntRange(1, 3).Draw(t, "plans"), in)
			requireOrder(t, in, fractions(in, planner.last))
		}
		requireMinimum(t, in, fractions(in, steps(planner, &now, 12, in)))
	})
}

func fractions(in Inputs, outcome Outcome) []float64 {
	var result []float64
	for _, route := range in.Routes {
		fraction := 1.0
		for _, state := range outcome.Routes {
			if state.Route == route.Name {
				fraction = state.Fraction
			}
		}
		result = append(result, fraction)
	}
	return result
}

func requireOrder(t *rapid.T, in Inputs, admitted []float64) {
	for class := range in.Routes[1:] {
		require.GreaterOrEqual(t, admitted[class]+1e-6, admitted[class+1], "class %d", class)
	}
}

func requireMinimum(t *rapid.T, in Inputs, admitted []float64) {
	for class, fraction := range admitted {
		require.GreaterOrEqual(t, fraction+1e-6, minimumShare*meanShare(in), "class %d", class)
	}
}

// Guards against shares that admit more than the capacity of a service that no route can omit, and
// against room that stays free there while a request is refused.
func TestSharesUseTheCapacityAndNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawnRoutes(t)
		slots := rapid.IntRange(1, 200).Draw(t, "slots")
		in.Slots = func(string) []loadview.ServerSlots { return []loadview.ServerSlots{{ID: "a", Slots: slots}} }
		in.Tenants = map[string]float64{"x": 0} // With tenants, routes of one class are planned too.
		for index := range in.Routes {
			in.Routes[index].LeastShare = 1
			demand := in.Totals.Routes[in.Routes[index].Name]
			demand.Reserved = 0
			in.Totals.Routes[in.Routes[index].Name] = demand
		}
		planner, now := NewPlanner(), loopStart
		outcome := steps(planner, &now, 12, in)
		admitted := map[string]float64{}
		for index, fraction := range fractions(in, outcome) {
			route := in.Routes[index]
			demand := in.Totals.Routes[route.Name]
			for _, shard := range route.Shards {
				admitted[shard] += fraction * demand.Offered * demand.Work.Seconds()
			}
		}
		capacity := loadview.Usable * float64(slots)
		if shortBeyondRounding(in, capacity) {
			for _, state := range outcome.Routes {
				full := state.Fraction == 1 || admitted[state.Bottleneck] > capacity-1e-6
				require.True(t, full, "route %s: %f of %f", state.Route, admitted[state.Bottleneck], capacity)
			}
		}
		for service, used := range admitted {
			// A share never falls below leastFraction.
			require.LessOrEqual(t, used, capacity*roundingError+leastFraction*demandAt(in)[service]+1e-6, service)
		}
	})
}

// shortBeyondRounding reports whether each service either has room or is short for certain.
func shortBeyondRounding(in Inputs, capacity float64) bool {
	for _, sum := range demandAt(in) {
		if sum > capacity && sum <= capacity*roundingError {
			return false
		}
	}
	return !math.IsInf(capacity, 1)
}
