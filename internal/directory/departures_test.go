package directory_test

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/registry"
)

// observationTime is how long a test watches the replies of nodes.
const observationTime = 3 * time.Second

// followAsNewRouter requests everything that a node sends to a new router.
func followAsNewRouter(node *runningNode) (directory.FollowReply, error) {
	return node.Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
}

// heartbeatOf returns a heartbeat of one start of a server that keeps its name.
func heartbeatOf(name string, startTime int64, state registry.State, sequence uint64) registry.Instance {
	heartbeat := instance(name, "s", state, sequence)
	heartbeat.ID, heartbeat.StartedAt = registry.IncarnationID(name, startTime), startTime
	return heartbeat
}

// newFormedCluster returns a group of its full size whose nodes are all current.
func newFormedCluster(t *testing.T) *cluster {
	c := newCluster(t, 3)
	c.losses = 1
	c.startAll(true)
	c.put(document(1, "first"))
	c.eventuallyEverywhere("not fresh", freshWithin(time.Second))
	return c
}

// TestNodeBehindTheLogDoesNotReportAFreshState guards against a node with a stalled disk that
// reports a state as fresh although it lacks an acknowledged departure.
func TestNodeBehindTheLogDoesNotReportAFreshState(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	c.eventuallyEverywhere("not five voters", c.hasVoters(0, 1, 2, 3, 4))
	c.eventuallyEverywhere("not fresh", freshWithin(time.Second))
	require.NoError(t, c.nodes[0].Heartbeat(context.Background(), instance("i1", "s", registry.Ready, 1)))
	c.eventuallyEverywhere("not known", func(node *runningNode) bool { return stateAt(node, "i1") == registry.Ready })
	behind := c.follower()
	release := c.disks[behind].Stall()
	defer release()
	c.eventually("not acknowledged", func(node *runningNode) bool {
		return node != c.nodes[behind] && node.Depart(context.Background(), "i1", 0) == nil
	})
	acknowledged := time.Now()
	for time.Since(acknowledged) < observationTime {
		requestedAt := time.Now()
		reply, err := followAsNewRouter(c.nodes[behind])
		if err == nil && reply.Fresh != nil && !slices.Contains(reply.Departed, "i1") {
			require.False(t, requestedAt.Add(*reply.Fresh).After(acknowledged), "a state without the departure was reported as fresh")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestDepartureWithoutAStartAppliesToTheServer guards against acknowledging a departure under
// an id that no server has, because the node does not know the server's start yet.
func TestDepartureWithoutAStartAppliesToTheServer(t *testing.T) {
	c := newFormedCluster(t)
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 5, registry.Ready, 1)))
	require.NoError(t, c.nodes[1].Depart(ctx, "i1", 0))
	c.eventuallyEverywhere("the server is still ready", func(node *runningNode) bool { return stateAt(node, "i1#5") == registry.Leaving })
}

// TestRepeatedDepartureIsAcknowledged guards against rejecting a repeated departure as that of
// an unknown server, because the server has been silent since its departure and the first
// acknowledgement was lost.
func TestRepeatedDepartureIsAcknowledged(t *testing.T) {
	c := newFormedCluster(t)
	ctx := context.Background()
	c.retryUntilAcknowledged(func() error { return c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 5, registry.Ready, 1)) })
	c.retryUntilAcknowledged(func() error { return c.nodes[0].Heartbeat(ctx, heartbeatOf("i2", 5, registry.Ready, 1)) })
	c.retryUntilAcknowledged(func() error { return c.nodes[1].Depart(ctx, "i1", 0) })
	c.eventuallyEverywhere("the other server is not silent", func(node *runningNode) bool { return stateAt(node, "i2#5") == registry.Missing })
	for _, node := range c.nodes {
		c.retryUntilAcknowledged(func() error { return node.Depart(ctx, "i1", 0) })
	}
}

// TestDepartureBindsNoStartThatNobodyHasHeardOf guards against a departure without a start that
// is acknowledged because of an earlier, long silent start, and does not apply to the start in
// use, whose heartbeats no node has accepted yet.
func TestDepartureBindsNoStartThatNobodyHasHeardOf(t *testing.T) {
	c := newFormedCluster(t)
	ctx := context.Background()
	c.retryUntilAcknowledged(func() error { return c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 5, registry.Ready, 1)) })
	c.eventuallyEverywhere("the earlier start is not silent", func(node *runningNode) bool { return stateAt(node, "i1#5") == registry.Missing })
	if c.nodes[1].Depart(ctx, "i1", 0) != nil {
		return
	}
	// It keeps sending heartbeats, of which the first ones were lost.
	c.retryUntilAcknowledged(func() error { return c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 9, registry.Ready, 4)) })
	c.eventuallyEverywhere("the start in use is still ready", func(node *runningNode) bool { return stateAt(node, "i1#9") == registry.Leaving })
}

// TestDepartureBindsTheStartThatOnlyALostNodeHasHeardOf guards against requests to a server after
// its departure was acknowledged: the node that took the departure knows an earlier start alone,
// the node that has accepted the heartbeat of the start in use is lost before it shares it, and the
// server, which still sends heartbeats, is taken for a new one.
func TestDepartureBindsTheStartThatOnlyALostNodeHasHeardOf(t *testing.T) {
	c := newFormedCluster(t)
	ctx := context.Background()
	follower, leader := c.follower(), c.leader()
	var third int
	for index := range c.nodes {
		if index != follower && index != leader {
			third = index
		}
	}
	c.retryUntilAcknowledged(func() error { return c.nodes[leader].Heartbeat(ctx, heartbeatOf("i1", 5, registry.Ready, 1)) })
	c.eventuallyEverywhere("the earlier start is not known", func(node *runningNode) bool { return stateAt(node, "i1#5") == registry.Ready })
	c.retryUntilAcknowledged(func() error { return c.nodes[third].Heartbeat(ctx, heartbeatOf("i1", 9, registry.Ready, 1)) })
	c.retryUntilAcknowledged(func() error { return c.nodes[follower].Depart(ctx, "i1", 0) })
	c.stop(third)
	for sequence := range uint64(3) {
		c.retryUntilAcknowledged(func() error {
			return c.nodes[follower].Heartbeat(ctx, heartbeatOf("i1", 9, registry.Ready, 2+sequence))
		})
	}
	c.eventuallyEverywhere("the start in use is still ready", func(node *runningNode) bool { return stateAt(node, "i1#9") == registry.Leaving })
}

// TestLateFirstHeartbeatAfterADepartureGetsNoWork guards against requests to a server after its
// departure without a start was acknowledged by an earlier start that has just ended: the first
// heartbeat of the start that departed arrives only after that. One that goes on is a new start.
func TestLateFirstHeartbeatAfterADepartureGetsNoWork(t *testing.T) {
	c := newFormedCluster(t)
	ctx := context.Background()
	c.retryUntilAcknowledged(func() error { return c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 5, registry.Ready, 1)) })
	c.retryUntilAcknowledged(func() error { return c.nodes[1].Depart(ctx, "i1", 0) })
	c.retryUntilAcknowledged(func() error { return c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 9, registry.Ready, 1)) })
	for ended := time.Now().Add(observationTime); time.Now().Before(ended); time.Sleep(20 * time.Millisecond) {
		for _, node := range c.nodes {
			require.NotEqual(t, registry.Ready, stateAt(node, "i1#9"))
		}
	}
	sequence := uint64(1)
	for index := range c.nodes {
		c.eventually("a start that goes on gets no work", func(*runningNode) bool {
			sequence++
			return c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 9, registry.Ready, sequence)) == nil && stateAt(c.nodes[index], "i1#9") == registry.Ready
		})
	}
}

// retryUntilAcknowledged repeats a call while the group has no leader, as servers do. It fails
// if the reason is that the server is unknown.
func (c *cluster) retryUntilAcknowledged(call func() error) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; {
		err := call()
		if err == nil {
			return
		}
		require.NotContains(c.t, err.Error(), "has heard of the server")
		require.ErrorIs(c.t, err, directory.ErrUnavailable)
		require.True(c.t, time.Now().Before(deadline), "%v", err)
	}
}

// TestDepartureIsAcknowledgedIfAnotherNodeKnowsTheServer guards against rejecting a valid
// departure because neither the node nor the leader has received the heartbeat that a third
// node acknowledged.
func TestDepartureIsAcknowledgedIfAnotherNodeKnowsTheServer(t *testing.T) {
	const servers = 40
	c := newFormedCluster(t)
	ctx := context.Background()
	for number := range servers {
		name := "i" + strconv.Itoa(number)
		c.retryUntilAcknowledged(func() error { return c.nodes[number%3].Heartbeat(ctx, heartbeatOf(name, 5, registry.Ready, 1)) })
		c.retryUntilAcknowledged(func() error { return c.nodes[(number+1)%3].Depart(ctx, name, 0) })
	}
	c.eventuallyEverywhere("a server is still ready", func(node *runningNode) bool {
		reply, err := followAsNewRouter(node)
		return err == nil && len(reply.Instances) == servers && lo.EveryBy(reply.Instances, func(known registry.Instance) bool {
			return known.State == registry.Leaving
		})
	})
}

// TestDepartureOfAnUnknownServerIsNotAcknowledged guards against acknowledging a departure that
// does not apply to a start reported later, whatever other servers are known.
func TestDepartureOfAnUnknownServerIsNotAcknowledged(t *testing.T) {
	c := newFormedCluster(t)
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 5, registry.Ready, 1)))
	for _, node := range c.nodes {
		err := node.Depart(ctx, "i2", 0)
		require.ErrorIs(t, err, directory.ErrUnavailable)
		require.ErrorContains(t, err, "no node that answers has heard of the server")
		require.NotContains(t, err.Error(), directory.ErrUnavailable.Error(), "the group does answer")
	}
}

// TestConcurrentHeartbeatAndDepartureEndAsLeaving guards against a heartbeat that is checked
// before a departure is applied and entered into the table after it.
func TestConcurrentHeartbeatAndDepartureEndAsLeaving(t *testing.T) {
	const servers = 3000
	c := newCluster(t, 1)
	c.losses = 0
	c.startAll(true)
	c.put(document(1, "first"))
	ctx := context.Background()
	node := c.nodes[0]
	var calls sync.WaitGroup
	for number := range servers {
		id := "i" + strconv.Itoa(number)
		calls.Go(func() { _ = node.Depart(ctx, id, 0) })
		for sequence := range uint64(4) {
			calls.Go(func() { _ = node.Heartbeat(ctx, instance(id, "s", registry.Ready, sequence)) })
		}
		if number%100 == 0 {
			calls.Wait()
		}
	}
	calls.Wait()
	c.eventually("servers that have departed are not marked as leaving", func(node *runningNode) bool {
		reply, err := followAsNewRouter(node)
		others := lo.CountBy(reply.Instances, func(known registry.Instance) bool { return known.State != registry.Leaving })
		return err == nil && len(reply.Departed) == servers && others == 0
	})
}

// TestNextStartOfADepartedServerIsServed guards against a departure without a start that also
// applies to a later start of the server, or no longer applies to late heartbeats of the
// departed start.
func TestNextStartOfADepartedServerIsServed(t *testing.T) {
	c := newFormedCluster(t)
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 500, registry.Ready, 7)))
	c.eventuallyEverywhere("not known", func(node *runningNode) bool { return stateAt(node, "i1#500") == registry.Ready })
	require.NoError(t, c.nodes[1].Depart(ctx, "i1", 0))
	// The clock of the server's host was set back before its next start.
	c.eventually("the next start is refused", func(node *runningNode) bool {
		return node.Heartbeat(ctx, heartbeatOf("i1", 400, registry.Ready, 1)) == nil
	})
	for _, node := range c.nodes {
		require.NoError(t, node.Heartbeat(ctx, heartbeatOf("i1", 500, registry.Ready, 8)), "a late heartbeat")
	}
	sequence := uint64(1)
	c.eventuallyEverywhere("the next start is not served", func(node *runningNode) bool {
		sequence++
		require.NoError(t, c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 400, registry.Ready, sequence)))
		return stateAt(node, "i1#400") == registry.Ready
	})
	c.eventuallyEverywhere("the departed start is served", func(node *runningNode) bool { return stateAt(node, "i1#500") == registry.Leaving })
	require.NoError(t, c.nodes[2].Depart(ctx, "i1", 0))
	c.eventuallyEverywhere("its own departure does not apply", func(node *runningNode) bool { return stateAt(node, "i1#400") == registry.Leaving })
}

// TestDepartureOfAnUnknownStartAppliesToTheServer guards against a departure that names a start
// unknown from heartbeats and therefore does not apply to the server, whose heartbeats name no
// start.
func TestDepartureOfAnUnknownStartAppliesToTheServer(t *testing.T) {
	c := newFormedCluster(t)
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, instance("i1", "s", registry.Ready, 1)))
	require.NoError(t, c.nodes[1].Depart(ctx, "i1", 77))
	c.eventuallyEverywhere("the server is still ready", func(node *runningNode) bool { return stateAt(node, "i1") == registry.Leaving })
}

// TestNodeBehindTheLogRejectsNewStarts guards against a node that lacks a departure and treats
// a new start of the same server as the departed one.
func TestNodeBehindTheLogRejectsNewStarts(t *testing.T) {
	c := newFormedCluster(t)
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 5, registry.Ready, 1)))
	behind := c.follower()
	release := c.disks[behind].Stall()
	defer release()
	c.eventually("not acknowledged", func(node *runningNode) bool {
		return node != c.nodes[behind] && node.Depart(ctx, "i1", 0) == nil
	})
	c.eventually("the state is not out of date", func(*runningNode) bool { return c.hasLogged(behind, "state_stale") })
	require.ErrorIs(t, c.nodes[behind].Heartbeat(ctx, heartbeatOf("i1", 6, registry.Ready, 1)), directory.ErrUnavailable, "a new start is accepted")
	require.NoError(t, c.nodes[behind].Heartbeat(ctx, heartbeatOf("i1", 5, registry.Ready, 2)), "a known start")
	c.eventually("no node accepts the new start", func(node *runningNode) bool {
		return node != c.nodes[behind] && node.Heartbeat(ctx, heartbeatOf("i1", 6, registry.Ready, 2)) == nil
	})
	release()
	c.eventuallyEverywhere("the new start is not served", func(node *runningNode) bool { return stateAt(node, "i1#6") == registry.Ready })
	c.eventuallyEverywhere("the departed start is served", func(node *runningNode) bool { return stateAt(node, "i1#5") == registry.Leaving })
}

// TestDepartureIsNotAcknowledgedBeforeTheGroupHasItsSize guards against acknowledging a
// departure that the loss of as many disks as must be tolerated can revert.
func TestDepartureIsNotAcknowledgedBeforeTheGroupHasItsSize(t *testing.T) {
	c := newCluster(t, 5)
	for index := range c.seeds {
		c.start(index, true)
	}
	ctx := context.Background()
	c.eventually("no leader refuses a document for the group's size", func(node *runningNode) bool {
		err := node.Put(ctx, document(1, "first"))
		return err != nil && strings.Contains(err.Error(), "has not reached its size")
	})
	require.NoError(t, c.nodes[0].Heartbeat(ctx, instance("i1", "s", registry.Ready, 1)))
	require.ErrorIs(t, c.nodes[0].Depart(ctx, "i1", 0), directory.ErrUnavailable)
	c.start(3, true)
	c.start(4, true)
	c.eventually("the departure is not acknowledged", func(node *runningNode) bool { return node.Depart(ctx, "i1", 0) == nil })
}

// TestDepartureHoldsAfterAllTablesWereLost guards against acknowledging a departure that names
// no start after all tables of servers were lost: the server's next heartbeat would count as
// that of a new start.
func TestDepartureHoldsAfterAllTablesWereLost(t *testing.T) {
	c := newFormedCluster(t)
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 5, registry.Ready, 1)))
	for index := range c.nodes {
		c.stop(index)
		if err := os.Remove(filepath.Join(c.folders[index], "servers.json")); err != nil {
			require.ErrorIs(t, err, os.ErrNotExist)
		}
	}
	c.startAll(false)
	c.eventuallyEverywhere("not fresh", freshWithin(time.Second))
	acknowledged := c.nodes[1].Depart(ctx, "i1", 0) == nil
	require.NoError(t, c.nodes[2].Heartbeat(ctx, heartbeatOf("i1", 5, registry.Ready, 2)))
	if !acknowledged {
		c.eventually("not acknowledged once the server is known", func(node *runningNode) bool { return node.Depart(ctx, "i1", 0) == nil })
	}
	c.eventuallyEverywhere("the server is still ready", func(node *runningNode) bool { return stateAt(node, "i1#5") == registry.Leaving })
}

// TestDepartureAppliesToAStartMarkedReplaced guards against a start of a server whose clock was
// set back that only one node knows, and that gets requests by way of the others after its
// departure.
func TestDepartureAppliesToAStartMarkedReplaced(t *testing.T) {
	c := newFormedCluster(t)
	ctx := context.Background()
	c.retryUntilAcknowledged(func() error { return c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 9, registry.Ready, 1)) })
	c.retryUntilAcknowledged(func() error { return c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 5, registry.Ready, 1)) })
	c.eventuallyEverywhere("a node does not know of both starts", func(node *runningNode) bool {
		reply, err := followAsNewRouter(node)
		return err == nil && lo.ContainsBy(reply.Instances, func(known registry.Instance) bool { return known.ID == "i1#5" && known.Replaced })
	})
	c.retryUntilAcknowledged(func() error { return c.nodes[1].Depart(ctx, "i1", 0) })
	c.retryUntilAcknowledged(func() error { return c.nodes[2].Heartbeat(ctx, heartbeatOf("i1", 5, registry.Ready, 2)) })
	c.eventuallyEverywhere("the start in use is still ready", func(node *runningNode) bool { return stateAt(node, "i1#5") == registry.Leaving })
}

// TestLateHeartbeatOfAnUnknownStartIsNotServed guards against requests to a departed server
// because of a late heartbeat of an earlier start that is no longer in any table, and against a
// later start that gets no requests because its first heartbeat was lost.
func TestLateHeartbeatOfAnUnknownStartIsNotServed(t *testing.T) {
	c := newFormedCluster(t)
	ctx := context.Background()
	c.retryUntilAcknowledged(func() error { return c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 5, registry.Ready, 1)) })
	c.retryUntilAcknowledged(func() error { return c.nodes[0].Depart(ctx, "i1", 0) })
	c.retryUntilAcknowledged(func() error { return c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 9, registry.Ready, 7)) })
	reply, err := followAsNewRouter(c.nodes[0])
	require.NoError(t, err)
	require.True(t, lo.ContainsBy(reply.Instances, func(known registry.Instance) bool { return known.ID == "i1#9" && known.Replaced }))
	sequence := uint64(7)
	c.eventually("a start that keeps sending heartbeats is not served", func(*runningNode) bool {
		sequence++
		c.retryUntilAcknowledged(func() error { return c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 9, registry.Ready, sequence)) })
		return stateAt(c.nodes[0], "i1#9") == registry.Ready
	})
	c.retryUntilAcknowledged(func() error { return c.nodes[0].Heartbeat(ctx, heartbeatOf("i1", 11, registry.Ready, 1)) })
	require.Equal(t, registry.Ready, stateAt(c.nodes[0], "i1#11"), "its first heartbeat was received")
}
