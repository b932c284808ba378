package experiment

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/plan"
)

func bangkok(t require.TestingT) *plan.Plan {
	compiled, err := LoadPlan("bangkok", "../../../deploy/bangkok/bangkok.policy")
	require.NoError(t, err)
	return compiled
}

// TestEqualSeedsGiveEqualFigures runs every scenario twice with all variants.
func TestEqualSeedsGiveEqualFigures(t *testing.T) {
	compiled := bangkok(t)
	for _, scenario := range Scenarios() {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			config := Config{Deployment: "bangkok", Plan: compiled, Scenario: scenario, Variants: Variants(),
				Seed: 7, Duration: time.Second, Utilization: 0.05}
			first, err := RunVirtual(config)
			require.NoError(t, err)
			second, err := RunVirtual(config)
			require.NoError(t, err)
			require.JSONEq(t, encode(t, first), encode(t, second))
			for variant, result := range first.Variants {
				require.Zero(t, result.Violations, "%s: %v", variant, result.First)
				require.Len(t, result.Routes, len(compiled.Routes))
			}
			config.Seed++
			other, err := RunVirtual(config)
			require.NoError(t, err)
			require.NotEqual(t, first.Variants[VariantOracle].Routes, other.Variants[VariantOracle].Routes)
		})
	}
}

func encode(t *testing.T, result Result) string {
	encoded, err := json.Marshal(result)
	require.NoError(t, err)
	return string(encoded)
}

// TestVariantsMeetEqualArrivals checks that variants differ in their decisions
// alone.
func TestVariantsMeetEqualArrivals(t *testing.T) {
	result, err := RunVirtual(Config{Plan: bangkok(t), Scenario: "steady", Variants: Variants(), Seed: 3,
		Duration: time.Second, Utilization: 0.05})
	require.NoError(t, err)
	for route, bound := range result.Variants[VariantOracle].Routes {
		for variant, other := range result.Variants {
			require.Equal(t, bound.Requests, other.Routes[route].Requests, variant)
			require.LessOrEqual(t, bound.P50Ms, other.Routes[route].P50Ms, "%s %s beats the bound", route, variant)
		}
	}
}

func TestUnknownNamesAndShortRunsAreErrors(t *testing.T) {
	for _, config := range []Config{
		{Scenario: "none", Variants: Variants(), Duration: time.Second},
		{Scenario: "steady", Variants: []string{"none"}, Duration: time.Second},
		{Scenario: "steady", Variants: Variants(), Duration: time.Millisecond},
	} {
		config.Plan = bangkok(t)
		_, err := RunVirtual(config)
		require.Error(t, err)
	}
}

func BenchmarkSteady(b *testing.B) {
	compiled := bangkok(b)
	for b.Loop() {
		_, err := RunVirtual(Config{Deployment: "bangkok", Plan: compiled, Scenario: "steady",
			Variants: []string{"martenstage"}, Seed: 1, Duration: 2 * time.Second})
		require.NoError(b, err)
	}
}

// With service times of a fifth of the deadline, what is queued at the back
// ends makes answers partial long before anything waits in the routers. Who is
// taken in gets most of the shards all the same, and more load takes nothing
// away.
func TestSurgeOnSlowServersKeepsCoverage(t *testing.T) {
	const seeds, whole = 3, 0.9
	var first, second, coverage float64
	for seed := range uint64(seeds) {
		result, err := RunVirtual(Config{Plan: bangkok(t), Scenario: "surge", Variants: []string{"martenstage"},
			Seed: seed + 1, Duration: 10 * time.Second, Slots: 1, Median: 20 * time.Millisecond})
		require.NoError(t, err)
		row := result.Variants["martenstage"].Routes["quick-pick"]
		first, second = first+row.FirstHalf.Goodput, second+row.SecondHalf.Goodput
		coverage += row.Coverage / seeds
	}
	require.Greater(t, coverage, 0.85)
	require.GreaterOrEqual(t, second, whole*first)
}
