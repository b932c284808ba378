package router_test

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/verdict"
)

const (
	// shareLimit is the number of connections that each emulated server accepts;
	// further ones are refused and counted.
	shareLimit = 40
	// shareLease and shareDelay keep the order of the defaults: a share grows only
	// after leases, and the connections kept after them, have ended.
	shareLease = 400 * time.Millisecond
	shareDelay = 800 * time.Millisecond
)

// fakeControl stands in for control: it renews the leases of its routers and lists
// the live ones. A router that stops is removed from the list at once, a disconnected
// one after its lease has lapsed. Lists reach the routers with a delay.
type fakeControl struct {
	mutex   sync.Mutex
	plan    *plan.Plan
	members []string
	lists   []membershipList
}

// membershipList is a list of live routers with its creation time.
type membershipList struct {
	at    time.Time
	peers []router.Peer
}

func (c *fakeControl) add(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.publish(append(slices.Clip(c.members), name))
}

func (c *fakeControl) remove(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.publish(lo.Without(c.members, name))
}

func (c *fakeControl) publish(members []string) {
	c.members = members
	c.lists = append(c.lists, membershipList{at: time.Now(), peers: lo.Map(members, func(name string, _ int) router.Peer {
		return router.Peer{Name: name, Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	})})
}

// listFor returns the newest list that is at least as old as lag and contains the
// router.
func (c *fakeControl) listFor(name string, lag time.Duration) ([]router.Peer, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, list := range slices.Backward(c.lists) {
		isListed := slices.ContainsFunc(list.peers, func(peer router.Peer) bool { return peer.Name == name })
		if isListed && time.Since(list.at) >= lag {
			return list.peers, true
		}
	}
	return nil, false
}

// fakeSource is the configuration source of one router.
type fakeSource struct {
	control *fakeControl
	name    string
	// lag is the delay of lists; a joining router receives its first list at once.
	lag          time.Duration
	disconnected atomic.Bool
}

// Run implements router.ConfigSource.
func (s *fakeSource) Run(ctx context.Context, sink router.ConfigSink) error {
	sink.InstallPlan(1, s.control.plan)
	s.control.add(s.name)
	lag := time.Duration(0)
	var installed []router.Peer
	for ; ctx.Err() == nil; time.Sleep(shareLease / 40) {
		if s.disconnected.Load() {
			continue
		}
		if peers, listed := s.control.listFor(s.name, lag); listed && !slices.Equal(peers, installed) {
			sink.InstallRouters(peers)
			installed, lag = peers, s.lag
		}
		sink.ExtendLease(time.Now().Add(shareLease))
	}
	return nil
}

// disconnect ends the delivery of updates to the router. Its lease lapses before the
// others learn that it was removed.
func (s *fakeSource) disconnect() {
	s.disconnected.Store(true)
	time.Sleep(shareLease * 11 / 10)
	s.control.remove(s.name)
}

func (s *fakeSource) Observe(netip.AddrPort, query.MachineState) {}
func (s *fakeSource) Leave(context.Context) error                { s.control.remove(s.name); return nil }
func (s *fakeSource) Describe() string                           { return "test" }

// shareNode is a router under constant load.
type shareNode struct {
	*router.Router
	source *fakeSource
	stop   func()
}

func startShareNode(t *testing.T, control *fakeControl, name string, lag time.Duration) *shareNode {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	metrics := prometheus.NewRegistry()
	node := &shareNode{source: &fakeSource{control: control, name: name, lag: lag}}
	node.Router = router.New(
		router.Config{Name: name, Zone: "a", Boot: 1, ProbeInterval: 20 * time.Millisecond, ShareDelay: shareDelay},
		router.Dependencies{
			Logger: logger, Registerer: metrics,
			Backends: backend.New(backend.Config{Zone: "a"}, backend.Dependencies{Logger: logger, Registerer: metrics}),
			Claims:   router.NewLocalClaims(), Events: router.EventLog{Logger: logger}, Source: node.source, Forwarder: refusingForwarder{},
			NewEngine: func(int) router.Engine { return query.New(query.Config{Zone: "a"}) },
		})
	running, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { _ = node.Run(running) })
	for caller := range shareLimit {
		goroutines.Go(func() {
			for number := 0; running.Err() == nil; number++ {
				answer := node.Query(running, router.Request{Route: "find", Body: []byte(`{}`),
					CallerID: name + "-" + strconv.Itoa(caller) + "-" + strconv.Itoa(number)})
				if answer.Err != nil {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	node.stop = sync.OnceFunc(func() {
		cancel()
		goroutines.Wait()
	})
	t.Cleanup(node.stop)
	return node
}

// refusingForwarder stands in for peers that refuse every request.
type refusingForwarder struct{}

func (refusingForwarder) Forward(context.Context, router.Peer, router.Request) query.Answer {
	return query.Answer{Verdict: verdict.NotRun, Err: verdict.Refuse(verdict.ReasonNoReplica, "not here")}
}

// shares returns the router's connection share of each back end.
func (n *shareNode) shares() []int {
	return lo.FlatMap(n.Status().Services, func(service router.ServiceStatus, _ int) []int {
		return lo.Map(service.Backends, func(server router.BackendStatus, _ int) int { return server.Connections })
	})
}

// awaitShares waits until every router holds its part of the limit: one part more
// than there are routers stays free for a router that joins.
func awaitShares(t *testing.T, nodes []*shareNode) {
	t.Helper()
	least := shareLimit / (len(nodes) + 1)
	require.Eventually(t, func() bool {
		return lo.EveryBy(nodes, func(node *shareNode) bool {
			shares := node.shares()
			return len(shares) > 0 && lo.EveryBy(shares, func(share int) bool { return share == least || share == least+1 })
		})
	}, 30*time.Second, 10*time.Millisecond, "a share of %d was not reached", least)
}

// Guards against connections from routers outside a service's cell. With a cell of
// one router, the others know nothing of the back end and connect to none. When the
// router of the cell fails, the next one takes over.
func TestRouterKeepsToItsCells(t *testing.T) {
	replica := plan.Replica{Address: netip.MustParseAddrPort("127.0.0.1:0"), Zone: "a", Slots: shareLimit, Connections: shareLimit}
	configured := costPlan(nil, plan.Merge{Kind: plan.MergeConcat})
	configured.Services[0].CellRouters = 1
	configured.Services[0].Generations[0].Shards = []plan.Shard{{Name: "all", Replicas: []plan.Replica{replica}}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	fleet, err := emulator.New(emulator.Config{Plans: []*plan.Plan{configured}, QueuePerSlot: 64, FirstVersion: 1, MaxBody: 1 << 20,
		Model: servicetime.Model{Default: servicetime.Distribution{Median: time.Millisecond}}},
		emulator.Dependencies{Logger: logger})
	require.NoError(t, err)
	require.NoError(t, fleet.Start())
	t.Cleanup(fleet.Close)
	control := &fakeControl{plan: fleet.BoundPlan(configured)}
	first := startShareNode(t, control, "router-0", 0)
	second := startShareNode(t, control, "router-1", 0)
	holds := func(node *shareNode) bool { return lo.Sum(node.shares()) > 0 }
	require.Eventually(t, func() bool {
		inCell := lo.CountBy([]*shareNode{first, second}, func(node *shareNode) bool { return len(node.Status().Services) > 0 })
		return inCell == 1 && holds(first) != holds(second)
	}, 30*time.Second, 10*time.Millisecond)
	member, other := first, second
	if holds(second) {
		member, other = second, first
	}
	member.stop()
	member.source.disconnect()
	require.Eventually(t, func() bool { return holds(other) }, 30*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		answer := other.Query(t.Context(), router.Request{Route: "find", Body: []byte(`{}`), CallerID: "after"})
		return answer.Err == nil && answer.Complete
	}, 30*time.Second, 10*time.Millisecond)
	for _, server := range fleet.Servers() {
		require.Zero(t, server.Counts().ConnectionsRefused)
	}
}

// Guards against more connections to a server than its limit. Under load, routers
// join, stop as planned, lose contact with control and fail, and each time the
// remaining routers take over the freed connections.
func TestServerLimitIsSharedThroughJoinsAndFailures(t *testing.T) {
	replica := plan.Replica{Address: netip.MustParseAddrPort("127.0.0.1:0"), Zone: "a", Slots: shareLimit, Connections: shareLimit}
	configured := costPlan(nil, plan.Merge{Kind: plan.MergeConcat})
	configured.Services[0].Generations[0].Shards = []plan.Shard{{Name: "all", Replicas: []plan.Replica{replica}}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	fleet, err := emulator.New(emulator.Config{Plans: []*plan.Plan{configured}, QueuePerSlot: 64, FirstVersion: 1, MaxBody: 1 << 20,
		Model: servicetime.Model{Default: servicetime.Distribution{Median: 100 * time.Millisecond}}},
		emulator.Dependencies{Logger: logger})
	require.NoError(t, err)
	require.NoError(t, fleet.Start())
	t.Cleanup(fleet.Close)

	control := &fakeControl{plan: fleet.BoundPlan(configured)}
	var nodes []*shareNode
	join := func(names ...string) {
		for _, name := range names {
			nodes = append(nodes, startShareNode(t, control, name, shareLease*3/4))
		}
		awaitShares(t, nodes)
	}
	join("router-0")
	join("router-1")
	join("router-2")
	require.NoError(t, nodes[0].Stop(t.Context()), "planned stop")
	nodes[0].stop()
	nodes = nodes[1:]
	awaitShares(t, nodes)
	join("router-3", "router-4")

	failed := nodes[0]
	nodes = nodes[1:]
	failed.stop()
	failed.source.disconnect()
	awaitShares(t, nodes)

	// This router keeps running with its connections until its lease has lapsed.
	isolated := nodes[0]
	nodes = nodes[1:]
	isolated.source.disconnect()
	awaitShares(t, nodes)
	ready, _ := isolated.Ready()
	require.False(t, ready)
	require.Eventually(t, func() bool {
		return lo.Sum(isolated.shares()) == 0
	}, 30*time.Second, 10*time.Millisecond)

	for _, server := range fleet.Servers() {
		counts := server.Counts()
		require.Zero(t, counts.ConnectionsRefused, "connections above the limit of %d", shareLimit)
		require.Greater(t, counts.PeakConnections, int64(shareLimit*2/3), "the limit was used")
		require.LessOrEqual(t, counts.PeakConnections, int64(shareLimit))
	}
}
