package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// TestATableIsTakenOverOnce asks a node again and again for its table, as nodes do
// that have just started: only the first answer is the whole.
func TestATableIsTakenOverOnce(t *testing.T) {
	node := &Node{registry: registry.New(time.Minute, time.Minute), routers: routerTable{}, source: "start-1"}
	report := func(id string) {
		node.registry.Report(time.Now(), registry.Instance{ID: id, Service: "s", Address: id, State: registry.Ready, Sequence: 1})
	}
	report("i1")
	report("i2")
	first := node.table(tablePosition{})
	require.Len(t, first.Instances, 2)
	require.Empty(t, node.table(first.Position).Instances)
	report("i3")
	news := node.table(first.Position)
	require.Len(t, news.Instances, 1)
	require.Equal(t, "i3", news.Instances[0].ID)
	require.Len(t, node.table(tablePosition{Source: "start-0", Revision: news.Position.Revision}).Instances, 3,
		"the position is that of an earlier start")
}

// TestFirstServersTellWhetherNamesAreKept guards against a departure that is acknowledged and binds no
// start, because the first servers that a node hears of after its start name no time of start.
func TestFirstServersTellWhetherNamesAreKept(t *testing.T) {
	node := &Node{registry: registry.New(time.Minute, time.Minute), routers: routerTable{}}
	node.registry.Report(steadyclock.Now(), registry.Instance{ID: "bare", Address: "10.0.0.1:1", State: registry.Ready})
	require.False(t, node.knows("i1"))
	require.True(t, node.knows("bare"))
	node.settled = true
	require.True(t, node.knows("i1"), "no server names its time of start")
}
