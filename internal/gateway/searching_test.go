package gateway_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
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
