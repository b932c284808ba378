package directory_test

import (
	"context"
	"slices"
	"strconv"
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

// TestNodeBehindTheLogCallsItsStateFresh guards against a node whose disk is held up certifying a
// state as fresh that lacks an acknowledged departure.
func TestNodeBehindTheLogCallsItsStateFresh(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	c.everywhere("not five voters", c.hasVoters(0, 1, 2, 3, 4))
	c.everywhere("not fresh", freshWithin(time.Second))
	behind := c.follower()
	release := c.disks[behind].stall()
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
	c := newCluster(t, 3)
	c.losses = 1
	c.startAll(true)
	c.put(document(1, "first"))
	c.everywhere("not fresh", freshWithin(time.Second))
	ctx := context.Background()
	require.NoError(t, c.nodes[0].Heartbeat(ctx, startOf("i1", 5, registry.Ready, 1)))
	require.NoError(t, c.nodes[1].Depart(ctx, "i1", 0))
	c.everywhere("the server goes on as ready", func(node *runningNode) bool { return stateAt(node, "i1#5") == registry.Leaving })
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
