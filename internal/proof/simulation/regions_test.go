package simulation

import (
	"strings"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/verdict"
)

func TestTheSmallWorldHoldsAllInvariants(t *testing.T) {
	requireClean(t, Config{Seed: 1, Runs: 60, Choice: Choice{World: "small"}})
}

// The small world must not be easier by leaving a kind of fault out.
func TestTheSmallWorldHasAllFaults(t *testing.T) {
	kinds := map[FaultKind]int{}
	for seed := uint64(1); seed <= 60; seed++ {
		w := newWorldOf(seed, small, newShared(seed))
		randomFaults(w)
		w.run()
		for kind, times := range w.faultKinds {
			kinds[kind] += times
		}
	}
	for _, entry := range faultKinds {
		assert.Positive(t, kinds[entry.kind], "faults of kind %s", entry.kind)
	}
}

func TestRegionsWithAGroupEachGoOnWithoutEachOther(t *testing.T) {
	requireClean(t, Config{Seed: 1, Runs: 20, Choice: Choice{World: "regions"}})
	for _, scenario := range []string{"second-loss-after-repair", "racing-operators"} {
		requireClean(t, Config{Seed: 1, Runs: 5, Choice: Choice{World: "regions", Scenario: scenario}})
	}
}

func TestRegionsGoOnForAnHour(t *testing.T) {
	if testing.Short() {
		t.Skip("two hours of virtual time")
	}
	requireClean(t, Config{Seed: 1, Runs: 1, Choice: Choice{World: "regions-hour"}})
}

// regionalRun makes one run of a world of two regions and returns what became
// of each region during the cut, by the suffix of its area.
func regionalRun(t *testing.T, world string, seed uint64) (map[string]isolation, *Outcome) {
	t.Helper()
	kind, faults, err := Choice{World: world}.resolve()
	require.NoError(t, err)
	worlds := kind.make(seed)
	for _, w := range worlds {
		faults(w)
	}
	outcome := runAll(worlds...)
	seen := map[string]isolation{}
	for _, w := range worlds {
		for _, a := range w.areas {
			seen[a.suffix] = a.isolated
		}
	}
	return seen, outcome
}

// The same cut refuses the requests of the region that has the fewer voters when
// one group spans both. That shows that the check sees such refusals.
func TestOneGroupOverRegionsRefusesDuringTheCut(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		apart, sound := regionalRun(t, "regions", seed)
		require.False(t, sound.Failed(), "%v %v", sound.Violations, sound.Failures)
		joined, broken := regionalRun(t, "one-group", seed)
		require.True(t, lo.SomeBy(broken.Failures, func(failure Failure) bool {
			return failure.Property == propertyIsolation && strings.Contains(failure.Detail, "south-router-")
		}))
		noLease := string(verdict.ReasonNoLease)
		require.Greater(t, joined["-south"].refused[noLease], joined["-south"].answered)
		require.Zero(t, joined["-south"].accepted)
		for _, region := range []string{"-north", "-south"} {
			require.Greater(t, apart[region].whole, 10*apart[region].refused[noLease], region)
			require.Positive(t, apart[region].inForce, region)
		}
		t.Logf("seed %d: apart %+v, joined %+v", seed, apart, joined)
	}
}

// Callers ask routers of their own region for routes of the other. During the cut
// they are told that it can't be reached, most of them at once; before and after it
// they get whole answers.
func TestRequestsCrossToTheOtherRegionUnlessItIsCutOff(t *testing.T) {
	kind, faults, err := Choice{World: "regions"}.resolve()
	require.NoError(t, err)
	seen := map[string]int{}
	for seed := uint64(1); seed <= 5; seed++ {
		worlds := kind.make(seed)
		for _, w := range worlds {
			faults(w)
		}
		outcome := runAll(worlds...)
		require.False(t, outcome.Failed(), "%v %v", outcome.Violations, outcome.Failures)
		for _, w := range worlds {
			for name, times := range w.crossings {
				seen[name] += times
			}
		}
	}
	t.Log(seen)
	require.Zero(t, seen["apart: answered"])
	require.Positive(t, seen["joined: answered"])
	require.Greater(t, seen["apart: "+string(verdict.ReasonRegionUnreachable)], seen["apart: no answer in time"])
}

func TestUnknownWorldsAreRefused(t *testing.T) {
	_, err := Run(Config{Runs: 1, Choice: Choice{World: "none"}})
	require.ErrorIs(t, err, ErrUnknownWorld)
}
