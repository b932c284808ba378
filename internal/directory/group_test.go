package directory_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/registry"
)

// groupAt returns the group that a node reports to routers.
func groupAt(node *runningNode) addressee.Group {
	reply, err := followAsNewRouter(node)
	if err != nil {
		return 0
	}
	return reply.Group
}

// callAs sends a message to a node on behalf of a process of a group, and returns the status.
func callAs(t *testing.T, group addressee.Group, address, path string, message any) int {
	t.Helper()
	body, err := json.Marshal(message)
	require.NoError(t, err)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	require.NoError(t, err)
	addressee.SetHeaders(request.Header, addressee.Identity{Group: group})
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

// TestNodeRefusesCallsOfAnotherGroup guards against a node that accepts servers, routers and
// documents from a process of another group that calls its address, which formerly belonged to
// that group.
func TestNodeRefusesCallsOfAnotherGroup(t *testing.T) {
	c := newFormedCluster(t)
	own := addressee.GroupOf(c.seeds)
	c.eventuallyEverywhere("the group differs", func(node *runningNode) bool { return groupAt(node) == own })
	share := map[string]any{"instances": []registry.Instance{instance("i9", "s", registry.Ready, 1)}}
	follow := directory.FollowRequest{Router: directory.Router{Name: "foreign", Address: "10.0.0.9:1"}}
	for path, message := range map[string]any{"/peer/share": share, directory.PathFollow: follow, "/peer/put": map[string]any{"version": 9, "text": []byte("9 foreign")}} {
		require.Equal(t, http.StatusMisdirectedRequest, callAs(t, own+1, c.addresses[0], path, message), path)
	}
	reply, err := followAsNewRouter(c.nodes[0])
	require.NoError(t, err)
	require.Empty(t, reply.Instances)
	require.Equal(t, 1, reply.RouterCount, "only the requesting router")
	version, _, err := c.nodes[0].Read(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 1, version)
	require.Equal(t, http.StatusOK, callAs(t, 0, c.addresses[0], directory.PathFollow, follow), "a process that knows no group")
}

// TestJoiningNodesLearnTheGroup guards against a node that never learns its group, so that it
// neither rejects calls of other groups nor is rejected by them.
func TestJoiningNodesLearnTheGroup(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	own := addressee.GroupOf(c.seeds)
	c.eventuallyEverywhere("the group is not known", func(node *runningNode) bool { return groupAt(node) == own })
	c.stop(4)
	c.start(4, false)
	c.eventually("a restarted node has lost its group", func(node *runningNode) bool {
		return node == c.nodes[4] && groupAt(node) == own
	})
}

// TestVoterOfAnotherGroupAtAnAddressChangesNothing guards against mixing the logs of two groups
// when a founder of one listens at the address of a founder of the other: both derive the same
// id.
func TestVoterOfAnotherGroupAtAnAddressChangesNothing(t *testing.T) {
	c := newFormedCluster(t)
	c.eventuallyEverywhere("not three voters", c.hasVoters(0, 1, 2))
	c.stop(2)
	other := newCluster(t, 3)
	other.losses, other.addresses[0] = 1, c.addresses[2]
	other.seeds = other.addresses
	other.startAll(true)
	other.put(document(5, "other"))
	c.put(document(2, "second"))
	time.Sleep(observationTime)
	c.eventuallyEverywhere("not read", c.reads(document(2, "second")))
	other.eventuallyEverywhere("not read", other.reads(document(5, "other")))
	c.eventuallyEverywhere("the group has changed", func(node *runningNode) bool { return groupAt(node) == addressee.GroupOf(c.seeds) })
}

// TestSeedOfAnotherGroupIsNotFollowed guards against a router or node that starts while the
// address of one of its seeds belongs to another group, and would join that group.
func TestSeedOfAnotherGroupIsNotFollowed(t *testing.T) {
	c := newFormedCluster(t)
	seeds := append(testaddress.List(2), c.addresses[0])
	for _, request := range []directory.FollowRequest{
		{Probe: true, Seeds: seeds}, {Router: directory.Router{Name: "router", Address: "10.0.0.9:1"}, Seeds: seeds},
	} {
		_, err := c.nodes[0].Follow(context.Background(), request)
		require.ErrorIs(t, err, directory.ErrUnavailable)
		require.ErrorContains(t, err, "seeds are not of this group")
	}
	_, err := c.nodes[0].Follow(context.Background(), directory.FollowRequest{Probe: true, Seeds: c.seeds})
	require.NoError(t, err)

	// A node that moves from the address of one seed to that of another has been at both.
	moving := newCluster(t, 1)
	moving.losses, moving.seeds = 0, moving.addresses
	moving.startAll(true)
	moving.put(document(1, "first"))
	passed := append(testaddress.List(2), moving.addresses[0])
	moving.stop(0)
	moving.restartAt(0, passed[0])
	moved := func(node *runningNode) bool {
		_, err := node.Follow(context.Background(), directory.FollowRequest{Probe: true, Seeds: passed})
		require.ErrorIs(t, err, directory.ErrUnavailable)
		return node.Voters()[passed[0]]
	}
	moving.eventually("not at its new address", moved)

	// A node that lost its folder, while one of its seeds is an address of this group.
	joining := newCluster(t, 1)
	joining.seeds = append(testaddress.List(2), c.addresses[0])
	joining.start(0, false)
	require.NoError(t, joining.nodes[0].Heartbeat(context.Background(), instance("i1", "s", registry.Ready, 1)))
	time.Sleep(observationTime)
	c.eventuallyEverywhere("the group has grown", func(node *runningNode) bool {
		reply, err := followAsNewRouter(node)
		return err == nil && len(reply.Nodes) == 3 && len(reply.Instances) == 0
	})
}
