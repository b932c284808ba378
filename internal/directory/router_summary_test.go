package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRoutersAreSummedUpOnceForAll has whole fleets start at once and ask, each call being news
// for all others: how often they are summed up does not grow with their number.
func TestRoutersAreSummedUpOnceForAll(t *testing.T) {
	made := map[int]int{}
	for _, routers := range []int{30, 300, 3000} {
		table, keeper, now := make(routerTable), summaryKeeper{}, time.Unix(1000, 0)
		const over = time.Second
		for number := range routers {
			now = now.Add(over / time.Duration(routers))
			router := Router{Name: fmt.Sprintf("r%05d", number), Address: "a:1"}
			if table.report(now, sharedRouter{Router: router}, true) {
				keeper.change()
			}
			keeper.current(now, table)
		}
		made[routers] = keeper.made
		require.LessOrEqual(t, keeper.made, int(over/summaryLeast)+1)
		now = now.Add(summaryLeast)
		require.Equal(t, routers, keeper.current(now, table).count, "all are told in the end")
		require.Len(t, keeper.current(now, table).routers, routers)
	}
	require.LessOrEqual(t, made[3000], 2*made[30])
}

func TestARouterThatGrowsSilentIsNoticedWithoutAReport(t *testing.T) {
	table, keeper, now := make(routerTable), summaryKeeper{}, time.Unix(1000, 0)
	table.report(now, sharedRouter{Router: Router{Name: "a", Address: "a:1"}}, true)
	require.Empty(t, keeper.current(now, table).absent)
	now = now.Add(routerLiveness + summaryMost)
	require.Equal(t, []string{"a"}, keeper.current(now, table).absent)
}
