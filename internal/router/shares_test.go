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
	// shareLimit is what each emulated server accepts; one connection more is
	// refused and counted.
	shareLimit = 40
	// shareLease and shareDelay keep the order that the defaults have: a share
	// grows only after leases and the connections kept past them have ended.
	shareLease = 400 * time.Millisecond
	shareDelay = 800 * time.Millisecond
)

// registry stands for control: it renews the leases of its routers and lists
// those that live. A router that leaves is off the list at once, one that is
// cut off once its lease has lapsed. Lists reach the routers late.
type registry struct {
	mutex   sync.Mutex
	plan    *plan.Plan
	members []string
	lists   []published
}

// published is a list of live routers with the time of its making.
type published struct {
	at    time.Time
	peers []router.Peer
}

func (r *registry) add(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.publish(append(slices.Clip(r.members), name))
}

func (r *registry) remove(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.publish(lo.Without(r.members, name))
}

func (r *registry) publish(members []string) {
	r.members = members
	r.lists = append(r.lists, published{at: time.Now(), peers: lo.Map(members, func(name string, _ int) router.Peer {
		return router.Peer{Name: name, Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	})})
}

// listFor returns the newest list that is at least as old as a lag and names
// the member.
func (r *registry) listFor(name string, lag time.Duration) ([]router.Peer, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, list := range slices.Backward(r.lists) {
		isListed := slices.ContainsFunc(list.peers, func(peer router.Peer) bool { return peer.Name == name })
		if isListed && time.Since(list.at) >= lag {
			return list.peers, true
		}
	}
	return nil, false
}

// member is the source of one router.
type member struct {
	registry *registry
	name     string
	// lag is how late lists come; a join is heard of at once by the one that
	// joins.
	lag time.Duration
	cut atomic.Bool
}

// Run implements router.ConfigSource.
func (m *member) Run(ctx context.Context, sink router.ConfigSink) error {
	sink.InstallPlan(1, m.registry.plan)
	m.registry.add(m.name)
	lag := time.Duration(0)
	var installed []router.Peer
	for ; ctx.Err() == nil; time.Sleep(shareLease / 40) {
		if m.cut.Load() {
			continue
		}
		if peers, listed := m.registry.listFor(m.name, lag); listed && !slices.Equal(peers, installed) {
			sink.InstallRouters(peers)
			installed, lag = peers, m.lag
		}
		sink.ExtendLease(time.Now().Add(shareLease))
	}
	return nil
}

// cutOff ends the delivery of news to the member. Its lease lapses before
// the others hear of it.
func (m *member) cutOff() {
	m.cut.Store(true)
	time.Sleep(shareLease * 11 / 10)
	m.registry.remove(m.name)
}

func (m *member) Observe(netip.AddrPort, query.MachineState) {}
func (m *member) Leave(context.Context) error                { m.registry.remove(m.name); return nil }
func (m *member) Describe() string                           { return "test" }

// shareNode is a router under constant load.
type shareNode struct {
	*router.Router
	source *member
	end    func()
}

func startShareNode(t *testing.T, control *registry, name string, lag time.Duration) *shareNode {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	metrics := prometheus.NewRegistry()
	node := &shareNode{source: &member{registry: control, name: name, lag: lag}}
	node.Router = router.New(
		router.Config{Name: name, Zone: "a", Boot: 1, ProbeInterval: 20 * time.Millisecond, ShareDelay: shareDelay},
		router.Dependencies{
			Logger: logger, Registerer: metrics,
			Backends: backend.New(backend.Config{Zone: "a"}, backend.Dependencies{Logger: logger, Registerer: metrics}),
			Claims:   router.NewLocalClaims(), Events: router.EventLog{Logger: logger}, Source: node.source, Forwarder: refuser{},
			NewEngine: func(int) router.Engine { return query.New(query.Config{Zone: "a"}) },
		})
	running, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() { _ = node.Run(running) })
	for caller := range shareLimit {
		duties.Go(func() {
			for number := 0; running.Err() == nil; number++ {
				answer := node.Query(running, router.Request{Route: "find", Body: []byte(`{}`),
					CallerID: name + "-" + strconv.Itoa(caller) + "-" + strconv.Itoa(number)})
				if answer.Err != nil {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	node.end = sync.OnceFunc(func() {
		cancel()
		duties.Wait()
	})
	t.Cleanup(node.end)
	return node
}

// refuser stands for peers that take nothing.
type refuser struct{}

func (refuser) Forward(context.Context, router.Peer, router.Request) query.Answer {
	return query.Answer{Verdict: verdict.NotRun, Err: verdict.Refuse(verdict.ReasonNoReplica, "not here")}
}

// shares returns the router's connection shares, one per back end.
func (n *shareNode) shares() []int {
	return lo.FlatMap(n.Status().Services, func(service router.ServiceStatus, _ int) []int {
		return lo.Map(service.Backends, func(server router.BackendStatus, _ int) int { return server.Connections })
	})
}

// awaitShares waits until every router holds its part of the limit: one part
// more than there are routers stays free for one that joins.
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

// With a cell of one router, the others know nothing of the back end and
// connect to none. When the router of the cell dies, the next one takes over.
func TestRouterKeepsToItsCells(t *testing.T) {
	replica := plan.Replica{Address: netip.MustParseAddrPort("127.0.0.1:0"), Zone: "a", Slots: shareLimit, Connections: shareLimit}
	whole := costPlan(nil, plan.Merge{Kind: plan.MergeConcat})
	whole.Services[0].CellRouters = 1
	whole.Services[0].Generations[0].Shards = []plan.Shard{{Name: "all", Replicas: []plan.Replica{replica}}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	fleet, err := emulator.New(emulator.Config{Plans: []*plan.Plan{whole}, QueuePerSlot: 64, FirstVersion: 1, MaxBody: 1 << 20,
		Model: servicetime.Model{Default: servicetime.Distribution{Median: time.Millisecond}}},
		emulator.Dependencies{Logger: logger})
	require.NoError(t, err)
	require.NoError(t, fleet.Start())
	t.Cleanup(fleet.Close)
	control := &registry{plan: fleet.BoundPlan(whole)}
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
	member.end()
	member.source.cutOff()
	require.Eventually(t, func() bool { return holds(other) }, 30*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		answer := other.Query(t.Context(), router.Request{Route: "find", Body: []byte(`{}`), CallerID: "after"})
		return answer.Err == nil && answer.Complete
	}, 30*time.Second, 10*time.Millisecond)
	for _, server := range fleet.Servers() {
		require.Zero(t, server.Counts().ConnectionsRefused)
	}
}

// Routers join, leave as planned, are cut off from control and die, all under
// load, and no server ever sees more connections than its limit. Every time
// the routers that are left take over what has become free.
func TestServersLimitIsSharedThroughJoinsAndDeaths(t *testing.T) {
	replica := plan.Replica{Address: netip.MustParseAddrPort("127.0.0.1:0"), Zone: "a", Slots: shareLimit, Connections: shareLimit}
	whole := costPlan(nil, plan.Merge{Kind: plan.MergeConcat})
	whole.Services[0].Generations[0].Shards = []plan.Shard{{Name: "all", Replicas: []plan.Replica{replica}}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	fleet, err := emulator.New(emulator.Config{Plans: []*plan.Plan{whole}, QueuePerSlot: 64, FirstVersion: 1, MaxBody: 1 << 20,
		Model: servicetime.Model{Default: servicetime.Distribution{Median: 100 * time.Millisecond}}},
		emulator.Dependencies{Logger: logger})
	require.NoError(t, err)
	require.NoError(t, fleet.Start())
	t.Cleanup(fleet.Close)

	control := &registry{plan: fleet.BoundPlan(whole)}
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
	nodes[0].end()
	nodes = nodes[1:]
	awaitShares(t, nodes)
	join("router-3", "router-4")

	dead := nodes[0]
	nodes = nodes[1:]
	dead.end()
	dead.source.cutOff()
	awaitShares(t, nodes)

	// This one lives on with its connections until its lease has lapsed.
	apart := nodes[0]
	nodes = nodes[1:]
	apart.source.cutOff()
	awaitShares(t, nodes)
	ready, _ := apart.Ready()
	require.False(t, ready)
	require.Eventually(t, func() bool {
		return lo.Sum(apart.shares()) == 0
	}, 30*time.Second, 10*time.Millisecond)

	for _, server := range fleet.Servers() {
		counts := server.Counts()
		require.Zero(t, counts.ConnectionsRefused, "connections above the limit of %d", shareLimit)
		require.Greater(t, counts.PeakConnections, int64(shareLimit*2/3), "the limit was put to use")
		require.LessOrEqual(t, counts.PeakConnections, int64(shareLimit))
	}
}
