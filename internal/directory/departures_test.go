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

// stateShownFor is for how long a test looks at what nodes tell.
const stateShownFor = 3 * time.Second

// newsOf asks a node for all that it tells a router that is new.
func newsOf(node *runningNode) (directory.FollowReply, error) {
	return node.Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
}

// startOf is a heartbeat of one start of a server that keeps its name.
func startOf(name string, born int64, state registry.State, sequence uint64) registry.Instance {
	beat := instance(name, "s", state, sequence)
	beat.ID, beat.Born = registry.LifeID(name, born), born
	return beat
}

// wholeCluster returns a group of its full size whose nodes are all current.
func wholeCluster(t *testing.T) *cluster {
	c := newCluster(t, 3)
	c.losses = 1
	c.startAll(true)
	c.put(document(1, "first"))
	c.everywhere("not fresh", freshWithin(time.Second))
	return c
}

// TestNodeBehindTheLogCallsItsStateFresh guards against a node whose disk is held up certifying a
// state as fresh that lacks an acknowledged departure.
func TestNodeBehindTheLogCallsItsStateFresh(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	c.everywhere("not five voters", c.hasVoters(0, 1, 2, 3, 4))
	c.everywhere("not fresh", freshWithin(time.Second))
	require.NoError(t, c.nodes[0].Heartbeat(context.Background(), instance("i1", "s", registry.Ready, 1)))
	c.everywhere("not known", func(node *runningNode) bool { return stateAt(node, "i1") == registry.Ready })
	behind := c.follower()
	release := c.disks[behind].Stall()
	defer release()
	c.eventually("not acknowledged", func(node *runningNode) bool {
		return node != c.nodes[behind] && node.Depart(context.Background(), "i1", 0) == nil
	})
	acknowledged := time.Now()
	for time.Since(acknowledged) < stateShownFor {
		asked := time.Now()
		reply, err := newsOf(c.nodes[behind])
		if err == nil && reply.Fresh != nil && !slices.Contains(reply.Departed, "i1") {
			require.False(t, asked.Add(*reply.Fresh).After(acknowledged), "a state without the departure was called fresh")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestDepartureWithoutAStartBindsNoServer guards against acknowledging a departure under an id
// that nobody has, because the node has not heard of the server's start yet.
func TestDepartureWithoutAStartBindsNoServer(t *testing.T) {
	c := wholeCluster(t)
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, startOf("i1", 5, registry.Ready, 1)))
	require.NoError(t, c.nodes[1].Depart(ctx, "i1", 0))
	c.everywhere("the server goes on as ready", func(node *runningNode) bool { return stateAt(node, "i1#5") == registry.Leaving })
}

// TestDepartureThatIsRecordedIsRefusedWhenRepeated guards against a server that is told that nobody has
// heard of it, because it was silent since its departure, whose acknowledgement was lost.
func TestDepartureThatIsRecordedIsRefusedWhenRepeated(t *testing.T) {
	c := wholeCluster(t)
	ctx := context.Background()
	c.insist(func() error { return c.nodes[0].Heartbeat(ctx, startOf("i1", 5, registry.Ready, 1)) })
	c.insist(func() error { return c.nodes[0].Heartbeat(ctx, startOf("i2", 5, registry.Ready, 1)) })
	c.insist(func() error { return c.nodes[1].Depart(ctx, "i1", 0) })
	c.everywhere("the other server is not silent", func(node *runningNode) bool { return stateAt(node, "i2#5") == registry.Missing })
	for _, node := range c.nodes {
		c.insist(func() error { return node.Depart(ctx, "i1", 0) })
	}
}

// TestDepartureBindsNoStartThatNobodyHasHeardOf guards against a departure without a start that is
// acknowledged by an earlier start, silent for long, and does not hold for the one in use, whose heartbeats
// no node has taken in yet.
func TestDepartureBindsNoStartThatNobodyHasHeardOf(t *testing.T) {
	c := wholeCluster(t)
	ctx := context.Background()
	c.insist(func() error { return c.nodes[0].Heartbeat(ctx, startOf("i1", 5, registry.Ready, 1)) })
	c.everywhere("the earlier start is not silent", func(node *runningNode) bool { return stateAt(node, "i1#5") == registry.Missing })
	if c.nodes[1].Depart(ctx, "i1", 0) != nil {
		return
	}
	// It goes on sending heartbeats, of which the first ones were lost.
	c.insist(func() error { return c.nodes[0].Heartbeat(ctx, startOf("i1", 9, registry.Ready, 4)) })
	c.everywhere("the start in use goes on as ready", func(node *runningNode) bool { return stateAt(node, "i1#9") == registry.Leaving })
}

// insist repeats a call while the group has no leader, as servers do. That a server is unknown is never
// a reason.
func (c *cluster) insist(call func() error) {
	c.t.Helper()
	for deadline := time.Now().Add(patience); ; {
		err := call()
		if err == nil {
			return
		}
		require.NotContains(c.t, err.Error(), "has heard of the server")
		require.ErrorIs(c.t, err, directory.ErrUnavailable)
		require.True(c.t, time.Now().Before(deadline), "%v", err)
	}
}

// TestDepartureIsTakenWhereAnotherNodeHeardOfTheServer guards against a true departure that is refused
// because the node and the leader have not been told yet of a heartbeat that a third one acknowledged.
func TestDepartureIsTakenWhereAnotherNodeHeardOfTheServer(t *testing.T) {
	const servers = 40
	c := wholeCluster(t)
	ctx := context.Background()
	for number := range servers {
		name := "i" + strconv.Itoa(number)
		c.insist(func() error { return c.nodes[number%3].Heartbeat(ctx, startOf(name, 5, registry.Ready, 1)) })
		c.insist(func() error { return c.nodes[(number+1)%3].Depart(ctx, name, 0) })
	}
	c.everywhere("a server goes on as ready", func(node *runningNode) bool {
		reply, err := newsOf(node)
		return err == nil && len(reply.Instances) == servers && lo.EveryBy(reply.Instances, func(known registry.Instance) bool {
			return known.State == registry.Leaving
		})
	})
}

// TestDepartureThatNobodyHeardOfIsNotAcknowledged guards against the opposite: an acknowledgement that
// a start which is heard of later is not bound by, whatever other servers are known.
func TestDepartureThatNobodyHeardOfIsNotAcknowledged(t *testing.T) {
	c := wholeCluster(t)
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, startOf("i1", 5, registry.Ready, 1)))
	for _, node := range c.nodes {
		err := node.Depart(ctx, "i2", 0)
		require.ErrorIs(t, err, directory.ErrUnavailable)
		require.ErrorContains(t, err, "no node that answers has heard of the server")
		require.NotContains(t, err.Error(), directory.ErrUnavailable.Error(), "the group does answer")
	}
}

// TestHeartbeatBesideItsDepartureStaysReady guards against a heartbeat that is checked before a
// departure is applied and taken into the table after it.
func TestHeartbeatBesideItsDepartureStaysReady(t *testing.T) {
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
		reply, err := newsOf(node)
		others := lo.CountBy(reply.Instances, func(known registry.Instance) bool { return known.State != registry.Leaving })
		return err == nil && len(reply.Departed) == servers && others == 0
	})
}

// TestNextStartOfADepartedServerIsNotServed guards against a departure without a start that holds
// for a later start of the server as well, or no more for late heartbeats of the one that left.
func TestNextStartOfADepartedServerIsNotServed(t *testing.T) {
	c := wholeCluster(t)
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, startOf("i1", 500, registry.Ready, 7)))
	c.everywhere("not known", func(node *runningNode) bool { return stateAt(node, "i1#500") == registry.Ready })
	require.NoError(t, c.nodes[1].Depart(ctx, "i1", 0))
	// The clock of the server's machine was set back before its next start.
	c.eventually("the next start is refused", func(node *runningNode) bool {
		return node.Heartbeat(ctx, startOf("i1", 400, registry.Ready, 1)) == nil
	})
	for _, node := range c.nodes {
		require.NoError(t, node.Heartbeat(ctx, startOf("i1", 500, registry.Ready, 8)), "a late heartbeat")
	}
	sequence := uint64(1)
	c.everywhere("the next start is not served", func(node *runningNode) bool {
		sequence++
		require.NoError(t, c.nodes[0].Heartbeat(ctx, startOf("i1", 400, registry.Ready, sequence)))
		return stateAt(node, "i1#400") == registry.Ready
	})
	c.everywhere("the start that left is served", func(node *runningNode) bool { return stateAt(node, "i1#500") == registry.Leaving })
	require.NoError(t, c.nodes[2].Depart(ctx, "i1", 0))
	c.everywhere("its own departure does not hold", func(node *runningNode) bool { return stateAt(node, "i1#400") == registry.Leaving })
}

// TestDepartureThatNamesAnUnknownStartBindsNoServer guards against acknowledging a start that no
// heartbeat named, of a server whose heartbeats name none.
func TestDepartureThatNamesAnUnknownStartBindsNoServer(t *testing.T) {
	c := wholeCluster(t)
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, instance("i1", "s", registry.Ready, 1)))
	require.NoError(t, c.nodes[1].Depart(ctx, "i1", 77))
	c.everywhere("the server goes on as ready", func(node *runningNode) bool { return stateAt(node, "i1") == registry.Leaving })
}

// TestNodeBehindTheLogTakesAStartInThatIsOld guards against a node that lacks a departure and
// calls a new start of the same server one that left.
func TestNodeBehindTheLogTakesAStartInThatIsOld(t *testing.T) {
	c := wholeCluster(t)
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, startOf("i1", 5, registry.Ready, 1)))
	behind := c.follower()
	release := c.disks[behind].Stall()
	defer release()
	c.eventually("not acknowledged", func(node *runningNode) bool {
		return node != c.nodes[behind] && node.Depart(ctx, "i1", 0) == nil
	})
	c.eventually("the state is not out of date", func(*runningNode) bool { return c.logs(behind, "state_stale") })
	require.ErrorIs(t, c.nodes[behind].Heartbeat(ctx, startOf("i1", 6, registry.Ready, 1)), directory.ErrUnavailable, "a new start is taken in")
	require.NoError(t, c.nodes[behind].Heartbeat(ctx, startOf("i1", 5, registry.Ready, 2)), "a start that is known")
	c.eventually("the new start is taken in nowhere", func(node *runningNode) bool {
		return node != c.nodes[behind] && node.Heartbeat(ctx, startOf("i1", 6, registry.Ready, 2)) == nil
	})
	release()
	c.everywhere("the new start is not served", func(node *runningNode) bool { return stateAt(node, "i1#6") == registry.Ready })
	c.everywhere("the start that left is served", func(node *runningNode) bool { return stateAt(node, "i1#5") == registry.Leaving })
}

// TestDepartureIsAcknowledgedBeforeTheGroupHasItsSize guards against acknowledging what the loss of
// as many disks as are to be borne can take back.
func TestDepartureIsAcknowledgedBeforeTheGroupHasItsSize(t *testing.T) {
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

// TestDepartureOfAServerThatNobodyKnowsIsAcknowledged guards against acknowledging a departure that
// names no start where all tables of servers were lost: the server's next heartbeat would count
// as one of a new start.
func TestDepartureOfAServerThatNobodyKnowsIsAcknowledged(t *testing.T) {
	c := wholeCluster(t)
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, startOf("i1", 5, registry.Ready, 1)))
	for index := range c.nodes {
		c.stop(index)
		if err := os.Remove(filepath.Join(c.folders[index], "servers.json")); err != nil {
			require.ErrorIs(t, err, os.ErrNotExist)
		}
	}
	c.startAll(false)
	c.everywhere("not fresh", freshWithin(time.Second))
	acknowledged := c.nodes[1].Depart(ctx, "i1", 0) == nil
	require.NoError(t, c.nodes[2].Heartbeat(ctx, startOf("i1", 5, registry.Ready, 2)))
	if !acknowledged {
		c.eventually("not acknowledged once the server is known", func(node *runningNode) bool { return node.Depart(ctx, "i1", 0) == nil })
	}
	c.everywhere("the server goes on as ready", func(node *runningNode) bool { return stateAt(node, "i1#5") == registry.Leaving })
}

// TestDepartureBindsNoStartThatOneNodeTookForReplaced guards against a start, with a clock that was set
// back, that one node alone knows of, and that gets requests by the others after its departure.
func TestDepartureBindsNoStartThatOneNodeTookForReplaced(t *testing.T) {
	c := wholeCluster(t)
	ctx := context.Background()
	c.insist(func() error { return c.nodes[0].Heartbeat(ctx, startOf("i1", 9, registry.Ready, 1)) })
	c.insist(func() error { return c.nodes[0].Heartbeat(ctx, startOf("i1", 5, registry.Ready, 1)) })
	c.everywhere("a node does not know of both starts", func(node *runningNode) bool {
		reply, err := newsOf(node)
		return err == nil && lo.ContainsBy(reply.Instances, func(known registry.Instance) bool { return known.ID == "i1#5" && known.Replaced })
	})
	c.insist(func() error { return c.nodes[1].Depart(ctx, "i1", 0) })
	c.insist(func() error { return c.nodes[2].Heartbeat(ctx, startOf("i1", 5, registry.Ready, 2)) })
	c.everywhere("the start in use goes on as ready", func(node *runningNode) bool { return stateAt(node, "i1#5") == registry.Leaving })
}

// TestLateHeartbeatOfAnUnknownStartBringsItIntoUse guards against requests to a server that has left, by an
// earlier start that no table knows any more and of which a heartbeat comes late; and against a later start
// that is not served because its first heartbeat was lost.
func TestLateHeartbeatOfAnUnknownStartBringsItIntoUse(t *testing.T) {
	c := wholeCluster(t)
	ctx := context.Background()
	c.insist(func() error { return c.nodes[0].Heartbeat(ctx, startOf("i1", 5, registry.Ready, 1)) })
	c.insist(func() error { return c.nodes[0].Depart(ctx, "i1", 0) })
	c.insist(func() error { return c.nodes[0].Heartbeat(ctx, startOf("i1", 9, registry.Ready, 7)) })
	reply, err := newsOf(c.nodes[0])
	require.NoError(t, err)
	require.True(t, lo.ContainsBy(reply.Instances, func(known registry.Instance) bool { return known.ID == "i1#9" && known.Replaced }))
	sequence := uint64(7)
	c.eventually("a start that goes on is not served", func(*runningNode) bool {
		sequence++
		c.insist(func() error { return c.nodes[0].Heartbeat(ctx, startOf("i1", 9, registry.Ready, sequence)) })
		return stateAt(c.nodes[0], "i1#9") == registry.Ready
	})
	c.insist(func() error { return c.nodes[0].Heartbeat(ctx, startOf("i1", 11, registry.Ready, 1)) })
	require.Equal(t, registry.Ready, stateAt(c.nodes[0], "i1#11"), "its first heartbeat was heard")
}
