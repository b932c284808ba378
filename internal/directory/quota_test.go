package directory_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/quota"
)

// freshWithin reports whether a router that calls a node is told that its document was the
// newest at most an age before.
func freshWithin(age time.Duration) func(*runningNode) bool {
	return func(node *runningNode) bool {
		reply, err := node.Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
		return err == nil && reply.Fresh != nil && *reply.Fresh > -age
	}
}

// TestNodesTellHowFreshTheirDocumentIs cuts a group down to less than its quorum: what is left
// does not claim to be any fresher than it was.
func TestNodesTellHowFreshTheirDocumentIs(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	c.everywhere("not fresh", freshWithin(time.Second))
	c.everywhere("not five voters", c.hasVoters(0, 1, 2, 3, 4))
	c.stop(1)
	c.stop(2)
	c.stop(3)
	c.stop(4)
	lost := time.Now()
	for range 20 {
		asked := time.Now()
		reply, err := c.nodes[0].Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
		if err == nil {
			require.True(t, asked.Add(*reply.Fresh).Before(lost.Add(stopGrace)), "confirmed by nobody")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// stopGrace is within which a round that had begun before the nodes were stopped may end.
const stopGrace = 450 * time.Millisecond

// TestAWaitingRouterIsToldHowFreshAnUnchangedDocumentIs holds a call until it ends without
// news: the word is of the end.
func TestAWaitingRouterIsToldHowFreshAnUnchangedDocumentIs(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	c.everywhere("not fresh", freshWithin(time.Second))
	request := directory.FollowRequest{Router: directory.Router{Name: "test"}}
	var reply directory.FollowReply
	for settled := false; !settled; {
		asked := time.Now()
		var err error
		reply, err = c.nodes[0].Follow(context.Background(), request)
		require.NoError(t, err)
		settled = time.Since(asked) >= request.Wait && request.Wait > 0
		request.Source, request.Revision, request.Departures = reply.Source, reply.Revision, reply.Departures
		request.Routers, request.Absent = reply.RoutersDigest, reply.AbsentDigest
		request.Version, request.Wait = max(request.Version, reply.Version), 900*time.Millisecond
	}
	require.Greater(t, *reply.Fresh, time.Duration(0), "confirmed while the call was held")
}

// TestTokensAreGrantedOverAllNodes has routers at different nodes spend one limit, until the
// tenant is metered everywhere.
func TestTokensAreGrantedOverAllNodes(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "limit one 1 10"))
	began, sequence, granted := time.Now(), uint64(0), 0
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
	// 10 + 0.5 of the burst and 5 of the slack, and what came in meanwhile.
	require.Positive(t, granted)
	require.LessOrEqual(t, granted, 16+int(time.Since(began).Seconds()*1.1)+1)
	c.everywhere("not metered", func(node *runningNode) bool {
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
