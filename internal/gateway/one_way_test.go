package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/gateway"
	"github.com/martenstage/martenstage/internal/scatter"
)

// startRouter starts a router that follows the given directory and serves other routers on a
// listener. The servers are added to the stub.
func startRouter(
	t *testing.T, name, zone string, peers net.Listener, follow http.Handler, stub *directoryStub, servers map[string]http.HandlerFunc,
) *site {
	s := startRouterWithSeed(t, name, zone, peers, serve(t, follow))
	s.directory = stub
	for service, handler := range servers {
		stub.addServer("i-"+service, service, zone, serve(t, handler))
	}
	return s
}

// startRouterWithSeed starts a router whose seed is a directory node.
func startRouterWithSeed(t *testing.T, name, zone string, peers net.Listener, node string) *site {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &site{t: t}
	s.router = gateway.New(gateway.Config{
		Name: name, Zone: zone, PeerAddress: peers.Addr().String(), Seeds: []string{node}, Grace: 3 * time.Second,
		Budget: scatter.BudgetLimits{Ratio: 1, Slack: 100}, ParseDocument: parseDocument, Dialect: dialect{}, Codec: dialect{},
	}, gateway.Environment{Logger: logger, Registerer: prometheus.NewRegistry()})
	s.run(listenLocal(t), peers)
	return s
}

// oneWayPath forwards what arrives at a new address to a listener, and drops all replies.
func oneWayPath(t *testing.T, to string) string {
	listener := listenLocal(t)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = from.Close() }()
				onwards, err := net.Dial("tcp4", to)
				if err != nil {
					return
				}
				defer func() { _ = onwards.Close() }()
				go func() { _, _ = io.Copy(io.Discard, onwards) }()
				_, _ = io.Copy(onwards, from)
			}()
		}
	}()
	return listener.Addr().String()
}

// TestAttemptsStayWithinRouteLimitWhenRepliesAreLost guards against more attempts than the
// route allows. A router requests a shard whose servers do not respond from other routers,
// over links that lose all replies: the first one would hedge, and the backup routers send
// attempts as well.
func TestAttemptsStayWithinRouteLimitWhenRepliesAreLost(t *testing.T) {
	var mutex sync.Mutex
	requested := map[string]int{}
	stub := &directoryStub{}
	for count := range 12 {
		number := strconv.Itoa(count)
		address := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			mutex.Lock()
			requested[number]++
			mutex.Unlock()
			<-request.Context().Done()
		}))
		stub.addServer("i-t"+number, "t", "b", address)
	}
	stub.reply.Source, stub.reply.Complete, stub.reply.RoutersDigest = "stub", true, 1
	document := oneRoute(1, "t")
	document.Routes[0].Targets, document.Routes[0].Shards = nil, []string{"t"}
	document.Routes[0].Target, document.Routes[0].TopRecords, document.Routes[0].LeastShare = 100*time.Millisecond, 1, 1
	requesterPeers := listenLocal(t)
	for _, name := range []string{"other0", "other1", "other2"} {
		peers := listenLocal(t)
		startRouter(t, name, "b", peers, stub, stub, nil).install(document)
		stub.mutex.Lock()
		stub.reply.Routers = append(stub.reply.Routers, directory.ListedRouter{Name: name, Zone: "b", Address: oneWayPath(t, peers.Addr().String())})
		stub.mutex.Unlock()
	}
	s := startRouter(t, "asker", "a", requesterPeers, stub, stub, nil)
	s.install(document)
	got := s.send(http.MethodGet, "/a/", nil)
	require.GreaterOrEqual(t, got.status, 500)
	time.Sleep(200 * time.Millisecond)
	mutex.Lock()
	defer mutex.Unlock()
	require.NotEmpty(t, requested)
	require.LessOrEqual(t, len(requested), document.Routes[0].MaxAttempts)
}
