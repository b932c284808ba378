package scatter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/slicing"
	"github.com/martenstage/martenstage/internal/verdict"
)

// fleetTick is the step of time of a simulated fleet.
const fleetTick = 250 * time.Millisecond

// fleetRouter is one router of a simulated fleet.
type fleetRouter struct {
	slicing.Router
	engine *harness
	// frozen is how many more ticks it does nothing; learns how many ticks it takes until
	// it has the newest layout.
	frozen int
	learns int
}

// fleet is routers of one zone that gather one shard whose servers never answer.
type fleet struct {
	limits  scatter.BudgetLimits
	routers []*fleetRouter
	calls   float64
	firsts  []time.Duration
	extras  []time.Duration
}

func newFleet(t reporter, count int, limits scatter.BudgetLimits) *fleet {
	made := &fleet{limits: limits}
	for number := range count {
		router := &fleetRouter{Router: slicing.Router{Name: fmt.Sprintf("r%02d", number), Zone: "a"}, engine: newHarness(t, limits)}
		router.engine.step(scatter.RoutersCounted{Count: count})
		router.engine.servers("s", 3)
		made.routers = append(made.routers, router)
	}
	return made
}

// layout is who gathers as a router sees it, which knows who is frozen.
func (f *fleet) layout(self slicing.Router) *slicing.Layout {
	site := slicing.Site{Zones: func(string) []string { return []string{"a"} }, Calls: f.calls}
	for _, router := range f.routers {
		listed := router.Router
		listed.Absent = router.frozen > 0
		site.Routers = append(site.Routers, listed)
	}
	return slicing.NewLayout(self, []string{"s"}, site)
}

// tick has requests arrive at the routers that gather, and lets time pass.
func (f *fleet) tick(number, requests int) {
	at := time.Duration(number) * fleetTick
	asker := f.layout(slicing.Router{Name: "asker", Zone: "b"})
	for request := range requests {
		asked := asker.Assign(fmt.Sprint(number, "/", request), []string{"s"})[0].Router
		for _, router := range f.routers {
			if router.Name == asked.Name {
				router.engine.arrive(gatherRoute("s"))
			}
		}
	}
	for _, router := range f.routers {
		if router.frozen > 0 {
			router.frozen--
			continue
		}
		f.run(router, at)
	}
}

func (f *fleet) run(router *fleetRouter, at time.Duration) {
	if router.learns--; router.learns < 0 {
		counted := f.layout(router.Router).Gatherers()["s"]
		router.engine.step(scatter.GatherersCounted{Gatherers: map[string]scatter.Gatherers{"s": scatter.Gatherers(counted)}})
	}
	router.engine.advance(origin.Add(at + fleetTick).Sub(router.engine.now))
	for _, send := range router.engine.take() {
		if send.Extra {
			f.extras = append(f.extras, at)
		} else {
			f.firsts = append(f.firsts, at)
		}
		router.engine.end(send, failure(scatter.TimedOut, verdict.MayHaveRun))
	}
}

// TestBudgetHoldsWhileGatherersComeAndGo has the number of gatherers follow changing calls,
// which routers learn one after the other, and routers freeze while others stand in: over
// any window the extra attempts of all stay within the budget.
func TestBudgetHoldsWhileGatherersComeAndGo(t *testing.T) {
	const window = scatter.DefaultBudgetWindow
	rapid.Check(t, func(t *rapid.T) {
		limits := scatter.BudgetLimits{Ratio: 0.2, Slack: rapid.SampledFrom([]float64{56, 160, 630}).Draw(t, "slack")}
		made := newFleet(t, rapid.IntRange(3, 16).Draw(t, "routers"), limits)
		const ticks = 100
		for number := range ticks {
			if rapid.IntRange(0, 15).Draw(t, "change") == 0 {
				made.calls = rapid.SampledFrom([]float64{0, 128, 256, 512, 1024, 2048}).Draw(t, "calls")
				for _, router := range made.routers {
					router.learns = rapid.IntRange(0, 8).Draw(t, "learns")
				}
			}
			if rapid.IntRange(0, 11).Draw(t, "freeze") == 0 {
				made.routers[rapid.IntRange(0, len(made.routers)-1).Draw(t, "router")].frozen = rapid.IntRange(1, 16).Draw(t, "ticks")
			}
			made.tick(number, rapid.IntRange(0, 6).Draw(t, "requests"))
		}
		for number := range ticks {
			from := time.Duration(number) * fleetTick
			allowed := limits.Ratio*float64(within(made.firsts, from, window)) + limits.Slack
			require.LessOrEqual(t, float64(within(made.extras, from, window)), allowed, "window from %v", from)
		}
	})
}
