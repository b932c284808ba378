package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/gateway"
	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/scatter"
)

// tablesEncoded is the metric of complete tables that a node encoded.
const tablesEncoded = "martenstage_directory_complete_tables_encoded_total"

// TestCompleteTableIsEncodedForEachRouter guards against a node that encodes its table for each
// router that comes to it, so that its work grows with routers times servers.
func TestCompleteTableIsEncodedForEachRouter(t *testing.T) {
	const routers, otherServers = 24, 300
	node, address, measured := startLoneNode(t)
	ctx := t.Context()
	require.Eventually(t, func() bool { return node.Put(ctx, mustMarshal(t, oneRoute(1, "s"))) == nil }, eventuallyTimeout, 10*time.Millisecond)
	announce := func(id, service, address string) {
		require.NoError(t, node.Heartbeat(ctx, registry.Instance{ID: id, Service: service, Address: address, Slots: routers, State: registry.Ready, Sequence: 1}))
	}
	announce("i-s", "s", serve(t, http.HandlerFunc(echo)))
	for number := range otherServers {
		announce(fmt.Sprintf("other-%d", number), "other", fmt.Sprintf("10.0.%d.%d:1", number/100, number%100))
	}
	sites := make([]*site, routers)
	for index := range sites {
		sites[index] = startRouterOf(t, fmt.Sprintf("router-%d", index), address)
	}
	for _, router := range sites {
		require.Eventually(t, func() bool { return router.send(http.MethodGet, "/a/x", nil).status == http.StatusOK }, eventuallyTimeout, 10*time.Millisecond)
	}
	// One table before and one after the node has settled.
	require.LessOrEqual(t, counterValue(t, measured, tablesEncoded), 2.0)
}

// startLoneNode starts a group of one directory node, which knows no servers.
func startLoneNode(t *testing.T) (node *directory.Node, address string, measured *prometheus.Registry) {
	listener := listenLocal(t)
	address, measured = listener.Addr().String(), prometheus.NewRegistry()
	node, err := directory.Open(directory.Config{
		Name: "node", PeerAddress: address, Seeds: []string{address}, Bootstrap: true, Folder: t.TempDir(), HeartbeatInterval: time.Minute,
		CheckDocument: func(text []byte) (uint64, error) {
			document, err := parseDocument(text)
			return document.Version, err
		},
		ReadLimits: func([]byte) (map[string]quota.Limit, error) { return nil, nil },
	}, directory.Environment{Logger: silentLogger(), Registerer: measured})
	require.NoError(t, err)
	server := &http.Server{Handler: node.PeerHandler()}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = node.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		_ = server.Close()
	})
	return node, address, measured
}

// startRouterOf starts a router that follows one of some directory nodes.
func startRouterOf(t *testing.T, name string, nodes ...string) *site {
	logger := silentLogger()
	s := &site{t: t, logged: logtest.NewLocal(logger)}
	s.router = gateway.New(gateway.Config{
		Name: name, Seeds: nodes, Grace: time.Second, Budget: scatter.BudgetLimits{Ratio: 1, Slack: 100},
		ParseDocument: parseDocument, Dialect: dialect{}, Codec: dialect{},
	}, gateway.Environment{Logger: logger, Registerer: prometheus.NewRegistry()})
	s.run(listenLocal(t), nil)
	return s
}

func mustMarshal(t *testing.T, value any) []byte {
	text, err := json.Marshal(value)
	require.NoError(t, err)
	return text
}

// counterValue returns the value of a counter without labels.
func counterValue(t *testing.T, measured prometheus.Gatherer, name string) float64 {
	families, err := measured.Gather()
	require.NoError(t, err)
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	require.Fail(t, "no such metric", name)
	return 0
}

// slowTableNode is a directory node whose complete table takes until its test ends.
type slowTableNode struct {
	address  string
	document directory.PackedDocument
	mutex    sync.Mutex
	version  uint64
}

// slowTableRequest is a follow request, or a request for the complete table.
type slowTableRequest struct {
	directory.FollowRequest
	// SeparateTable says that the router gets the complete table by a call of its own.
	SeparateTable bool `json:"separate_table"`
}

func (n *slowTableNode) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var decoded slowTableRequest
	_ = json.NewDecoder(request.Body).Decode(&decoded)
	follows := request.URL.Path == directory.PathFollow
	if !follows || !decoded.Probe && !decoded.SeparateTable {
		<-request.Context().Done()
		return
	}
	n.mutex.Lock()
	reply := directory.FollowReply{Source: "slow", Nodes: []string{n.address}, RouterCount: 1}
	if decoded.Version < n.version {
		reply.Version, reply.Document = n.version, n.document
	}
	n.mutex.Unlock()
	if reply.Version == 0 {
		time.Sleep(20 * time.Millisecond)
	}
	_ = json.NewEncoder(writer).Encode(struct {
		directory.FollowReply
		TableOmitted bool `json:"table_omitted"`
	}{reply, true})
}

// TestDocumentWaitsForACompleteTable guards against a document that a router gets only with, or
// after, a complete table of servers.
func TestDocumentWaitsForACompleteTable(t *testing.T) {
	node := &slowTableNode{version: 1, document: pack(t, mustMarshal(t, oneRoute(1, "s")))}
	node.address = serve(t, node)
	router := startRouterOf(t, "router", node.address)
	require.Eventually(t, func() bool { return router.router.Version() == 1 }, 10*time.Second, time.Millisecond, "the first document")
	node.mutex.Lock()
	node.version, node.document = 2, pack(t, mustMarshal(t, oneRoute(2, "s")))
	node.mutex.Unlock()
	require.Eventually(t, func() bool { return router.router.Version() == 2 }, 10*time.Second, time.Millisecond, "a newer document")
}

// TestRouterWithoutServersIsReady guards against a router that takes connections, requests or
// slices once it has a document and before it has a table of servers.
func TestRouterWithoutServersIsReady(t *testing.T) {
	node := &slowTableNode{version: 1, document: pack(t, mustMarshal(t, oneRoute(1, "s")))}
	node.address = serve(t, node)
	router := startRouterOf(t, "router", node.address)
	require.Eventually(t, func() bool { return router.router.Version() == 1 }, 10*time.Second, time.Millisecond)
	require.False(t, router.router.Ready())
	require.Equal(t, http.StatusServiceUnavailable, router.send(http.MethodGet, "/a/x", nil).status)
	require.Equal(t, http.StatusNotFound, router.send(http.MethodGet, "/unknown/x", nil).status, "the document suffices to tell")
	slice := httptest.NewRequest(http.MethodPost, "/router/slice", strings.NewReader(`{"shards":["s"],"request":{}}`))
	answer := httptest.NewRecorder()
	router.router.PeerHandler().ServeHTTP(answer, slice)
	require.Equal(t, http.StatusServiceUnavailable, answer.Code, answer.Body.String())
}
