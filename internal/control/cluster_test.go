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

// testTimeout bounds every wait of the tests; none of them measures time.
const testTimeout = 60 * time.Second

// invalidText is refused by the tests' compiler.
const invalidText = "not a configuration"

// testCluster is a group of voters in this process, over real sockets and data
// folders, whose network can be cut.
type testCluster struct {
	t       testing.TB
	nodes   []*testNode
	network *testNetwork
}

// testNetwork knows which voters are cut off, and between which voters packets
// are dropped on one way.
type testNetwork struct {
	cuts sync.Map // by address
	ways sync.Map // by direction
}

// direction is a way between two addresses.
type direction struct{ from, to string }

func (n *testNetwork) cut(address string) *atomic.Bool {
	cut, _ := n.cuts.LoadOrStore(address, &atomic.Bool{})
	return cut.(*atomic.Bool)
}

func (n *testNetwork) way(from, to string) *atomic.Bool {
	blocked, _ := n.ways.LoadOrStore(direction{from, to}, &atomic.Bool{})
	return blocked.(*atomic.Bool)
}

// drops reports whether packets from one address to another vanish.
func (n *testNetwork) drops(from, to string) bool {
	return n.cut(from).Load() || n.cut(to).Load() || n.way(from, to).Load()
}

type testNode struct {
	t       testing.TB
	options *Options
	cut     *atomic.Bool // messages to and from this voter vanish
	network *testNetwork
	process *Process
	stop    context.CancelFunc
	done    chan error
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
			t: t, options: options, cut: network.cut(options.Listen), network: network,
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

// client returns an operators' client of the given voters, or of all.
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
			if node.process != nil && !node.cut.Load() && node.process.voter.Status().Role == consensus.Leader {
				leader = node
				return true
			}
		}
		return false
	}, testTimeout, 10*time.Millisecond)
	return leader
}

// others returns the voters but one.
func (c *testCluster) others(than *testNode) []*testNode {
	var others []*testNode
	for _, node := range c.nodes {
		if node != than {
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

// crash ends the voter without any word to the others.
func (n *testNode) crash() {
	if n.process == nil {
		return
	}
	n.cut.Store(true)
	require.NoError(n.t, n.process.listener.Close())
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(n.t, n.process.voter.Close(canceled))
	n.stop()
	<-n.done
	n.process = nil
	n.cut.Store(false)
}

// dial connects to another voter by a connection that loses what is sent on a
// way that is cut. A handshake needs both ways.
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

// Write pretends to send while the way is cut. The stream has a hole after
// that, so it is broken when the ends can reach each other again.
func (c *lossyConn) Write(data []byte) (int, error) {
	if c.network.drops(c.own, c.peer) {
		c.lost.Store(true)
		return len(data), nil
	}
	if c.lost.Load() {
		return 0, c.abandon()
	}
	return c.Conn.Write(data)
}

// Read loses what arrives while the way back is cut.
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
			return 0, c.abandon()
		}
		return count, nil
	}
}

func (c *lossyConn) abandon() error {
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
	assert.NoError(t, err) // also called beside the test's own goroutine
	return response
}
