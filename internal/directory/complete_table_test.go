package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// newTableNode returns a node that only holds a table of servers.
func newTableNode(servers int) *Node {
	node := &Node{
		registry: registry.New(time.Minute, time.Minute), metrics: newMetrics(prometheus.NewRegistry()), source: "start-1",
	}
	for number := range servers {
		reportServer(node, number, 1)
	}
	return node
}

func reportServer(node *Node, number int, sequence uint64) {
	node.registry.Report(steadyclock.Now(), registry.Instance{
		ID: fmt.Sprintf("i-%d", number), Service: "s", Address: fmt.Sprintf("10.%d.%d.1:1", number/200, number%200), State: registry.Ready, Sequence: sequence, Slots: int(sequence),
	})
}

// TestTableEncodingsGrowWithRouters guards against encodings that grow with the number of
// routers or, while all servers change, with the square of the number of servers.
func TestTableEncodingsGrowWithRouters(t *testing.T) {
	for _, servers := range []int{500, 2000} {
		node := newTableNode(servers)
		for range 1000 {
			_, err := node.completeTable()
			require.NoError(t, err)
		}
		require.EqualValues(t, 1, node.calls.take().encoded)
		for number := range servers {
			reportServer(node, number, 2)
			_, err := node.completeTable()
			require.NoError(t, err)
		}
		require.LessOrEqual(t, node.calls.take().encoded, uint64(tableChangeShare), "%d servers", servers)
	}
}

// TestRouterMissesAChangeAfterTheTable guards against an old encoded table whose changes a
// router does not get with its next call.
func TestRouterMissesAChangeAfterTheTable(t *testing.T) {
	node := newTableNode(100)
	encoded, err := node.completeTable()
	require.NoError(t, err)
	reportServer(node, 100, 1)
	again, err := node.completeTable()
	require.NoError(t, err)
	require.Same(t, encoded, again)
	request := FollowRequest{SeparateTable: true, Source: node.source, TableSource: node.source, Revision: again.revision}
	var reply FollowReply
	node.addInstances(&reply, steadyclock.Now(), request)
	require.Len(t, reply.Instances, 1)
	require.False(t, reply.TableOmitted)
	require.False(t, reply.Complete)

	node.settled = true
	settled, err := node.completeTable()
	require.NoError(t, err)
	require.NotSame(t, encoded, settled, "only a settled table tells which servers are gone")
}

// TestTableIsSentWithOtherUpdates guards against a long table in the reply that carries
// documents, and against a router of the previous release that gets no table.
func TestTableIsSentWithOtherUpdates(t *testing.T) {
	node := newTableNode(100)
	for _, request := range []FollowRequest{
		{SeparateTable: true},
		{SeparateTable: true, Source: node.source, TableSource: "start-0", Revision: 3},
	} {
		var reply FollowReply
		node.addInstances(&reply, steadyclock.Now(), request)
		require.Empty(t, reply.Instances)
		require.True(t, reply.TableOmitted)
	}
	var reply FollowReply
	node.addInstances(&reply, steadyclock.Now(), FollowRequest{Source: "start-0", Revision: 3})
	require.Len(t, reply.Instances, 100)
	require.True(t, reply.Complete)
}
