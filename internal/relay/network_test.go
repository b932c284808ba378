package relay

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/martenstage/martenstage/internal/follower"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
)

// network carries Sync calls between named processes. A cut direction drops
// packets silently: the caller gets no response before its own timeout.
type network struct {
	mutex   sync.Mutex
	cuts    map[string]bool
	servers map[string]martenstagev1connect.FollowServiceHandler
}

const oneWayDelay = time.Millisecond

func newNetwork() *network {
	return &network{cuts: make(map[string]bool), servers: make(map[string]martenstagev1connect.FollowServiceHandler)}
}

func (n *network) cut(from, to string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts[from+">"+to] = cut
}

func (n *network) cutBoth(left, right string, cut bool) {
	n.cut(left, right, cut)
	n.cut(right, left, cut)
}

// pass carries a packet or blocks until the caller gives up.
func (n *network) pass(ctx context.Context, from, to string) error {
	time.Sleep(oneWayDelay)
	n.mutex.Lock()
	dropped := n.cuts[from+">"+to]
	n.mutex.Unlock()
	if dropped {
		<-ctx.Done()
	}
	return ctx.Err()
}

type connection struct {
	network  *network
	from, to string
}

func (l connection) Sync(
	ctx context.Context, request *connect.Request[v1.SyncRequest],
) (*connect.Response[v1.SyncResponse], error) {
	if err := l.network.pass(ctx, l.from, l.to); err != nil {
		return nil, err
	}
	l.network.mutex.Lock()
	server := l.network.servers[l.to]
	l.network.mutex.Unlock()
	if server == nil {
		return nil, errors.New("connection refused")
	}
	response, err := server.Sync(ctx, connect.NewRequest(proto.Clone(request.Msg).(*v1.SyncRequest)))
	if passed := l.network.pass(ctx, l.to, l.from); passed != nil {
		return nil, passed
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(proto.Clone(response.Msg).(*v1.SyncResponse)), nil
}

func (n *network) dial(from string) follower.Dial {
	return func(to string) martenstagev1connect.FollowServiceClient {
		return connection{network: n, from: from, to: to}
	}
}

func (n *network) serve(name string, handler martenstagev1connect.FollowServiceHandler) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.servers[name] = handler
}

// fakeConsensus replaces the consensus of the control voters.
type fakeConsensus struct {
	network *network
	voters  []string

	mutex    sync.Mutex
	term     uint64
	leader   string
	revision uint64
	latest   *plan.Plan
	changed  chan struct{}
}

func (g *fakeConsensus) elect(leader string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.term++
	g.leader = leader
}

func (g *fakeConsensus) accept() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.revision++
	g.latest = &plan.Plan{Services: []plan.Service{{Name: fmt.Sprintf("service-%d", g.revision)}}}
	close(g.changed)
	g.changed = make(chan struct{})
	return g.revision
}

// fakeVoter is one member of the group. An isolated voter keeps its old term and
// receives no new revisions.
type fakeVoter struct {
	name  string
	group *fakeConsensus

	mutex            sync.Mutex
	isolated         bool
	isolatedRevision uint64
	isolatedPlan     *plan.Plan
	neverChanges     chan struct{}
}

func (v *fakeVoter) setIsolated(frozen bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.isolatedRevision, v.isolatedPlan, _ = v.group.snapshot()
	v.isolated = frozen
}

func (g *fakeConsensus) snapshot() (uint64, *plan.Plan, <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.revision, g.latest, g.changed
}

func (v *fakeVoter) Latest() (uint64, *plan.Plan, <-chan struct{}) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.isolated {
		return v.isolatedRevision, v.isolatedPlan, v.neverChanges
	}
	return v.group.snapshot()
}

func (v *fakeVoter) ConfirmLeadership(ctx context.Context) (uint64, error) {
	v.mutex.Lock()
	frozen := v.isolated
	v.mutex.Unlock()
	if frozen {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	time.Sleep(2 * oneWayDelay)
	v.group.mutex.Lock()
	defer v.group.mutex.Unlock()
	if v.group.leader != v.name {
		return 0, &follower.NotLeaderError{Leader: v.group.leader}
	}
	return v.group.term, nil
}

// fleet is a control group, relays and routers on one network.
type fleet struct {
	t        *testing.T
	ctx      context.Context
	network  *network
	group    *fakeConsensus
	voters   map[string]*fakeVoter
	roots    map[string]*follower.Root
	events   map[string]*eventLog
	running  sync.WaitGroup
	lastBoot uint64
}

func newFleet(t *testing.T, ctx context.Context, voters ...string) *fleet {
	network := newNetwork()
	fleet := &fleet{
		t: t, ctx: ctx, network: network,
		group:  &fakeConsensus{network: network, voters: voters, changed: make(chan struct{})},
		voters: make(map[string]*fakeVoter), roots: make(map[string]*follower.Root),
		events: make(map[string]*eventLog),
	}
	fleet.group.elect(voters[0])
	fleet.group.accept()
	for _, name := range voters {
		member := &fakeVoter{name: name, group: fleet.group, neverChanges: make(chan struct{})}
		events := &eventLog{}
		root := follower.NewRoot(
			follower.HandlerConfig{Name: name, Lease: lease.DefaultDuration},
			follower.HandlerDeps{
				Plans: member, Authority: follower.NewLeaderAuthority(member, lease.DefaultDuration),
				Events: events, Logger: discardLogger(), Registerer: prometheus.NewRegistry(),
			})
		fleet.events[name] = events
		fleet.voters[name], fleet.roots[name] = member, root
		network.serve(name, root)
		fleet.goRun(ctx, root.Run)
	}
	return fleet
}

func (f *fleet) goRun(ctx context.Context, run func(context.Context)) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		run(ctx)
	}()
}

func discardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func fixedRandom() float64 { return 0.5 }

func (f *fleet) startRelay(ctx context.Context, name string, upstreams ...string) *Relay {
	f.lastBoot++
	relay, err := New(
		Config{Name: name, Boot: f.lastBoot, Upstreams: upstreams},
		Deps{Dial: f.network.dial(name), Logger: discardLogger(), Registerer: prometheus.NewRegistry(), Random: fixedRandom})
	require.NoError(f.t, err)
	f.network.serve(name, relay.Service())
	f.goRun(ctx, func(ctx context.Context) { _ = relay.Run(ctx) })
	return relay
}

func (f *fleet) startRouter(ctx context.Context, name string, upstreams ...string) *fakeRouter {
	f.lastBoot++
	started := &fakeRouter{name: name, routers: membership.NewRouterTable(), machines: membership.NewMachineTable()}
	upstreamFollower, err := follower.New(
		follower.Config{
			Node:      membership.Node{Name: name, Role: membership.RoleRouter, Boot: f.lastBoot},
			Upstreams: upstreams,
		},
		follower.Deps{
			Dial: f.network.dial(name), Sink: started, Logger: discardLogger(),
			Registerer: prometheus.NewRegistry(), Random: fixedRandom,
		})
	require.NoError(f.t, err)
	started.follower = upstreamFollower
	f.goRun(ctx, func(ctx context.Context) { _ = upstreamFollower.Run(ctx) })
	return started
}

// fakeRouter records the revision and the lease that a router admits work under.
type fakeRouter struct {
	name     string
	follower *follower.Follower

	mutex    sync.Mutex
	revision uint64
	until    time.Time
	routers  *membership.Table[membership.Node]
	machines *membership.Table[membership.Machine]
}

func (r *fakeRouter) InstallPlan(revision uint64, _ *plan.Plan) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.revision = revision
}

func (r *fakeRouter) ExtendLease(_ uint64, until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.until = until
}

func (r *fakeRouter) MergeRouters(changes membership.Changes[membership.Node]) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.routers.Merge(changes)
}

func (r *fakeRouter) MergeMachines(changes membership.Changes[membership.Machine]) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.machines.Merge(changes)
}

func (r *fakeRouter) Versions() (uint64, uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.routers.Version(), r.machines.Version()
}

// admits returns the revision that the router admits work under now, and false
// when it admits none.
func (r *fakeRouter) admits() (uint64, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.revision, time.Now().Before(r.until)
}
