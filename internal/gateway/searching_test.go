package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/gateway"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/routing"
)

// TestUnresponsiveNodeDoesNotDelayTheSearch has one node that never answers and one that has
// no leader at first: the second one is probed while the call to the first is in flight, and
// again after it has refused.
func TestUnresponsiveNodeDoesNotDelayTheSearch(t *testing.T) {
	var refused, overtaken atomic.Int64
	answered := make(chan struct{})
	unresponsive := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		select {
		case <-answered:
			overtaken.Add(1)
		case <-request.Context().Done():
		}
	}))
	document, err := json.Marshal(oneRoute(1, "s"))
	require.NoError(t, err)
	packed := pack(t, document)
	leading := serve(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		switch refused.Add(1) {
		case 1, 2:
			http.Error(writer, "no leader is heard", http.StatusServiceUnavailable)
			return
		case 3:
			close(answered)
		}
		_ = json.NewEncoder(writer).Encode(directory.FollowReply{Source: "leading", Complete: true, RouterCount: 1, Version: 1, Document: packed})
	}))
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	router := gateway.New(gateway.Config{
		Name: "router", Seeds: []string{unresponsive, leading}, Grace: time.Second, Dialect: dialect{}, Codec: dialect{},
		ParseDocument: func(text []byte) (*routing.Document, error) {
			parsed := &routing.Document{}
			return parsed, json.Unmarshal(text, parsed)
		},
	}, gateway.Environment{Logger: logger, Registerer: prometheus.NewRegistry()})
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- router.Run(ctx, listener, nil) }()
	require.Eventually(t, router.Ready, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return overtaken.Load() > 0 }, 10*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-done)
}

// TestSearchFloodsNodesWithoutALeader guards against searches whose probes grow with the number
// of nodes: while no node has a leader, all routers search at once.
func TestSearchFloodsNodesWithoutALeader(t *testing.T) {
	const nodes = 10
	var probes atomic.Int64
	leaderless := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		probes.Add(1)
		http.Error(writer, "no leader is heard", http.StatusServiceUnavailable)
	})
	var addresses []string
	for range nodes {
		addresses = append(addresses, serve(t, leaderless))
	}
	s := startRouterOf(t, "router", addresses...)
	require.Eventually(t, func() bool { return s.hasLogged("directory_lost") }, 10*time.Second, time.Millisecond, "the search ends without a node")
	require.LessOrEqual(t, probes.Load(), int64(3*nodes), "in one search")
	require.GreaterOrEqual(t, probes.Load(), int64(nodes), "each node is probed")
}

// spreadNode is a directory node of a group that records which routers follow it.
type spreadNode struct {
	name      string
	nodes     []string
	mutex     sync.Mutex
	followers map[string]bool
}

func (n *spreadNode) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var follow directory.FollowRequest
	_ = json.NewDecoder(request.Body).Decode(&follow)
	if !follow.Probe && follow.Source == n.name {
		n.mutex.Lock()
		n.followers[follow.Router.Name] = true
		n.mutex.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	_ = json.NewEncoder(writer).Encode(directory.FollowReply{Source: n.name, Nodes: n.nodes, RouterCount: 1, TableOmitted: true})
}

func (n *spreadNode) count() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.followers)
}

// TestRoutersStayWithTheirSeeds guards against routers that all follow the few nodes which they
// know when they start.
func TestRoutersStayWithTheirSeeds(t *testing.T) {
	const routers, nodes = 40, 4
	group := make([]*spreadNode, nodes)
	addresses := make([]string, nodes)
	for index := range group {
		group[index] = &spreadNode{name: fmt.Sprint("node-", index), followers: make(map[string]bool)}
		addresses[index] = serve(t, group[index])
	}
	for _, node := range group {
		node.nodes = addresses
	}
	for index := range routers {
		startRouterOf(t, fmt.Sprint("router-", index), addresses[0])
	}
	following := func() int { return lo.SumBy(group, (*spreadNode).count) }
	require.Eventually(t, func() bool { return following() >= routers }, 10*time.Second, time.Millisecond)
	require.LessOrEqual(t, group[0].count(), routers/2)
	for _, node := range group {
		require.Positive(t, node.count())
	}
}
