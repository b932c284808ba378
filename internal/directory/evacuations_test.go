package directory_test

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/routing"
)

// evacuated reports whether a router that follows a node is told of just these zones.
func evacuated(zones ...string) func(*runningNode) bool {
	return func(node *runningNode) bool {
		reply, err := node.Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
		return err == nil && strings.Join(reply.Evacuated, " ") == strings.Join(zones, " ")
	}
}

// order sends an order of an operator until some node acknowledges it.
func (c *cluster) order(zone string, ended bool) {
	c.t.Helper()
	c.eventually("no node acknowledges the order", func(node *runningNode) bool {
		return node.Evacuate(context.Background(), zone, ended, "10.0.0.9:1") == nil
	})
}

func TestEvacuationIsToldToRoutersEverywhere(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll(true)
	c.order("b", false)
	c.order("a", false)
	c.everywhere("not told", evacuated("a", "b"))
	c.order("a", false)
	c.order("b", true)
	c.order("b", true)
	c.everywhere("not taken back", evacuated("a"))
	c.order("never evacuated", true)
	c.everywhere("changed", evacuated("a"))
	list, err := directory.ListEvacuations(context.Background(), c.addresses[0])
	require.NoError(t, err)
	require.EqualValues(t, 3, list.Revision)
	held := list.Evacuated
	require.Len(t, held, 1)
	require.Equal(t, "10.0.0.9:1", held[0].By)
	require.False(t, held[0].At.IsZero())

	var invalid *routing.InvalidError
	require.ErrorAs(t, c.nodes[0].Evacuate(context.Background(), "", false, ""), &invalid)
	require.ErrorAs(t, c.nodes[0].Evacuate(context.Background(), strings.Repeat("z", 300), false, ""), &invalid)
}

func TestEvacuationOutlivesTheLossOfTwoDisks(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	c.everywhere("not five voters", c.hasVoters(0, 1, 2, 3, 4))
	c.order("a", false)
	for index := range c.nodes {
		c.stop(index)
	}
	c.wipe(0)
	c.wipe(1)
	c.startAll(false)
	c.everywhere("lost", evacuated("a"))
}

// TestRouterIsNotToldOfOlderEvacuations has a router that holds the newest list ask again:
// it is told only of a later one, whichever node it asks.
func TestRouterIsNotToldOfOlderEvacuations(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll(true)
	c.order("a", false)
	c.order("a", true)
	ctx, node := context.Background(), c.nodes[0]
	first, err := node.Follow(ctx, directory.FollowRequest{Router: directory.Router{Name: "g"}})
	require.NoError(t, err)
	require.Empty(t, first.Evacuated)
	require.EqualValues(t, 2, first.Evacuations)
	known := directory.FollowRequest{Router: directory.Router{Name: "g"}, Evacuations: 1}
	again, err := node.Follow(ctx, known)
	require.NoError(t, err)
	require.EqualValues(t, 2, again.Evacuations)
}

func TestMinorityDoesNotAcknowledgeAnEvacuation(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll(true)
	c.put(document(1, "kept"))
	c.everywhere("not three voters", c.hasVoters(0, 1, 2))
	c.stop(0)
	c.stop(1)
	c.eventually("a leader without a quorum goes on", func(node *runningNode) bool {
		_, _, err := node.Read(context.Background())
		return err != nil
	})
	require.ErrorIs(t, c.nodes[2].Evacuate(context.Background(), "a", false, "x"), directory.ErrUnavailable)
}
