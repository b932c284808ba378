package admission

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/loadview"
)

// tenantInputs are 75 tenants of uneven size on two classes of one service with room for 850
// requests/s. Tenant 7 sends hot times its usual rate; the others together send usual requests/s.
// The totals list only the 16 greatest, as reports do.
func tenantInputs(usual, hot float64, rated bool) (Inputs, map[string]float64) {
	const count = 75
	demands := map[string]float64{}
	rates := map[string]float64{}
	sizes := 0.0
	for index := range count {
		sizes += 1 / float64(index+1)
	}
	for index := range count {
		name := fmt.Sprintf("tenant-%02d", index)
		demands[name] = usual / float64(index+1) / sizes
		rates[name] = 0
		if rated {
			rates[name] = 1.5 * demands[name]
		}
	}
	demands["tenant-07"] *= hot
	total := 0.0
	for _, demand := range demands {
		total += demand
	}
	in := twoClasses(offered(total*0.7), offered(total*0.3))
	in.Tenants = rates
	names := slices.SortedFunc(maps.Keys(demands), func(a, b string) int { return cmp.Compare(demands[b], demands[a]) })
	in.Totals.Tenants = map[string]float64{}
	for _, name := range names[:loadview.MaxTenants] {
		in.Totals.Tenants[name] = demands[name]
	}
	return in, demands
}

// served is the share of the requests of each tenant that are admitted.
func served(in Inputs, demands map[string]float64, outcome Outcome) map[string]float64 {
	total, sum := 0.0, 0.0
	for index, fraction := range fractions(in, outcome) {
		rate := in.Totals.Routes[in.Routes[index].Name].Offered
		sum += rate
		total += rate * fraction
	}
	result := map[string]float64{}
	for name := range demands {
		result[name] = total / sum
	}
	for _, state := range outcome.Tenants {
		result[state.Tenant] = state.Share
	}
	return result
}

// Guards against tenants within their share that are refused because another exceeds its own
// (requirement 7).
func TestTheTenantAboveItsShareIsRefusedFirst(t *testing.T) {
	for name, test := range map[string]struct {
		usual, hot float64
		rated      bool
	}{
		"room for the others":    {usual: 820, hot: 7.5, rated: true},
		"without rates":          {usual: 820, hot: 7.5},
		"no room for the others": {usual: 1000, hot: 7.5, rated: true},
		"four times":             {usual: 840, hot: 4, rated: true},
	} {
		t.Run(name, func(t *testing.T) {
			in, demands := tenantInputs(test.usual, test.hot, test.rated)
			planner, now := NewPlanner(), loopStart
			result := served(in, demands, steps(planner, &now, 30, in))
			delete(result, "tenant-07")
			shares := slices.Sorted(maps.Values(result))
			mean := 0.0
			for _, share := range shares {
				mean += share / float64(len(shares))
			}
			worst := 0.0
			for _, share := range shares[:len(shares)/10] {
				worst += share / float64(len(shares)/10)
			}
			t.Logf("mean %.3f, worst tenth %.3f", mean, worst)
			require.Greater(t, worst, mean-0.1)
		})
	}
}

// Guards against a tenant within its share that is served worse the more the hot one sends.
func TestATenantWithinItsShareDoesNotDependOnTheHotOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usual := rapid.Float64Range(700, 820).Draw(t, "usual")
		var first map[string]float64
		for _, hot := range []float64{15, rapid.Float64Range(15, 40).Draw(t, "hot")} {
			in, demands := tenantInputs(usual, hot, true)
			planner, now := NewPlanner(), loopStart
			result := served(in, demands, steps(planner, &now, 30, in))
			delete(result, "tenant-07")
			if first == nil {
				first = result
			}
			require.InDeltaMapValues(t, first, result, 0.02)
		}
	})
}

// Guards against a tenant that is held because one report was counted twice, and against a share
// that stays after the shortage.
func TestATenantIsHeldAfterTwoPlansAndReleasedSlowly(t *testing.T) {
	in, _ := tenantInputs(820, 7.5, true)
	planner, now := NewPlanner(), loopStart
	require.Empty(t, steps(planner, &now, nearPlans, in).Tenants)
	outcome := steps(planner, &now, 1, in)
	require.Len(t, outcome.Tenants, 1)
	require.Equal(t, "tenant-07", outcome.Tenants[0].Tenant)
	outcome = steps(planner, &now, 20, in)
	require.Len(t, outcome.Routes, 2, "the routes stay in the view while a tenant is held")
	require.Equal(t, []float64{1, 1}, fractions(in, outcome), "the others have room")
	many, _ := tenantInputs(820, 40, true)
	outcome = steps(planner, &now, 20, many)
	require.Less(t, outcome.Routes[0].Reservable, 0.3, "what the held tenant sends returns within the room for it")

	calm, _ := tenantInputs(600, 1, true)
	before := outcome.Tenants[0].Share
	outcome = steps(planner, &now, 1, calm)
	require.InDelta(t, before+riseStep, outcome.Tenants[0].Share, 1e-9)
	outcome = steps(planner, &now, 10, calm)
	require.Empty(t, outcome.Tenants)
	require.Empty(t, outcome.Routes)
}
