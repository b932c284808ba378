package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/gateway"
	"github.com/martenstage/martenstage/internal/proof/faultydisk"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/proof/testlink"
	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
)

// Size and times of a site whose servers depart.
const (
	departingNodes     = 5
	departingLosses    = 2
	departingRouters   = 5
	departingHeartbeat = 200 * time.Millisecond
	requestInterval    = 5 * time.Millisecond
	eventuallyTimeout  = 40 * time.Second
)

// departingSite runs directory nodes, routers, servers and clients in this process.
type departingSite struct {
	t       *testing.T
	nodes   []*departingNode
	routers []*gateway.Gateway
	ctx     context.Context
	// folder holds the folders of the nodes.
	folder string
}

// departingNode is a directory node with a controllable link and disk, whose calls can be
// paused.
type departingNode struct {
	*directory.Node
	link *testlink.Link
	disk faultydisk.Disk
	// paused blocks calls until it is closed; nil while calls are not paused.
	paused atomic.Pointer[chan struct{}]
}

// ServeHTTP passes calls on to the node, once it is not paused.
func (n *departingNode) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if paused := n.paused.Load(); paused != nil {
		select {
		case <-*paused:
		case <-request.Context().Done():
			return
		}
	}
	n.PeerHandler().ServeHTTP(writer, request)
}

func startDepartingSite(t *testing.T) *departingSite {
	// Cleanups run in reverse order: the folder is removed after the nodes have ended.
	folder := t.TempDir()
	ctx, stop := context.WithCancel(context.Background())
	s := &departingSite{t: t, ctx: ctx, folder: folder}
	var running sync.WaitGroup
	t.Cleanup(func() {
		stop()
		running.Wait()
	})
	listeners := make([]net.Listener, departingNodes)
	var seeds []string
	for index := range departingNodes {
		listener, err := net.Listen("tcp4", testaddress.Next().String())
		require.NoError(t, err)
		listeners[index] = listener
		s.nodes = append(s.nodes, &departingNode{link: testlink.New(t, listener.Addr().String())})
		seeds = append(seeds, s.nodes[index].link.Address().String())
	}
	for index, node := range s.nodes {
		s.startNode(index, node, listeners[index], seeds, &running)
	}
	for index := range departingRouters {
		s.startRouter(index, seeds, &running)
	}
	return s
}

func (s *departingSite) startNode(index int, node *departingNode, listener net.Listener, seeds []string, running *sync.WaitGroup) {
	opened, err := directory.Open(directory.Config{
		Name: "node-" + strconv.Itoa(index), PeerAddress: seeds[index], Seeds: seeds, Bootstrap: true, Folder: filepath.Join(s.folder, strconv.Itoa(index)),
		Losses: departingLosses, HeartbeatInterval: departingHeartbeat, CheckDocument: func(text []byte) (uint64, error) {
			document, err := parseDocument(text)
			return document.Version, err
		},
		ReadLimits: func([]byte) (map[string]quota.Limit, error) { return nil, nil },
	}, directory.Environment{Logger: silentLogger(), Registerer: prometheus.NewRegistry(), WrapStore: node.disk.Wrap})
	require.NoError(s.t, err)
	node.Node = opened
	server := &http.Server{Handler: node}
	go func() { _ = server.Serve(listener) }()
	running.Go(func() {
		_ = opened.Run(s.ctx)
		_ = server.Close()
	})
}

func (s *departingSite) startRouter(index int, seeds []string, running *sync.WaitGroup) {
	router := gateway.New(gateway.Config{
		Name: "router-" + strconv.Itoa(index), Seeds: seeds, Grace: time.Second, Budget: scatter.BudgetLimits{Ratio: 1, Slack: 100},
		ParseDocument: parseDocument, Dialect: dialect{}, Codec: dialect{},
	}, gateway.Environment{Logger: silentLogger(), Registerer: prometheus.NewRegistry()})
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(s.t, err)
	s.routers = append(s.routers, router)
	running.Go(func() { _ = router.Run(s.ctx, listener, nil) })
	running.Go(func() { s.sendRequests(index, listener.Addr().String()) })
}

func silentLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// install publishes a document with one route and waits until all routers are ready.
func (s *departingSite) install() {
	text, err := json.Marshal(&routing.Document{
		Version: 1, Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{{
			Name: "r", Host: "site", Prefix: "/", Repeatable: true, Timeout: time.Second, MaxAttempts: 2,
			Targets: []routing.Target{{Service: "s", Weight: 1}},
		}},
	})
	require.NoError(s.t, err)
	s.eventually("no node accepts the document", func() bool { return s.nodes[0].Put(s.ctx, text) == nil })
	for _, router := range s.routers {
		s.eventually("a router is not ready", router.Ready)
	}
}

func (s *departingSite) eventually(message string, holds func() bool) {
	s.t.Helper()
	require.Eventually(s.t, holds, eventuallyTimeout, 10*time.Millisecond, message)
}

// sendRequests sends requests to the router at an address until the site ends.
func (s *departingSite) sendRequests(router int, address string) {
	for number := 0; s.ctx.Err() == nil; number++ {
		request, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+address+"/x", nil)
		if err != nil {
			panic(err)
		}
		request.Host = "site"
		request.Header.Set("X-Id", fmt.Sprint("r-", router, "-", number))
		request.Header.Set("X-Left", "500ms")
		if response, err := http.DefaultClient.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		time.Sleep(requestInterval)
	}
}

// departingServer is one start of a server.
type departingServer struct {
	instance registry.Instance
	server   *http.Server
	// acknowledged is when its departure was acknowledged, in Unix ns; 0 before. latestRequest
	// is how long after that the last request arrived, in ns. afterDeparture counts the
	// requests that arrived after it, arrivals all requests.
	acknowledged   atomic.Int64
	latestRequest  atomic.Int64
	afterDeparture atomic.Int64
	arrivals       atomic.Int64
	// connections counts the open connections.
	connections       atomic.Int64
	heartbeatsStopped atomic.Bool
	leaving           atomic.Bool
	sequence          atomic.Uint64
}

// ServeHTTP answers as a healthy server does, and records when requests arrive.
func (d *departingServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("X-Id", request.Header.Get("X-Id"))
	// Calls name the server, not its start.
	if registry.NameOf(request.Header.Get("X-Meant")) != registry.NameOf(d.instance.ID) {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	d.arrivals.Add(1)
	if at := d.acknowledged.Load(); at > 0 {
		d.afterDeparture.Add(1)
		d.recordLatest(time.Now().UnixNano() - at)
	}
	writer.Header().Set("X-Stamp", "of-"+d.instance.ID)
}

func (d *departingServer) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		d.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		d.connections.Add(-1)
	}
}

func (d *departingServer) recordLatest(after int64) {
	for {
		known := d.latestRequest.Load()
		if after <= known || d.latestRequest.CompareAndSwap(known, after) {
			return
		}
	}
}

// addServer starts a server that announces itself to nodes drawn from a seed.
func (s *departingSite) addServer(name string, startTime int64, seed uint64) *departingServer {
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(s.t, err)
	return s.serve(listener, name, startTime, seed)
}

// serve is addServer with a given listener.
func (s *departingSite) serve(listener net.Listener, name string, startTime int64, seed uint64) *departingServer {
	added := &departingServer{instance: registry.Instance{
		ID: registry.IncarnationID(name, startTime), StartedAt: startTime, Service: "s", Address: listener.Addr().String(), Slots: 8, State: registry.Ready,
	}}
	added.server = &http.Server{Handler: added, ConnState: added.countConnection}
	go func() { _ = added.server.Serve(listener) }()
	s.t.Cleanup(func() { _ = added.server.Close() })
	go s.announce(added, rand.New(rand.NewPCG(seed, 1)))
	return added
}

// announce sends heartbeats, to the same node for as long as it accepts them.
func (s *departingSite) announce(server *departingServer, random *rand.Rand) {
	node := random.IntN(departingNodes)
	for s.ctx.Err() == nil {
		if !server.heartbeatsStopped.Load() {
			heartbeat := server.instance
			heartbeat.Sequence = server.sequence.Add(1)
			if server.leaving.Load() {
				heartbeat.State = registry.Leaving
			}
			callCtx, cancel := context.WithTimeout(s.ctx, time.Second)
			err := s.call(callCtx, node, func(ctx context.Context, n *directory.Node) error { return n.Heartbeat(ctx, heartbeat) })
			cancel()
			if err != nil {
				node = random.IntN(departingNodes)
			} else if heartbeat.State == registry.Leaving {
				server.acknowledged.CompareAndSwap(0, time.Now().UnixNano())
			}
		}
		time.Sleep(departingHeartbeat)
	}
}

// call calls a node as a server does, once the node is not paused.
func (s *departingSite) call(ctx context.Context, node int, do func(context.Context, *directory.Node) error) error {
	if paused := s.nodes[node].paused.Load(); paused != nil {
		select {
		case <-*paused:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return do(ctx, s.nodes[node].Node)
}
