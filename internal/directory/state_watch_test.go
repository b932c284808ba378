package directory_test

import (
	"context"
	"testing"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/registry"
)

// follower returns the index of a node that does not lead.
func (c *cluster) follower() int {
	c.t.Helper()
	found := -1
	c.eventually("no node follows a leader", func(node *runningNode) bool {
		found = lo.IndexOf(c.nodes, node)
		return node.Follows()
	})
	return found
}

// hasLogged reports whether a node logged a message.
func (c *cluster) hasLogged(index int, message string) bool {
	return lo.ContainsBy(c.logged[index].AllEntries(), func(entry *logrus.Entry) bool { return entry.Message == message })
}

// TestNodeBehindTheLogLogsItsState stalls the disk of a node while a server departs: the node
// logs that its state is behind and the cause, and later that it has caught up.
func TestNodeBehindTheLogLogsItsState(t *testing.T) {
	c := newCluster(t, 3)
	c.losses = 1
	c.startAll(true)
	c.put(document(1, "first"))
	slow := c.follower()
	other := (slow + 1) % len(c.nodes)
	require.NoError(t, c.nodes[other].Heartbeat(context.Background(), instance("i1", "s", registry.Ready, 1)))
	release := c.disks[slow].Stall()
	defer release()
	require.NoError(t, c.nodes[other].Depart(context.Background(), "i1", 0))
	c.eventually("nothing is logged", func(*runningNode) bool { return c.hasLogged(slow, "state_behind") })
	logged, _ := lo.Find(c.logged[slow].AllEntries(), func(entry *logrus.Entry) bool { return entry.Message == "state_behind" })
	require.Equal(t, "disk_slow", logged.Data["cause"])
	require.False(t, c.hasLogged(slow, "departures_applied"))
	release()
	c.eventually("not caught up", func(*runningNode) bool {
		return c.hasLogged(slow, "state_caught_up") && c.hasLogged(slow, "departures_applied")
	})
}
