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

// fleetTick is the time step of a simulated fleet.
const fleetTick = 250 * time.Millisecond

// fleetRouter is one router of a simulated fleet.
type fleetRouter struct {
	slicing.Router
	engine *harness
	// frozen is for how many more ticks the router does nothing; layoutDelay is how many ticks
	// pass until it has the newest layout.
	frozen      int
	layoutDelay int
}

// fleet is a set of routers in one zone that gather one shard whose servers never answer.
type fleet struct {
	limits  scatter.BudgetLimits
	routers []*fleetRouter
	calls   float64
	firsts  []time.Duration
	extras  []time.Duration
}

func newFleet(t reporter, count int, limits scatter.BudgetLimits) *fleet {
	fl := &fleet{limits: limits}
	for number := range count {
		router := &fleetRouter{Router: slicing.Router{Name: fmt.Sprintf("r%02d", number), Zone: "a"}, engine: newHarness(t, limits)}
		router.engine.step(scatter.RoutersChanged{Count: count})
		router.engine.servers("s", 3)
		fl.routers = append(fl.routers, router)
	}
	return fl
}

// layout returns the layout as a router sees it that knows which routers are frozen.
func (f *fleet) layout(self slicing.Router) *slicing.Layout {
	site := slicing.Inputs{Zones: func(string) []string { return []string{"a"} }, Calls: f.calls}
	for _, router := range f.routers {
		listed := router.Router
		listed.Unavailable = router.frozen > 0
		site.Routers = append(site.Routers, listed)
	}
	return slicing.NewLayout(self, []string{"s"}, site)
}

// tick submits requests to the routers that gather, and advances the time.
func (f *fleet) tick(number, requests int) {
	at := time.Duration(number) * fleetTick
	requester := f.layout(slicing.Router{Name: "asker", Zone: "b"})
	for request := range requests {
		assigned := requester.Assign(fmt.Sprint(number, "/", request), []string{"s"})[0].Router
		for _, router := range f.routers {
			if router.Name == assigned.Name {
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
	if router.layoutDelay--; router.layoutDelay < 0 {
		counted := f.layout(router.Router).Gatherers()["s"]
		router.engine.step(scatter.GatherersChanged{Gatherers: map[string]scatter.Gatherers{"s": scatter.Gatherers(counted)}})
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

// TestBudgetHoldsWhileGatherersChange changes the number of gatherers, which routers learn one
// after the other, and freezes routers while others act as backups: in any window the extra
// attempts of all routers stay within the budget.
func TestBudgetHoldsWhileGatherersChange(t *testing.T) {
	const window = scatter.DefaultBudgetWindow
	rapid.Check(t, func(t *rapid.T) {
		limits := scatter.BudgetLimits{Ratio: 0.2, Slack: rapid.SampledFrom([]float64{56, 160, 630}).Draw(t, "slack")}
		fl := newFleet(t, rapid.IntRange(3, 16).Draw(t, "routers"), limits)
		const ticks = 100
		for number := range ticks {
			if rapid.IntRange(0, 15).Draw(t, "change") == 0 {
				fl.calls = rapid.SampledFrom([]float64{0, 128, 256, 512, 1024, 2048}).Draw(t, "calls")
				for _, router := range fl.routers {
					router.layoutDelay = rapid.IntRange(0, 8).Draw(t, "learns")
				}
			}
			if rapid.IntRange(0, 11).Draw(t, "freeze") == 0 {
				fl.routers[rapid.IntRange(0, len(fl.routers)-1).Draw(t, "router")].frozen = rapid.IntRange(1, 16).Draw(t, "ticks")
			}
			fl.tick(number, rapid.IntRange(0, 6).Draw(t, "requests"))
		}
		for number := range ticks {
			from := time.Duration(number) * fleetTick
			allowed := limits.Ratio*float64(within(fl.firsts, from, window)) + limits.Slack
			require.LessOrEqual(t, float64(within(fl.extras, from, window)), allowed, "window from %v", from)
		}
	})
}
