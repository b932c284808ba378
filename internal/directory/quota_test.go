package directory_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/quota"
)

// freshWithin reports whether a node reports to a router that its document was current at most
// age before the call.
func freshWithin(age time.Duration) func(*runningNode) bool {
	return func(node *runningNode) bool {
		reply, err := node.Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
		return err == nil && reply.Fresh != nil && *reply.Fresh > -age
	}
}

// TestFreshnessDoesNotAdvanceWithoutAQuorum reduces a group below its quorum: the remaining
// node must not report fresher state than it had before.
func TestFreshnessDoesNotAdvanceWithoutAQuorum(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	c.eventuallyEverywhere("not fresh", freshWithin(time.Second))
	c.eventuallyEverywhere("not five voters", c.hasVoters(0, 1, 2, 3, 4))
	c.stop(1)
	c.stop(2)
	c.stop(3)
	c.stop(4)
	stoppedAt := time.Now()
	for range 20 {
		requestedAt := time.Now()
		reply, err := c.nodes[0].Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
		if err == nil {
			require.True(t, requestedAt.Add(*reply.Fresh).Before(stoppedAt.Add(stopGrace)), "confirmed without a quorum")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// stopGrace is the time within which a round that began before the nodes were stopped may
// complete.
const stopGrace = 450 * time.Millisecond

// TestFreshnessIsAsOfTheEndOfAHeldCall holds a call until it ends without updates: the reported
// freshness is as of its end.
func TestFreshnessIsAsOfTheEndOfAHeldCall(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	c.eventuallyEverywhere("not fresh", freshWithin(time.Second))
	request := directory.FollowRequest{Router: directory.Router{Name: "test"}}
	var reply directory.FollowReply
	for settled := false; !settled; {
		requestedAt := time.Now()
		var err error
		reply, err = c.nodes[0].Follow(context.Background(), request)
		require.NoError(t, err)
		settled = time.Since(requestedAt) >= request.Wait && request.Wait > 0
		request.Source, request.Revision, request.Departures = reply.Source, reply.Revision, reply.Departures
		request.RoutersDigest, request.AbsentDigest = reply.RoutersDigest, reply.AbsentDigest
		request.Version, request.Wait = max(request.Version, reply.Version), 900*time.Millisecond
	}
	require.Greater(t, *reply.Fresh, time.Duration(0), "confirmed while the call was held")
}

// TestTokenLimitHoldsAcrossNodes has routers at different nodes spend one limit, until the
// tenant is metered at all nodes.
func TestTokenLimitHoldsAcrossNodes(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "limit one 1 10"))
	start, sequence, granted := time.Now(), uint64(0), 0
	for range 60 {
		sequence++
		for index, node := range c.nodes {
			message := quota.Message{Router: c.addresses[index], Sequence: sequence, Wanted: map[string]int{"one": 1, "free": 2}}
			reply, err := node.Quota(context.Background(), message)
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			granted += reply.Grants["one"].Granted
			require.Equal(t, 2, reply.Grants["free"].Granted, "no limit")
		}
	}
	// 10 + 0.5 from the burst, 5 from the slack, and the tokens added meanwhile.
	require.Positive(t, granted)
	require.LessOrEqual(t, granted, 16+int(time.Since(start).Seconds()*1.1)+1)
	c.eventuallyEverywhere("not metered", func(node *runningNode) bool {
		reply, err := node.Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
		return err == nil && len(reply.Metered) == 1 && reply.Metered[0] == "one" && reply.MeteredDigest != 0
	})
	list, err := directory.ListTenants(context.Background(), c.addresses[1])
	require.NoError(t, err)
	require.Equal(t, uint64(1), list.Version)
	require.Len(t, list.Tenants, 1)
	require.True(t, list.Tenants[0].Metered)
	require.EqualValues(t, granted, list.Tenants[0].Spent)
}
