package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRouterSummaryIsComputedAtABoundedRate has fleets of different sizes start at once, each
// call being a change for all other routers: the number of summaries computed does not grow
// with the fleet.
func TestRouterSummaryIsComputedAtABoundedRate(t *testing.T) {
	computations := map[int]int{}
	for _, routers := range []int{30, 300, 3000} {
		table, cache, now := make(routerTable), summaryCache{}, time.Unix(1000, 0)
		const over = time.Second
		for number := range routers {
			now = now.Add(over / time.Duration(routers))
			router := Router{Name: fmt.Sprintf("r%05d", number), Address: "a:1"}
			if table.recordCall(now, sharedRouter{Router: router}, true) {
				cache.invalidate()
			}
			cache.current(now, table)
		}
		computations[routers] = cache.computations
		require.LessOrEqual(t, cache.computations, int(over/summaryMinInterval)+1)
		now = now.Add(summaryMinInterval)
		require.Equal(t, routers, cache.current(now, table).count, "all are included eventually")
		require.Len(t, cache.current(now, table).routers, routers)
	}
	require.LessOrEqual(t, computations[3000], 2*computations[30])
}

func TestSilentRouterBecomesAbsentWithoutAReport(t *testing.T) {
	table, cache, now := make(routerTable), summaryCache{}, time.Unix(1000, 0)
	table.recordCall(now, sharedRouter{Router: Router{Name: "a", Address: "a:1"}}, true)
	require.Empty(t, cache.current(now, table).absent)
	now = now.Add(routerLiveness + summaryMaxAge)
	require.Equal(t, []string{"a"}, cache.current(now, table).absent)
}
