package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/rollout"
)

// software simulates the answer of a version at a time and under a share of the load.
type software func(random *rand.Rand, at time.Duration, load float64, route string) (bad bool, took time.Duration)

func good(random *rand.Rand, _ time.Duration, _ float64, _ string) (bool, time.Duration) {
	return random.Float64() < 0.005, responseTime(random)
}

func responseTime(random *rand.Rand) time.Duration {
	return time.Duration(15 * float64(time.Millisecond) * (0.7 + random.ExpFloat64()*0.4))
}

func failing(fraction float64) software {
	return func(random *rand.Rand, at time.Duration, load float64, route string) (bool, time.Duration) {
		bad, took := good(random, at, load, route)
		return bad || random.Float64() < fraction, took
	}
}

func slow(factor float64) software {
	return func(random *rand.Rand, at time.Duration, load float64, route string) (bool, time.Duration) {
		bad, took := good(random, at, load, route)
		return bad, time.Duration(factor * float64(took))
	}
}

// when returns a version that behaves badly only while a condition holds.
func when(condition func(at time.Duration, load float64, route string) bool, bad software) software {
	return func(random *rand.Rand, at time.Duration, load float64, route string) (bool, time.Duration) {
		if condition(at, load, route) {
			return bad(random, at, load, route)
		}
		return good(random, at, load, route)
	}
}

// simulationResult describes a simulated roll-out.
type simulationResult struct {
	phase rollout.Phase
	at    time.Duration
	// exposed counts the requests sent to the new version, all those of the service.
	exposed, all int
	// late counts those sent to it more than rollbackWithin after its fiftieth bad answer.
	late int
	why  string
}

// Parameters of a simulated roll-out.
const (
	duration = 12 * time.Second
	tick     = 50 * time.Millisecond
	// delay is the sum of the delays of evidence and of the announcement of a step.
	delay          = 400 * time.Millisecond
	rollbackWithin = 5 * time.Second
	canaryShare    = 0.1
	canarySlack    = 50
)

// simulate runs a roll-out with a rate of requests per second, spread over three routes.
func simulate(seed uint64, rate float64, old, fresh software) simulationResult {
	random := rand.New(rand.NewPCG(seed, 2))
	evidence := rollout.Evidence{}
	phase, published := rollout.Canary, rollout.Canary
	var began, changed, fiftieth time.Duration
	var result simulationResult
	var delayed []func()
	bad := 0
	for at := time.Duration(0); at < duration; at += tick {
		if at-changed >= delay/2 {
			published = phase
		}
		rule := rollout.RuleForPhase("new", published, rollout.Limits{CanaryShare: canaryShare})
		batch := []func(){}
		for range int(rate*tick.Seconds() + random.Float64()) {
			result.all++
			route := fmt.Sprint("route-", random.IntN(3))
			isNew := rule.SideOf(random.Float64(), true, true) == rollout.New
			answer := old
			if isNew {
				answer = fresh
				result.exposed++
				if fiftieth > 0 && at > fiftieth+rollbackWithin {
					result.late++
				}
			}
			failed, took := answer(random, at, rule.Share, route)
			if isNew && failed {
				if bad++; bad == 50 {
					fiftieth = at
				}
			}
			batch = append(batch, func() { evidence.Observe(route, isNew, failed, took) })
		}
		delayed = append(delayed, func() {
			for _, observe := range batch {
				observe()
			}
		})
		if steps := int(delay / 2 / tick); len(delayed) > steps {
			delayed[0]()
			delayed = delayed[1:]
		}
		if !phase.Running() {
			continue
		}
		next := rollout.Decide(rollout.Situation{
			Phase: phase, Elapsed: at, InPhase: at - began, Duration: duration, Evidence: evidence, Drained: published == rollout.Shifted && at-changed > delay,
		})
		if next.Phase != "" {
			phase, began, changed = next.Phase, at, at
			result.phase, result.at, result.why = next.Phase, at, next.Reason
		}
	}
	return result
}

// TestBadVersionsAreRolledBackWithinBounds simulates bad versions of each kind at several
// request rates. They must be rolled back before the deadline and in time after the fiftieth
// bad answer, and receive no more requests than allowed.
func TestBadVersionsAreRolledBackWithinBounds(t *testing.T) {
	later := func(at time.Duration, _ float64, _ string) bool { return at > 5*time.Second }
	onOneRoute := func(_ time.Duration, _ float64, route string) bool { return route == "route-1" }
	underLoad := func(_ time.Duration, load float64, _ string) bool { return load == 0 || load > 0.2 }
	for name, bad := range map[string]software{
		"fails at once":        failing(0.4),
		"fails later":          when(later, failing(0.4)),
		"fails on one route":   when(onOneRoute, failing(0.6)),
		"fails under load":     when(underLoad, failing(0.5)),
		"slow at once":         slow(4),
		"slow later":           when(later, slow(4)),
		"slow on one route":    when(onOneRoute, slow(5)),
		"slow under load":      when(underLoad, slow(5)),
		"fails while old does": failing(0.6),
	} {
		old := software(good)
		if name == "fails while old does" {
			old = failing(0.1)
		}
		for _, rate := range []float64{40, 120, 400} {
			for seed := range uint64(20) {
				result := simulate(seed, rate, old, bad)
				require.Equal(t, rollout.RolledBack, result.phase, "%s at %v a second, seed %d", name, rate, seed)
				require.LessOrEqual(t, float64(result.exposed), canaryShare*float64(result.all)+canarySlack, "%s at %v a second, seed %d", name, rate, seed)
				require.Zero(t, result.late, "%s at %v a second, seed %d", name, rate, seed)
			}
		}
	}
}

// TestGoodVersionsCompleteDespiteSharedFaults checks that faults that affect the old and the new
// version alike rarely lead to a roll-back.
func TestGoodVersionsCompleteDespiteSharedFaults(t *testing.T) {
	some := func(at time.Duration, _ float64, _ string) bool { return at > 3*time.Second && at < 8*time.Second }
	ended, convicted := 0, 0
	for name, both := range map[string]software{
		"calm": good, "failures": failing(0.15), "slow for a while": when(some, slow(5)), "failures for a while": when(some, failing(0.3)),
	} {
		for _, rate := range []float64{40, 400} {
			for seed := range uint64(100) {
				result := simulate(seed, rate, both, both)
				ended++
				if result.phase != rollout.Done {
					convicted++
					t.Logf("%s at %v a second, seed %d: %s, %s", name, rate, seed, result.phase, result.why)
				}
				require.Less(t, result.at, duration, name)
			}
		}
	}
	require.LessOrEqual(t, convicted, ended/200, "of %d", ended)
}

func TestTooFewAnswersAreNotTrusted(t *testing.T) {
	situation := rollout.Situation{Phase: rollout.Canary, Elapsed: 11700 * time.Millisecond, Duration: duration, Evidence: rollout.Evidence{}}
	require.Equal(t, rollout.RolledBack, rollout.Decide(situation).Phase)
	situation.Elapsed = 10 * time.Second
	require.Empty(t, rollout.Decide(situation).Phase, "the deadline is not near yet")
}

func TestSidesFollowThePhase(t *testing.T) {
	rule := func(phase rollout.Phase, share float64) rollout.Rule {
		return rollout.Rule{Target: "v2", Phase: phase, Share: share}
	}
	for _, one := range []struct {
		rule         rollout.Rule
		draw         float64
		first, known bool
		want         rollout.Side
	}{
		{rollout.Rule{}, 0, true, true, rollout.Either},
		{rule(rollout.Canary, 0.1), 0.05, true, true, rollout.New},
		{rule(rollout.Canary, 0.1), 0.05, false, true, rollout.Old},
		{rule(rollout.Canary, 0.1), 0.05, true, false, rollout.Old},
		{rule(rollout.Canary, 0.1), 0.15, true, true, rollout.Old},
		{rule(rollout.Shifted, 0), 0.99, false, true, rollout.New},
		{rule(rollout.Shifted, 0), 0.99, true, false, rollout.Old},
		{rule(rollout.RolledBack, 0), 0, true, true, rollout.Old},
		{rule(rollout.Done, 0), 0, true, true, rollout.Either},
	} {
		require.Equal(t, one.want, one.rule.SideOf(one.draw, one.first, one.known), "%+v", one)
	}
	held := rule(rollout.Canary, 0.1)
	require.True(t, held.Allows(rollout.New, "v2"))
	require.False(t, held.Allows(rollout.New, "v1"))
	require.False(t, held.Allows(rollout.Old, "v2"))
	require.True(t, held.Allows(rollout.Old, "v1"))
	require.True(t, held.Allows(rollout.Either, "v2"))
	held.Barred = []string{"v0"}
	for _, side := range []rollout.Side{rollout.Either, rollout.Old, rollout.New} {
		require.False(t, held.Allows(side, "v0"), "rolled back earlier")
	}
}

func TestEvidenceIsBounded(t *testing.T) {
	evidence := rollout.Evidence{}
	for number := range 1000 {
		evidence.Observe(fmt.Sprint(number), false, false, time.Millisecond)
	}
	require.LessOrEqual(t, len(evidence), 65)
	sum := rollout.Evidence{}
	sum.Add(evidence)
	sum.Add(rollout.Evidence{"x": nil})
	require.EqualValues(t, 1000, sum.Total().Old.Answers)
}
