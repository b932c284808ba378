package directory_test

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/routing"
)

// evacuated reports whether a node reports exactly these zones to a router.
func evacuated(zones ...string) func(*runningNode) bool {
	return func(node *runningNode) bool {
		reply, err := node.Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
		return err == nil && strings.Join(reply.Evacuated, " ") == strings.Join(zones, " ")
	}
}

// sendEvacuation sends an operator's order until some node acknowledges it.
func (c *cluster) sendEvacuation(zone string, ended bool) {
	c.t.Helper()
	c.eventually("no node acknowledges the order", func(node *runningNode) bool {
		return node.Evacuate(context.Background(), zone, ended, "10.0.0.9:1") == nil
	})
}

func TestEvacuationIsReportedByAllNodes(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll(true)
	c.sendEvacuation("b", false)
	c.sendEvacuation("a", false)
	c.eventuallyEverywhere("not reported", evacuated("a", "b"))
	c.sendEvacuation("a", false)
	c.sendEvacuation("b", true)
	c.sendEvacuation("b", true)
	c.eventuallyEverywhere("not ended", evacuated("a"))
	c.sendEvacuation("never evacuated", true)
	c.eventuallyEverywhere("changed", evacuated("a"))
	list, err := directory.ListEvacuations(context.Background(), c.addresses[0])
	require.NoError(t, err)
	require.EqualValues(t, 3, list.Revision)
	zones := list.Evacuated
	require.Len(t, zones, 1)
	require.Equal(t, "10.0.0.9:1", zones[0].By)
	require.False(t, zones[0].At.IsZero())

	var invalid *routing.InvalidError
	require.ErrorAs(t, c.nodes[0].Evacuate(context.Background(), "", false, ""), &invalid)
	require.ErrorAs(t, c.nodes[0].Evacuate(context.Background(), strings.Repeat("z", 300), false, ""), &invalid)
}

func TestEvacuationSurvivesTheLossOfTwoDisks(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	c.eventuallyEverywhere("not five voters", c.hasVoters(0, 1, 2, 3, 4))
	c.sendEvacuation("a", false)
	for index := range c.nodes {
		c.stop(index)
	}
	c.wipe(0)
	c.wipe(1)
	c.startAll(false)
	c.eventuallyEverywhere("lost", evacuated("a"))
}

// TestFollowOmitsOlderEvacuations has a router that holds an older list ask again: it gets only
// the newer one.
func TestFollowOmitsOlderEvacuations(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll(true)
	c.sendEvacuation("a", false)
	c.sendEvacuation("a", true)
	ctx, node := context.Background(), c.nodes[0]
	first, err := node.Follow(ctx, directory.FollowRequest{Router: directory.Router{Name: "g"}})
	require.NoError(t, err)
	require.Empty(t, first.Evacuated)
	require.EqualValues(t, 2, first.EvacuationRevision)
	known := directory.FollowRequest{Router: directory.Router{Name: "g"}, EvacuationRevision: 1}
	again, err := node.Follow(ctx, known)
	require.NoError(t, err)
	require.EqualValues(t, 2, again.EvacuationRevision)
}

func TestMinorityDoesNotAcknowledgeAnEvacuation(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll(true)
	c.put(document(1, "kept"))
	c.eventuallyEverywhere("not three voters", c.hasVoters(0, 1, 2))
	c.stop(0)
	c.stop(1)
	c.eventually("a leader without a quorum still answers", func(node *runningNode) bool {
		_, _, err := node.Read(context.Background())
		return err != nil
	})
	require.ErrorIs(t, c.nodes[2].Evacuate(context.Background(), "a", false, "x"), directory.ErrUnavailable)
}
