package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestDemandRisesAtOnceAndFallsLate keeps the step while demand varies below it, so that the
// routers that gather a shard stay the same, and follows a rise at once.
func TestDemandRisesAtOnceAndFallsLate(t *testing.T) {
	start := time.Unix(1000, 0)
	var tracked demand
	require.Zero(t, tracked.update(start, 0))
	require.Equal(t, 4096.0, tracked.update(start.Add(time.Second), 3000))
	require.Equal(t, 8192.0, tracked.update(start.Add(2*time.Second), 4097))
	for second := 3; second < 15; second++ {
		require.Equal(t, 8192.0, tracked.update(start.Add(time.Duration(second)*time.Second), 10))
	}
	require.Equal(t, 8192.0, tracked.update(start.Add(16*time.Second), 5000), "demand rose again")
	require.Equal(t, 8192.0, tracked.update(start.Add(31*time.Second), 1000))
	require.Equal(t, 1024.0, tracked.update(start.Add(32*time.Second), 1000))
}

// TestDemandIsNeverBelowTheCountedRate draws random rates: the step covers each of them, and is
// at most twice the highest one within the hold time.
func TestDemandIsNeverBelowTheCountedRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracked demand
		now := time.Unix(1000, 0)
		type count struct {
			at    time.Time
			calls float64
		}
		var counts []count
		for range rapid.IntRange(1, 60).Draw(t, "counts") {
			step := time.Duration(rapid.IntRange(1, 4000).Draw(t, "step")) * time.Millisecond
			now = now.Add(step)
			calls := rapid.Float64Range(0, 50_000).Draw(t, "calls")
			counts = append(counts, count{now, calls})
			level := tracked.update(now, calls)
			require.GreaterOrEqual(t, level, calls*(1-1e-9))
			most := 1.0
			for _, earlier := range counts {
				if now.Sub(earlier.at) <= demandHold+4*time.Second {
					most = max(most, earlier.calls)
				}
			}
			require.LessOrEqual(t, level, demandStep*most)
		}
	})
}

// TestCallRatesOfLiveRoutersAddUp sums the call rates of live routers, whichever node received
// them.
func TestCallRatesOfLiveRoutersAddUp(t *testing.T) {
	start := time.Unix(1000, 0)
	table := make(routerTable)
	require.True(t, table.recordCall(start, sharedRouter{Router: Router{Name: "silent"}, Calls: 1000}, true))
	now := start.Add(routerLiveness + time.Millisecond)
	table.recordCall(now, sharedRouter{Router: Router{Name: "here"}, Calls: 20}, true)
	table.recordCall(now, sharedRouter{Router: Router{Name: "elsewhere"}, Calls: 3}, false)
	require.False(t, table.recordCall(now, sharedRouter{Router: Router{Name: "here"}, Calls: 21}, true), "a changed call rate does not change the listed router")
	require.Equal(t, 24.0, table.calls(now))
}
