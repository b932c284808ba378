package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// TestTableIsTransferredOnce requests a node's table repeatedly, as nodes do that have just
// started: only the first reply is the complete table.
func TestTableIsTransferredOnce(t *testing.T) {
	node := &Node{registry: registry.New(time.Minute, time.Minute), routers: routerTable{}, source: "start-1"}
	report := func(id string) {
		node.registry.Report(time.Now(), registry.Instance{ID: id, Service: "s", Address: id, State: registry.Ready, Sequence: 1})
	}
	report("i1")
	report("i2")
	first := node.tableSince(tablePosition{})
	require.Len(t, first.Instances, 2)
	require.Empty(t, node.tableSince(first.Position).Instances)
	report("i3")
	update := node.tableSince(first.Position)
	require.Len(t, update.Instances, 1)
	require.Equal(t, "i3", update.Instances[0].ID)
	require.Len(t, node.tableSince(tablePosition{Source: "start-0", Revision: update.Position.Revision}).Instances, 3,
		"the position is that of an earlier start")
}

// TestServersBeforeSettlingDoNotShowWhetherNamesAreKept guards against acknowledging a
// departure that applies to no start, because the first servers reported to a node after its
// start name no time of start.
func TestServersBeforeSettlingDoNotShowWhetherNamesAreKept(t *testing.T) {
	node := &Node{registry: registry.New(time.Minute, time.Minute), routers: routerTable{}}
	node.registry.Report(steadyclock.Now(), registry.Instance{ID: "bare", Address: "10.0.0.1:1", State: registry.Ready})
	require.False(t, node.knowsServer("i1"))
	require.True(t, node.knowsServer("bare"))
	node.settled = true
	require.True(t, node.knowsServer("i1"), "no server names its time of start")
}

// TestChangesWakeAllRoutersTooOften guards against notifications whose calls grow with routers
// times changes: changes come all the time, and all routers wait again at once.
func TestChangesWakeAllRoutersTooOften(t *testing.T) {
	for _, routers := range []int64{1, 98, 500, 2000, 10_000} {
		var limit notifyLimit
		start := time.Unix(1000, 0)
		now, woken := start, int64(0)
		for now.Sub(start) < 10*time.Second {
			now = now.Add(limit.delay(now))
			limit.notified(now, routers)
			woken += routers
		}
		require.LessOrEqual(t, woken, 10*maxNotifiedPerSecond+2*routers, "%d routers", routers)
		require.LessOrEqual(t, woken/routers, int64(10*time.Second/minNotifyDelay)+1)
	}
}
