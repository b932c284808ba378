package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// TestExtraAttemptsOfAllRoutersStayWithinTheBudget runs several routers, some of which
// restart, against servers that never answer, and checks the limit in every window.
func TestExtraAttemptsOfAllRoutersStayWithinTheBudget(t *testing.T) {
	const window = 10 * time.Second
	limits := scatter.BudgetLimits{Ratio: 0.2, Slack: 56}
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 12).Draw(t, "routers")
		route := singleRoute(true)
		route.Timeout = 400 * time.Millisecond
		gatherers := rapid.IntRange(0, routers).Draw(t, "gatherers")
		start := func(index int) *harness {
			h := newHarness(t, limits)
			h.step(scatter.RoutersChanged{Count: routers})
			h.step(scatter.GatherersChanged{Gatherers: map[string]scatter.Gatherers{
				"s": {Count: gatherers, Self: index < gatherers},
			}})
			h.servers("s", 3)
			return h
		}
		fleet := make([]*harness, routers)
		for index := range fleet {
			fleet[index] = start(index)
		}
		var firsts, extras []time.Duration
		restarted := rapid.IntRange(0, 60).Draw(t, "restarted")
		for tick := range 80 {
			at := time.Duration(tick) * 250 * time.Millisecond
			for index, router := range fleet {
				if tick == restarted {
					router = start(index)
					router.now = origin.Add(at)
					fleet[index] = router
				}
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					router.arrive(route)
				}
				router.advance(250 * time.Millisecond)
				for _, send := range router.take() {
					if send.Extra {
						extras = append(extras, at)
					} else {
						firsts = append(firsts, at)
					}
					router.end(send, failure(scatter.TimedOut, verdict.MayHaveRun))
				}
			}
		}
		for tick := range 80 {
			from := time.Duration(tick) * 250 * time.Millisecond
			allowed := limits.Ratio*float64(within(firsts, from, window)) + limits.Slack
			require.LessOrEqual(t, float64(within(extras, from, window)), allowed, "window from %v", from)
		}
	})
}

func within(times []time.Duration, from, length time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= from && at < from+length {
			count++
		}
	}
	return count
}

// TestGatherersGetALargerShareOfTheBudget checks that routers which normally send to a shard
// get more than an equal share of its budget.
func TestGatherersGetALargerShareOfTheBudget(t *testing.T) {
	const routers, gatherers = 16, 4
	hedges := func(self bool) int {
		h := newHarness(t, scatter.BudgetLimits{Ratio: 0.2, Slack: 56})
		h.step(scatter.RoutersChanged{Count: routers})
		h.step(scatter.GatherersChanged{Gatherers: map[string]scatter.Gatherers{"s": {Count: gatherers, Self: self}}})
		h.servers("s", 8)
		h.arrive(singleRoute(true))
		h.take()
		h.advance(limitsWindow)
		h.take()
		for range 8 {
			h.arrive(singleRoute(true))
		}
		h.advance(500 * time.Millisecond)
		extras := 0
		for _, send := range h.take() {
			if send.Extra {
				extras++
			}
		}
		return extras
	}
	require.GreaterOrEqual(t, hedges(true), 3)
	require.LessOrEqual(t, hedges(false), 2)
}

// TestConnectionsAreSharedByGatherers checks that a few gatherers may use the connections that
// a server accepts.
func TestConnectionsAreSharedByGatherers(t *testing.T) {
	inFlight := func(gatherers scatter.Gatherers) int {
		h := newHarness(t, ampleBudget)
		h.step(scatter.RoutersChanged{Count: 64})
		h.step(scatter.DocumentChanged{Services: []routing.Service{{Name: "s", MaxConnections: 54}}})
		h.step(scatter.GatherersChanged{Gatherers: map[string]scatter.Gatherers{"s": gatherers}})
		h.servers("s", 1)
		for range 10 {
			h.arrive(singleRoute(false))
		}
		return len(h.take())
	}
	require.Equal(t, 3, inFlight(scatter.Gatherers{Count: 12, Self: true}))
	require.Equal(t, 1, inFlight(scatter.Gatherers{Count: 12}))
	require.Equal(t, 1, inFlight(scatter.Gatherers{}))
}

const limitsWindow = scatter.DefaultBudgetWindow
