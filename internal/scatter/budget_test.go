package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// TestExtraAttemptsOfAllRoutersStayWithinTheBudget drives several routers, some
// of which are started again, against servers that never answer, and looks at
// every window.
func TestExtraAttemptsOfAllRoutersStayWithinTheBudget(t *testing.T) {
	const window = 10 * time.Second
	limits := scatter.BudgetLimits{Ratio: 0.2, Slack: 56}
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 12).Draw(t, "routers")
		route := singleRoute(true)
		route.Timeout = 400 * time.Millisecond
		start := func() *harness {
			h := newHarness(t, limits)
			h.step(scatter.RoutersCounted{Count: routers})
			h.servers("s", 3)
			return h
		}
		fleet := make([]*harness, routers)
		for index := range fleet {
			fleet[index] = start()
		}
		var firsts, extras []time.Duration
		restarted := rapid.IntRange(0, 60).Draw(t, "restarted")
		for tick := range 80 {
			at := time.Duration(tick) * 250 * time.Millisecond
			for index, router := range fleet {
				if tick == restarted {
					router = start()
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
