package directory_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/routing"
)

func TestSeedsFormAGroupThatOthersJoin(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.eventuallyEverywhere("not five voters", c.hasVoters(0, 1, 2, 3, 4))
	c.put(document(1, "first"))
	c.eventuallyEverywhere("not read", c.reads(document(1, "first")))
}

func TestHighestVersionWins(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll(true)
	node := c.nodes[0]
	c.put(document(5, "five"))
	ctx := context.Background()
	require.NoError(t, node.Put(ctx, document(5, "five")), "repeated")
	require.NoError(t, node.Put(ctx, document(5, "other content under the held version")))
	require.NoError(t, node.Put(ctx, document(3, "an older one arrives once more")))
	_, text, err := node.Read(ctx)
	require.NoError(t, err)
	require.Equal(t, string(document(5, "five")), string(text))

	var invalid *routing.InvalidError
	require.ErrorAs(t, node.Put(ctx, []byte("no document")), &invalid)
	require.NoError(t, node.Put(ctx, document(9, "nine")))
	_, text, err = node.Read(ctx)
	require.NoError(t, err)
	require.Equal(t, string(document(9, "nine")), string(text))
}

func TestWhatWasAcknowledgedSurvivesTheLossOfTwoDisks(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	c.eventuallyEverywhere("not five voters", c.hasVoters(0, 1, 2, 3, 4))
	c.put(document(2, "kept"))
	for index := range c.nodes {
		c.stop(index)
	}
	c.wipe(0)
	c.wipe(1)
	c.startAll(false)
	c.eventuallyEverywhere("lost", c.reads(document(2, "kept")))
	c.eventuallyEverywhere("the wiped nodes are not voters again", c.hasVoters(0, 1, 2, 3, 4))
}

func TestNodeAtAnotherAddressReplacesAFailedVoter(t *testing.T) {
	c := newCluster(t, 6)
	for index := range 5 {
		c.start(index, true)
	}
	c.eventuallyEverywhere("not five voters", c.hasVoters(0, 1, 2, 3, 4))
	c.put(document(1, "kept"))
	c.stop(0)
	c.start(5, false)
	c.eventuallyEverywhere("not replaced", c.hasVoters(1, 2, 3, 4, 5))
	c.eventuallyEverywhere("not read", c.reads(document(1, "kept")))

	// The replaced node returns, and learns that it was removed.
	c.start(0, false)
	c.stop(1)
	c.eventuallyEverywhere("did not rejoin", c.hasVoters(0, 2, 3, 4, 5))
	c.eventuallyEverywhere("not read", c.reads(document(1, "kept")))
}

func TestMinorityNeitherAcknowledgesNorReads(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.eventuallyEverywhere("not five voters", c.hasVoters(0, 1, 2, 3, 4))
	c.put(document(1, "kept"))
	for index := range 3 {
		c.stop(index)
	}
	c.eventuallyEverywhere("a leader without a quorum still answers", func(node *runningNode) bool {
		_, _, err := node.Read(context.Background())
		return err != nil
	})
	ctx := context.Background()
	require.ErrorIs(t, c.nodes[3].Put(ctx, document(2, "not taken")), directory.ErrUnavailable)
	require.ErrorIs(t, c.nodes[4].Heartbeat(ctx, instance("i1", "s", registry.Leaving, 2)), directory.ErrUnavailable)
	require.NoError(t, c.nodes[4].Heartbeat(ctx, instance("i2", "s", registry.Ready, 2)))
	c.eventuallyEverywhere("routers get possibly stale state", func(node *runningNode) bool {
		_, err := node.Follow(ctx, directory.FollowRequest{Router: directory.Router{Name: "test"}})
		return err != nil
	})
}

func TestHeartbeatAtOneNodeIsKnownEverywhere(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll(true)
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, instance("i1", "s", registry.Ready, 1)))
	c.eventuallyEverywhere("not known", func(node *runningNode) bool { return stateAt(node, "i1") == registry.Ready })
	c.eventually("leaving is not acknowledged", func(node *runningNode) bool {
		return node.Heartbeat(ctx, instance("i1", "s", registry.Leaving, 2)) == nil
	})
	c.eventuallyEverywhere("leaving is not known", func(node *runningNode) bool { return stateAt(node, "i1") == registry.Leaving })
	require.NoError(t, c.nodes[1].Heartbeat(ctx, instance("i1", "s", registry.Ready, 9)))
	require.Equal(t, registry.Leaving, stateAt(c.nodes[1], "i1"), "leaving was reverted")
}

func TestDeparturesAndServersSurviveARestartOfAll(t *testing.T) {
	c := newCluster(t, 3)
	c.losses = 1
	c.startAll(true)
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, instance("i1", "s", registry.Ready, 1)))
	require.NoError(t, c.nodes[0].Heartbeat(ctx, instance("i2", "s", registry.Ready, 1)))
	c.eventually("not acknowledged", func(node *runningNode) bool { return node.Depart(ctx, "i2", 0) == nil })
	c.eventuallyEverywhere("not known", func(node *runningNode) bool { return stateAt(node, "i1") == registry.Ready })
	// The table is written with a delay.
	time.Sleep(time.Second)
	for index := range c.nodes {
		c.stop(index)
	}
	c.startAll(false)
	c.eventuallyEverywhere("a server is lost", func(node *runningNode) bool { return stateAt(node, "i1") == registry.Ready })
	c.eventuallyEverywhere("a departure is lost", func(node *runningNode) bool {
		reply, err := node.Follow(ctx, directory.FollowRequest{Router: directory.Router{Name: "test"}})
		return err == nil && len(reply.Departed) == 1 && reply.Departed[0] == "i2"
	})
}

func TestFollowReturnsOnlyChanges(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll(true)
	ctx := context.Background()
	c.put(document(1, "first"))
	node := c.nodes[0]
	first, err := node.Follow(ctx, directory.FollowRequest{Router: directory.Router{Name: "g"}})
	require.NoError(t, err)
	require.EqualValues(t, 1, first.Version)
	require.Equal(t, 1, first.RouterCount)
	known := directory.FollowRequest{
		Router: directory.Router{Name: "g"}, Version: first.Version, Source: first.Source, Revision: first.Revision, Departures: first.Departures, RoutersDigest: first.RoutersDigest,
		Wait: 100 * time.Millisecond,
	}
	unchanged, err := node.Follow(ctx, known)
	require.NoError(t, err)
	require.Zero(t, unchanged.Version)
	require.Empty(t, unchanged.Instances)
	require.NoError(t, node.Heartbeat(ctx, instance("i1", "s", registry.Ready, 1)))
	update, err := node.Follow(ctx, known)
	require.NoError(t, err)
	require.Len(t, update.Instances, 1)
	require.False(t, update.Complete)
}

// TestServerReportedDuringAPartitionIsKnownAfterIt checks that a node that missed another
// node's message about a server learns of the server soon after the other node shares its next
// heartbeat.
func TestServerReportedDuringAPartitionIsKnownAfterIt(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll(true)
	c.put(document(1, "a"))
	c.eventuallyEverywhere("the servers are not settled", func(node *runningNode) bool {
		reply, err := node.Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
		return err == nil && reply.Settled
	})
	isolated := c.nodes[2]
	require.NoError(t, isolated.server.Close())
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, instance("i1", "s", registry.Ready, 1)))
	c.eventually("no other node knows the server", func(node *runningNode) bool {
		return node == c.nodes[1] && stateAt(node, "i1") == registry.Ready
	})
	listener, err := net.Listen("tcp4", c.addresses[2])
	require.NoError(t, err)
	isolated.server = &http.Server{Handler: isolated.PeerHandler()}
	go func() { _ = isolated.server.Serve(listener) }()
	sequence := uint64(1)
	c.eventually("the server is not known after the partition", func(node *runningNode) bool {
		sequence++
		require.NoError(t, c.nodes[0].Heartbeat(ctx, instance("i1", "s", registry.Ready, sequence)))
		return node == isolated && stateAt(node, "i1") == registry.Ready
	})
}

// TestSilentLearnerIsRemovedAtOnce guards against a leader that removes a learner as soon as it
// is silent, so that the node discards its log and the routers that follow it must leave.
func TestSilentLearnerIsRemovedAtOnce(t *testing.T) {
	c := newCluster(t, 5)
	c.losses = 1
	c.startAll(true)
	c.put(document(1, "a"))
	learner := -1
	c.eventually("there is no learner that follows", func(node *runningNode) bool {
		voters := node.Voters()
		learner = slices.IndexFunc(c.addresses, func(address string) bool { return !voters[address] })
		return len(voters) == 3 && c.nodes[learner].Follows() && c.reads(document(1, "a"))(c.nodes[learner])
	})
	isolated := c.nodes[learner]
	require.NoError(t, isolated.server.Close())
	// Heartbeats of the leader fail for several election timeouts.
	time.Sleep(2 * time.Second)
	listener, err := net.Listen("tcp4", c.addresses[learner])
	require.NoError(t, err)
	isolated.server = &http.Server{Handler: isolated.PeerHandler()}
	go func() { _ = isolated.server.Serve(listener) }()
	c.put(document(2, "b"))
	c.eventuallyEverywhere("the learner does not follow again", c.reads(document(2, "b")))
	for index := range c.nodes {
		for _, entry := range c.logged[index].AllEntries() {
			require.NotEqual(t, "remove", entry.Data["kind"], entry.Message)
			require.NotContains(t, entry.Message, "removed_from_group")
		}
	}
}

// TestRoutersLeaveANodeThatLosesItsLeader guards against a node that refuses all its routers
// when it loses its leader: they would search together, while the nodes elect the next one.
func TestRoutersLeaveANodeThatLosesItsLeader(t *testing.T) {
	c := newCluster(t, 3)
	c.losses = 1
	c.startAll(true)
	c.put(document(1, "a"))
	c.eventuallyEverywhere("not read", c.reads(document(1, "a")))
	node, ctx := c.nodes[0], context.Background()
	router := directory.Router{Name: "g"}
	first, err := node.Follow(ctx, directory.FollowRequest{Router: router})
	require.NoError(t, err)
	c.stop(1)
	c.stop(2)
	c.eventually("a router that comes from elsewhere is accepted", func(node *runningNode) bool {
		_, err := node.Follow(ctx, directory.FollowRequest{Router: router})
		return err != nil
	})
	request := directory.FollowRequest{Router: router, Source: first.Source, Version: first.Version, Revision: first.Revision, Departures: first.Departures}
	c.eventually("the state never counts as stale", func(node *runningNode) bool {
		reply, err := node.Follow(ctx, request)
		require.NoError(t, err, "a router that follows the node is refused")
		return *reply.Fresh < -directory.StaleAfter
	})
}
