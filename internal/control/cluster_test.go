package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/consensus"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/rpc"
)

// testTimeout bounds every wait of the tests. No test measures time.
const testTimeout = 60 * time.Second

// invalidText is rejected by the tests' compiler.
const invalidText = "not a configuration"

// testCluster is a group of voters in this process, with real sockets and data
// folders and a network that can be partitioned.
type testCluster struct {
	t       testing.TB
	nodes   []*testNode
	network *testNetwork
}

// testNetwork records which voters are isolated and which links drop packets in
// one direction.
type testNetwork struct {
	isolatedNodes sync.Map // *atomic.Bool by address
	blockedLinks  sync.Map // *atomic.Bool by link
}

// link is one direction between two addresses.
type link struct{ from, to string }

func (n *testNetwork) isolated(address string) *atomic.Bool {
	isolated, _ := n.isolatedNodes.LoadOrStore(address, &atomic.Bool{})
	return isolated.(*atomic.Bool)
}

func (n *testNetwork) linkBlocked(from, to string) *atomic.Bool {
	blocked, _ := n.blockedLinks.LoadOrStore(link{from, to}, &atomic.Bool{})
	return blocked.(*atomic.Bool)
}

// drops reports whether packets from one address to another are dropped.
func (n *testNetwork) drops(from, to string) bool {
	return n.isolated(from).Load() || n.isolated(to).Load() || n.linkBlocked(from, to).Load()
}

type testNode struct {
	t        testing.TB
	options  *Options
	isolated *atomic.Bool // messages to and from this voter are dropped
	network  *testNetwork
	process  *Process
	stop     context.CancelFunc
	done     chan error
}

func newTestCluster(t testing.TB, count int, adjust func(*Options)) *testCluster {
	return newTestClusterOn(t, &testNetwork{}, count, adjust)
}

func newTestClusterOn(t testing.TB, network *testNetwork, count int, adjust func(*Options)) *testCluster {
	cluster := &testCluster{t: t, network: network}
	listeners := make([]net.Listener, count)
	var voters []string
	for index := range count {
		listener, err := net.Listen("tcp4", testaddress.Next().String())
		require.NoError(t, err)
		listeners[index] = listener
		voters = append(voters, fmt.Sprintf("%d=%s", index+1, listener.Addr()))
	}
	for index, listener := range listeners {
		options := &Options{
			DataFolder: t.TempDir(), ID: uint64(index + 1), Listen: listener.Addr().String(), Voters: voters,
			Lease: 2 * time.Second, Heartbeat: 50 * time.Millisecond, ElectionTimeout: 500 * time.Millisecond,
			SnapshotEntries: 20_000, StopLimit: 10 * time.Second, SecurityOptions: rpc.SecurityOptions{InsecurePlaintext: true},
		}
		if adjust != nil {
			adjust(options)
		}
		cluster.nodes = append(cluster.nodes, &testNode{
			t: t, options: options, isolated: network.isolated(options.Listen), network: network,
		})
	}
	for index, node := range cluster.nodes {
		node.start(func(string, string) (net.Listener, error) { return listeners[index], nil })
	}
	t.Cleanup(func() {
		for _, node := range cluster.nodes {
			node.crash()
		}
	})
	return cluster
}

// client returns an operators' client of the given voters, or of all voters if
// none are given.
func (c *testCluster) client(nodes ...*testNode) *Client {
	if len(nodes) == 0 {
		nodes = c.nodes
	}
	var addresses []string
	for _, node := range nodes {
		addresses = append(addresses, node.options.Listen)
	}
	client := rpc.NewClient(rpc.Plaintext(), rpc.ClientConfig{})
	c.t.Cleanup(client.CloseIdle)
	return NewClient(addresses, client)
}

// leader waits until a voter leads and returns it.
func (c *testCluster) leader() *testNode {
	var leader *testNode
	require.Eventually(c.t, func() bool {
		for _, node := range c.nodes {
			if node.process != nil && !node.isolated.Load() && node.process.voter.Status().Role == consensus.Leader {
				leader = node
				return true
			}
		}
		return false
	}, testTimeout, 10*time.Millisecond)
	return leader
}

// others returns all voters except one.
func (c *testCluster) others(excluded *testNode) []*testNode {
	var others []*testNode
	for _, node := range c.nodes {
		if node != excluded {
			others = append(others, node)
		}
	}
	return others
}

func (n *testNode) start(listen func(network, address string) (net.Listener, error)) {
	logger := discardLogger()
	process, err := Open(n.options, Environment{
		Logger: logger, Registry: prometheus.NewRegistry(), Listen: listen, Dial: n.dial,
		Compile: func(text string) (*plan.Plan, error) {
			if text == invalidText {
				return nil, errors.New("line 1: no such thing")
			}
			return &plan.Plan{}, nil
		},
	})
	require.NoError(n.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n.process, n.stop, n.done = process, cancel, make(chan error, 1)
	go func(done chan error) { done <- process.Run(ctx) }(n.done)
}

func discardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func (n *testNode) restart() { n.start(nil) }

// crash stops the voter without notice to the others.
func (n *testNode) crash() {
	if n.process == nil {
		return
	}
	n.isolated.Store(true)
	require.NoError(n.t, n.process.listener.Close())
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(n.t, n.process.voter.Close(canceled))
	n.stop()
	<-n.done
	n.process = nil
	n.isolated.Store(false)
}

// dial connects to another voter through a connection that drops data while its
// direction is blocked. The handshake requires both directions.
func (n *testNode) dial(ctx context.Context, network, address string) (net.Conn, error) {
	own := n.options.Listen
	if n.network.drops(own, address) || n.network.drops(address, own) {
		return nil, errors.New("cut off")
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &lossyConn{Conn: raw, network: n.network, own: own, peer: address}, nil
}

type lossyConn struct {
	net.Conn
	network   *testNetwork
	own, peer string
	once      sync.Once
	lost      atomic.Bool
}

// Write drops data while the direction is blocked and reports success. The stream
// is then incomplete, so the connection fails once the ends can reach each other
// again.
func (c *lossyConn) Write(data []byte) (int, error) {
	if c.network.drops(c.own, c.peer) {
		c.lost.Store(true)
		return len(data), nil
	}
	if c.lost.Load() {
		return 0, c.closeBroken()
	}
	return c.Conn.Write(data)
}

// Read drops data that arrives while the reverse direction is blocked.
func (c *lossyConn) Read(data []byte) (int, error) {
	for {
		count, err := c.Conn.Read(data)
		if err != nil {
			return count, err
		}
		if c.network.drops(c.peer, c.own) {
			c.lost.Store(true)
			continue
		}
		if c.lost.Load() {
			return 0, c.closeBroken()
		}
		return count, nil
	}
}

func (c *lossyConn) closeBroken() error {
	c.once.Do(func() { _ = c.Conn.Close() })
	return errors.New("connection lost")
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func apply(t testing.TB, client *Client, id, text string, expected uint64) *v1.ApplyResponse {
	response, err := client.Apply(testContext(t), &v1.ApplyRequest{
		ChangeId: id, Text: text, ExpectedRevision: expected, Author: "author-of-" + id,
	})
	assert.NoError(t, err) // not require: also called from other goroutines than the test's
	return response
}
