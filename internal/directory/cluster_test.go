package directory_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/proof/faultydisk"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/routing"
)

// waitTimeout bounds waits for conditions that must eventually hold.
const waitTimeout = 20 * time.Second

// cluster is the set of nodes of one test.
type cluster struct {
	t         *testing.T
	addresses []string
	folders   []string
	nodes     []*runningNode
	seeds     []string
	// losses is how many nodes may be lost at once.
	losses int
	// disks wrap the nodes' logs, logged holds the log entries of the nodes.
	disks  []*faultydisk.Disk
	logged []*logtest.Hook
	// newPlanner returns the admission planners of the nodes; nil for none.
	newPlanner func() directory.AdmissionPlanner
	// loses reports whether a call to a node is lost on its way; nil if none is.
	loses func(to int, request *http.Request) bool
}

// runningNode is a node with its listener; the cluster's entry is nil while it is down.
type runningNode struct {
	*directory.Node
	server *http.Server
	cancel context.CancelFunc
	done   chan error
}

// document returns a text that checkDocument parses: "VERSION TEXT".
func document(version int, text string) []byte { return []byte(strconv.Itoa(version) + " " + text) }

func checkDocument(text []byte) (uint64, error) {
	number, _, _ := strings.Cut(string(text), " ")
	version, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0, &routing.InvalidError{Detail: err.Error()}
	}
	return version, nil
}

// readLimits parses "VERSION limit NAME RATE BURST".
func readLimits(text []byte) (map[string]quota.Limit, error) {
	fields := strings.Fields(string(text))
	if len(fields) != 5 || fields[1] != "limit" {
		return nil, nil
	}
	rate, err := strconv.ParseFloat(fields[3], 64)
	if err != nil {
		return nil, err
	}
	burst, err := strconv.ParseFloat(fields[4], 64)
	return map[string]quota.Limit{fields[2]: {Rate: rate, Burst: burst}}, err
}

func newCluster(t *testing.T, count int) *cluster {
	c := &cluster{t: t, addresses: testaddress.List(count), nodes: make([]*runningNode, count), losses: 2}
	c.seeds = c.addresses[:min(3, count)]
	for range count {
		c.folders = append(c.folders, t.TempDir())
		c.disks, c.logged = append(c.disks, &faultydisk.Disk{}), append(c.logged, &logtest.Hook{})
	}
	t.Cleanup(func() {
		for index := range c.nodes {
			c.stop(index)
		}
	})
	return c
}

func (c *cluster) start(index int, bootstrap bool) {
	c.t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.AddHook(c.logged[index])
	node, err := directory.Open(directory.Config{
		Name: "node-" + strconv.Itoa(index), PeerAddress: c.addresses[index], Seeds: c.seeds, Bootstrap: bootstrap,
		Folder: c.folders[index], Losses: c.losses, HeartbeatInterval: 300 * time.Millisecond, CheckDocument: checkDocument, ReadLimits: readLimits, ReadDocument: readLoadDocument, NewPlanner: c.newPlanner, CanaryShare: 0.1, QuotaTolerance: quota.Tolerance{Fraction: 0.1, Slack: 20},
	}, directory.Environment{Logger: logger, Registerer: prometheus.NewRegistry(), WrapStore: c.disks[index].Wrap})
	require.NoError(c.t, err)
	listener, err := net.Listen("tcp4", c.addresses[index])
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	started := &runningNode{Node: node, server: &http.Server{Handler: c.lossy(index, node.PeerHandler())}, cancel: cancel, done: make(chan error, 1)}
	go func() { _ = started.server.Serve(listener) }()
	go func() { started.done <- node.Run(ctx) }()
	c.nodes[index] = started
}

// lossy wraps a node's handler: lost calls get no answer until their caller gives up.
func (c *cluster) lossy(index int, handler http.Handler) http.Handler {
	if c.loses == nil {
		return handler
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if c.loses(index, request) {
			<-request.Context().Done()
			return
		}
		handler.ServeHTTP(writer, request)
	})
}

// stop shuts a node down cleanly; it does nothing if the node is down.
func (c *cluster) stop(index int) {
	if node := c.nodes[index]; node != nil {
		c.nodes[index] = nil
		node.cancel()
		<-node.done
		_ = node.server.Close()
	}
}

// wipe empties the folder of a node that is down.
func (c *cluster) wipe(index int) {
	c.t.Helper()
	entries, err := os.ReadDir(c.folders[index])
	require.NoError(c.t, err)
	for _, entry := range entries {
		require.NoError(c.t, os.RemoveAll(filepath.Join(c.folders[index], entry.Name())))
	}
}

func (c *cluster) startAll(bootstrap bool) {
	for index := range c.nodes {
		c.start(index, bootstrap)
	}
}

// put sends a document until some node acknowledges it.
func (c *cluster) put(text []byte) {
	c.t.Helper()
	c.eventually("no node acknowledges "+string(text), func(node *runningNode) bool {
		return node.Put(context.Background(), text) == nil
	})
}

// eventually waits until a condition holds at some node.
func (c *cluster) eventually(message string, holds func(*runningNode) bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, node := range c.nodes {
			if node != nil && holds(node) {
				return
			}
		}
	}
	require.Fail(c.t, message)
}

// eventuallyEverywhere waits until a condition holds at each running node.
func (c *cluster) eventuallyEverywhere(message string, holds func(*runningNode) bool) {
	c.t.Helper()
	for index, node := range c.nodes {
		if node != nil {
			c.eventually(message+" at node "+strconv.Itoa(index), func(other *runningNode) bool { return other == node && holds(other) })
		}
	}
}

func (c *cluster) reads(want []byte) func(*runningNode) bool {
	return func(node *runningNode) bool {
		_, text, err := node.Read(context.Background())
		return err == nil && string(text) == string(want)
	}
}

// hasVoters reports whether the voters known to a node are exactly those at the given indexes.
func (c *cluster) hasVoters(indexes ...int) func(*runningNode) bool {
	return func(node *runningNode) bool {
		voters := node.Voters()
		for _, index := range indexes {
			if !voters[c.addresses[index]] {
				return false
			}
		}
		return len(voters) == len(indexes)
	}
}

func instance(id, service string, state registry.State, sequence uint64) registry.Instance {
	return registry.Instance{ID: id, Service: service, Address: "10.0.0.1:" + id[1:], Slots: 2, State: state, Sequence: sequence}
}

func stateAt(node *runningNode, id string) registry.State {
	reply, err := node.Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
	if err != nil {
		return ""
	}
	for _, known := range reply.Instances {
		if known.ID == id {
			return known.State
		}
	}
	return ""
}
