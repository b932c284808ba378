package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/routing"
)

// steps plans the same inputs at the shortest interval and returns the last outcome.
func steps(planner *Planner, now *time.Time, count int, in Inputs) Outcome {
	var outcome Outcome
	for range count {
		*now = now.Add(planInterval)
		outcome = planner.Plan(*now, in)
	}
	return outcome
}

func tens(service string) []loadview.ServerSlots {
	return []loadview.ServerSlots{{ID: service + "/1", Slots: 5}, {ID: service + "/2", Slots: 5}}
}

func gathering(name string, priority int, least float64, shards ...string) RouteInput {
	return RouteInput{Name: name, Priority: priority, Target: time.Second, LeastShare: least, Shards: shards}
}

// offered returns the demand of a route in requests of 10 ms per second.
func offered(rate float64) loadview.RouteDemand {
	return loadview.RouteDemand{Offered: rate, Work: 10 * time.Millisecond}
}

// twoClasses are an urgent and a later route on one service with room for 850 requests/s.
func twoClasses(urgent, later loadview.RouteDemand) Inputs {
	return Inputs{
		Totals: loadview.Totals{Routes: map[string]loadview.RouteDemand{"urgent": urgent, "later": later}},
		Routes: []RouteInput{gathering("later", 3, 1, "s"), gathering("urgent", 0, 1, "s")},
		Slots:  tens,
	}
}

func TestAShareFallsAfterTwoPlansAndRisesSlowly(t *testing.T) {
	planner, now := NewPlanner(), loopStart
	calm, short := twoClasses(offered(300), offered(300)), twoClasses(offered(600), offered(500))
	require.Empty(t, steps(planner, &now, 5, calm).Routes)
	require.Empty(t, steps(planner, &now, 1, short).Routes, "one plan refuses nothing")
	outcome := steps(planner, &now, 1, short)
	require.Len(t, outcome.Routes, 1, "there is room for the more urgent route")
	state := outcome.Routes[0]
	require.Equal(t, "later", state.Route)
	require.Equal(t, "s", state.Bottleneck)
	require.InDelta(t, 0.5, state.Fraction, 1e-9, "250 of 500")
	require.InDelta(t, ReturnShare*250/250, state.Reservable, 1e-9)
	require.Equal(t, outcome, planner.Plan(now.Add(planInterval-1), calm), "a plan that is not due changes nothing")

	for step, fraction := range []float64{0.6, 0.7, 0.8, 0.9} {
		state = steps(planner, &now, 1, calm).Routes[0]
		require.InDelta(t, fraction, state.Fraction, 1e-9)
		require.EqualValues(t, 1, state.Reservable, "there is room for all that return")
		require.Equal(t, time.Duration(step+1)*planInterval, state.Since)
	}
	require.Empty(t, steps(planner, &now, 1, calm).Routes)
}

// Guards against refusals because the reports of a router are counted at two nodes at once.
func TestDemandThatIsCountedTwiceInOnePlanRefusesNothing(t *testing.T) {
	planner, now := NewPlanner(), loopStart
	for range 10 {
		require.Empty(t, steps(planner, &now, 2, twoClasses(offered(400), offered(400))).Routes)
		require.Empty(t, steps(planner, &now, 1, twoClasses(offered(800), offered(800))).Routes)
	}
}

// Guards against refusals by figures that are rounded up, and against a demand between the usable
// slots and all slots that is never limited.
func TestASmallShortageTakesLongerToBegin(t *testing.T) {
	for name, test := range map[string]struct {
		demand float64 // relative to the usable slots
		plans  int     // until the shortage begins, 0 for never
	}{
		"within the rounding":   {demand: 1.09},
		"beyond the rounding":   {demand: 1.1, plans: nearPlans},
		"just within all slots": {demand: 1.17, plans: nearPlans},
		"more than all slots":   {demand: 1.18, plans: farPlans},
	} {
		t.Run(name, func(t *testing.T) {
			planner, now := NewPlanner(), loopStart
			in := twoClasses(offered(850*test.demand), offered(0))
			for plan := 1; plan <= 10; plan++ {
				outcome := steps(planner, &now, 1, in)
				require.Equal(t, test.plans > 0 && plan >= test.plans, len(outcome.Routes) > 0, "plan %d", plan)
			}
			if test.plans > 0 {
				in.Totals.Routes["urgent"] = offered(851)
				require.NotEmpty(t, steps(planner, &now, 10, in).Routes, "a shortage ends at the usable slots")
			}
		})
	}
}

func TestSomeRoutesAreAlwaysAdmitted(t *testing.T) {
	for name, change := range map[string]func(in *Inputs){
		"no target":      func(in *Inputs) { in.Routes[0].Target = 0 },
		"unknown work":   func(in *Inputs) { in.Totals.Routes["later"] = loadview.RouteDemand{Offered: 500} },
		"own services":   func(in *Inputs) { in.Routes[0].Shards = []string{"other"} },
		"one priority":   func(in *Inputs) { in.Routes[0].Priority = 0 },
		"no traffic":     func(in *Inputs) { delete(in.Totals.Routes, "later") },
		"unknown slots":  func(in *Inputs) { in.Slots = func(string) []loadview.ServerSlots { return nil } },
		"left the table": func(in *Inputs) { in.Routes = in.Routes[1:] },
	} {
		t.Run(name, func(t *testing.T) {
			planner, now := NewPlanner(), loopStart
			in := twoClasses(offered(800), offered(2000))
			require.NotEmpty(t, steps(planner, &now, 4, in).Routes)
			change(&in)
			// A route whose demand ends is admitted within 2.5 s, the others at once.
			for _, state := range steps(planner, &now, 10, in).Routes {
				require.NotEqual(t, "later", state.Route)
			}
		})
	}
}

func TestTheShardsThatAnAnswerMayOmitAreNotCounted(t *testing.T) {
	shards := []string{"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"}
	for name, test := range map[string]struct {
		least      float64
		short      map[string]int // slots of short shards
		fraction   float64
		bottleneck string
	}{
		"one short, none omitted":  {least: 0.95, short: map[string]int{"s3": 4}, fraction: 0.4, bottleneck: "s3"},
		"one short, one omitted":   {least: 0.9, short: map[string]int{"s3": 4}, fraction: 1},
		"two short, one omitted":   {least: 0.9, short: map[string]int{"s3": 4, "s7": 6}, fraction: 0.6, bottleneck: "s7"},
		"two short, two omitted":   {least: 0.8, short: map[string]int{"s3": 4, "s7": 6}, fraction: 1},
		"three short, two omitted": {least: 0.8, short: map[string]int{"s3": 2, "s7": 6, "s9": 5}, fraction: 0.6, bottleneck: "s7"},
	} {
		t.Run(name, func(t *testing.T) {
			planner, now := NewPlanner(), loopStart
			in := Inputs{
				Totals: loadview.Totals{Routes: map[string]loadview.RouteDemand{"all": offered(850)}},
				Routes: []RouteInput{gathering("all", 0, test.least, shards...), gathering("other", 1, 1, shards...)},
				Slots: func(service string) []loadview.ServerSlots {
					if slots, short := test.short[service]; short {
						return []loadview.ServerSlots{{ID: "a", Slots: slots}}
					}
					return tens(service)
				},
			}
			outcome := steps(planner, &now, 3, in)
			if test.fraction == 1 {
				require.Empty(t, outcome.Routes)
				return
			}
			require.Len(t, outcome.Routes, 1)
			require.InDelta(t, test.fraction, outcome.Routes[0].Fraction, 1e-9)
			require.Equal(t, test.bottleneck, outcome.Routes[0].Bottleneck)
		})
	}
}

func TestServersInTroubleTakeRoom(t *testing.T) {
	for name, test := range map[string]struct {
		states   []loadview.ServerState
		fraction float64
	}{
		"slow":       {states: []loadview.ServerState{{ID: "s/1", Condition: loadview.Slow, Pace: 5}}, fraction: 0.6},
		"refusing":   {states: []loadview.ServerState{{ID: "s/1", Condition: loadview.Refusing, Refusals: 0.6}}, fraction: 0.7},
		"silent":     {states: []loadview.ServerState{{ID: "s/2", Condition: loadview.Silent}}, fraction: 0.5},
		"all silent": {states: []loadview.ServerState{{ID: "s/1", Condition: loadview.Silent}, {ID: "s/2", Condition: loadview.Silent}}, fraction: leastFraction},
	} {
		t.Run(name, func(t *testing.T) {
			planner, now := NewPlanner(), loopStart
			in := twoClasses(offered(850), loadview.RouteDemand{})
			in.Totals.Services = map[string]loadview.ServiceReport{"s": {Service: "s", Servers: test.states}}
			outcome := steps(planner, &now, 3, in)
			require.Len(t, outcome.Routes, 1)
			require.InDelta(t, test.fraction, outcome.Routes[0].Fraction, 1e-9)
		})
	}
}

// Guards against client retries that come on top of a share that already uses all room.
func TestReservedRetriesAreTakenOffFirst(t *testing.T) {
	planner, now := NewPlanner(), loopStart
	later := offered(500)
	later.Reserved = 50
	state := steps(planner, &now, 2, twoClasses(offered(600), later)).Routes[0]
	require.InDelta(t, 200.0/450, state.Fraction, 1e-9)
	require.InDelta(t, ReturnShare*250/250, state.Reservable, 1e-9)
	later.Reserved = 5000
	state = steps(planner, &now, 1, twoClasses(offered(600), later)).Routes[0]
	require.InDelta(t, leastFraction, state.Fraction, 1e-9)
}

// Guards against breaking the promises that were given under a higher share.
func TestPromisedIsTheHighestFractionOfTheLastSecond(t *testing.T) {
	planner, now := NewPlanner(), loopStart
	state := steps(planner, &now, 2, twoClasses(offered(600), offered(500))).Routes[0]
	require.InDelta(t, 0.5, state.Promised, 1e-9, "nothing was promised before the shortage")
	deeper := twoClasses(offered(750), offered(500))
	for range 4 {
		state = steps(planner, &now, 1, deeper).Routes[0]
		require.InDelta(t, 0.2, state.Fraction, 1e-9)
		require.InDelta(t, 0.5, state.Promised, 1e-9)
	}
	require.InDelta(t, 0.2, steps(planner, &now, 1, deeper).Routes[0].Promised, 1e-9)
}

// Guards against a surge after a change of the leader, whose totals are incomplete at first.
func TestANewLeaderContinuesWithTheFractionsOfTheView(t *testing.T) {
	before, now := NewPlanner(), loopStart
	short := twoClasses(offered(800), offered(500))
	outcome := steps(before, &now, 8, short)
	planner := NewPlanner()
	planner.Resume(loadview.View{Routes: outcome.Routes, Tenants: outcome.Tenants})
	resumed := steps(planner, &now, 1, Inputs{Routes: short.Routes, Slots: tens})
	require.InDelta(t, outcome.Routes[0].Fraction, resumed.Routes[0].Fraction, 1e-9)
	require.Equal(t, outcome.Routes[0].Since, resumed.Routes[0].Since)
	require.InDelta(t, outcome.Routes[0].Promised, resumed.Routes[0].Promised, 1e-9)
	resumed = steps(planner, &now, 2, short)
	require.InDelta(t, outcome.Routes[0].Fraction, resumed.Routes[0].Fraction, 1e-9)
	require.Empty(t, steps(planner, &now, 14, twoClasses(offered(100), offered(100))).Routes)
}

func TestRequestsAreSplitBetweenTargetsByWeight(t *testing.T) {
	planner, now := NewPlanner(), loopStart
	in := twoClasses(offered(2000), loadview.RouteDemand{})
	in.Routes[1].Shards, in.Routes[1].Targets = nil, []routing.Target{{Service: "s", Weight: 3}, {Service: "other", Weight: 1}}
	state := steps(planner, &now, 2, in).Routes[0]
	require.InDelta(t, 850.0/1500, state.Fraction, 1e-9)
	require.Equal(t, "s", state.Bottleneck)
}

func TestInputsOfADocument(t *testing.T) {
	document := &routing.Document{
		Routes:  []routing.Route{{Name: "a", Priority: 2, Target: time.Second, Shards: []string{"s"}, LeastShare: 0.9}, {Name: "b", Targets: []routing.Target{{Service: "t", Weight: 1}}}},
		Tenants: []routing.Tenant{{Name: "x", Rate: 5}, {Name: "y"}},
	}
	require.Equal(t, []RouteInput{gathering("a", 2, 0.9, "s"), {Name: "b", Targets: []routing.Target{{Service: "t", Weight: 1}}}}, RouteInputs(document))
	require.Equal(t, map[string]float64{"x": 5, "y": 0}, TenantRates(document))
	require.Nil(t, TenantRates(&routing.Document{}))
}

// Guards against plans whose cost or size grows with all services instead of the short ones.
func TestThePlanNamesOnlyShortRoutes(t *testing.T) {
	for _, count := range []int{135, 270} {
		in := Inputs{Totals: loadview.Totals{Routes: map[string]loadview.RouteDemand{}}, Slots: tens}
		var shards []string
		for index := range count {
			shards = append(shards, fmt.Sprint("shard-", index))
			single := fmt.Sprint("single-", index)
			in.Routes = append(in.Routes, gathering(single, 1, 1, shards[index]))
			in.Totals.Routes[single] = offered(100)
		}
		in.Routes = append(in.Routes, gathering("all", 0, 1, shards...))
		in.Totals.Routes["all"] = offered(500)
		in.Totals.Routes["single-3"] = offered(900)
		planner, now := NewPlanner(), loopStart
		outcome := steps(planner, &now, 4, in)
		require.Len(t, outcome.Routes, 1)
		require.Equal(t, "single-3", outcome.Routes[0].Route)
		require.Len(t, planner.entries, 1)
		require.Len(t, planner.excesses, 1)
	}
}
