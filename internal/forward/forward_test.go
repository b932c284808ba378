package forward

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/cell"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/verdict"
)

var routerNames = []string{"router-0", "router-1", "router-2"}

func cellPlan() *plan.Plan {
	replica := plan.Replica{Address: netip.MustParseAddrPort("127.0.0.1:0"), Zone: "a", Slots: 8, Connections: 40}
	policy := plan.Policy{
		Name: "one", Priority: plan.PriorityNormal, Deadline: 2 * time.Second, SnapshotCoverage: 1,
		Statements: []plan.Statement{
			{Condition: plan.Condition{Kind: plan.ConditionCoverage, Ratio: 1}, Action: plan.ActionAnswer},
			{Condition: plan.Condition{Kind: plan.ConditionElapsed, Duration: time.Second}, Action: plan.ActionFail},
		},
		Merge: plan.Merge{Kind: plan.MergeConcat},
	}
	once := policy
	once.Once, once.ClaimExpiry = true, time.Hour
	return &plan.Plan{
		Services: []plan.Service{{
			Name: "search", CellRouters: 1,
			Generations: []plan.Generation{{Number: 1, Shards: []plan.Shard{{Name: "all", Replicas: []plan.Replica{replica}}}}},
		}},
		Routes: []plan.Route{
			{Name: "find", Service: "search", Target: plan.TargetAll, Policy: policy},
			{Name: "send", Service: "search", Target: plan.TargetAll, Policy: once},
		},
	}
}

// fixedSource gives a router a plan, a long lease and its peers.
type fixedSource struct {
	plan  *plan.Plan
	peers []router.Peer
}

func (s *fixedSource) Run(ctx context.Context, sink router.ConfigSink) error {
	sink.InstallPlan(1, s.plan)
	sink.ExtendLease(time.Now().Add(time.Hour))
	sink.InstallRouters(s.peers)
	<-ctx.Done()
	return nil
}
func (s *fixedSource) Observe(netip.AddrPort, query.MachineState) {}
func (s *fixedSource) Leave(context.Context) error                { return nil }
func (s *fixedSource) Describe() string                           { return "test" }

// node is a router with its listener for peers.
type node struct {
	*router.Router
	listener *rpc.Server
}

// newFleet starts three routers, of which only one is in the service's cell. It
// returns the member of the cell and the others.
func newFleet(t *testing.T) (member node, others []node, record *emulator.MemoryRecorder) {
	t.Helper()
	started := startFleet(t)
	return started.member, started.others, started.record
}

// routerFleet holds the routers and back ends started by startFleet.
type routerFleet struct {
	member node
	others []node
	record *emulator.MemoryRecorder
	// closeBackends stops the back ends, which completes their record. It may be
	// called twice.
	closeBackends func()
}

func startFleet(t *testing.T) (started routerFleet) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	whole := cellPlan()
	record := &emulator.MemoryRecorder{}
	started.record = record
	fleet, err := emulator.New(emulator.Config{Plans: []*plan.Plan{whole}, QueuePerSlot: 8, FirstVersion: 1, MaxBody: 1 << 20},
		emulator.Dependencies{Recorder: record, Logger: logger})
	require.NoError(t, err)
	require.NoError(t, fleet.Start())
	started.closeBackends = sync.OnceFunc(fleet.Close)
	t.Cleanup(started.closeBackends)

	nodes := make([]node, len(routerNames))
	peers := make([]router.Peer, len(routerNames))
	for index, name := range routerNames {
		mux := http.NewServeMux()
		mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
			_, handler := NewHandler(nodes[index], rpc.Plaintext())
			handler.ServeHTTP(writer, request)
		})
		listener, err := rpc.NewServer(testaddress.Next().String(), mux, rpc.Plaintext(), logger)
		require.NoError(t, err)
		go func() { _ = listener.Serve() }()
		t.Cleanup(func() { _ = listener.Close() })
		nodes[index].listener = listener
		peers[index] = router.Peer{Name: name, Zone: "a", Address: netip.MustParseAddrPort(listener.Address())}
	}
	for index, name := range routerNames {
		nodes[index].Router = newRouter(t, name, &fixedSource{plan: fleet.BoundPlan(whole), peers: peers}, logger)
		if name == cell.Members("search", routerNames, 1)[0] {
			started.member = nodes[index]
		} else {
			started.others = append(started.others, nodes[index])
		}
	}
	for _, one := range nodes {
		require.Eventually(t, func() bool { ready, _ := one.Ready(); return ready }, 10*time.Second, time.Millisecond)
	}
	return started
}

func newRouter(t *testing.T, name string, source router.ConfigSource, logger *logrus.Logger) *router.Router {
	t.Helper()
	return newRouterWith(t, name, source, logger, func(*router.Config, *router.Dependencies) {})
}

// newRouterWith starts a router whose configuration and dependencies the caller
// may change.
func newRouterWith(t *testing.T, name string, source router.ConfigSource, logger *logrus.Logger,
	change func(*router.Config, *router.Dependencies)) *router.Router {
	t.Helper()
	created := makeRouter(name, source, logger, change)
	running, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- created.Run(running) }()
	t.Cleanup(func() {
		end()
		<-ended
	})
	return created
}

func makeRouter(name string, source router.ConfigSource, logger *logrus.Logger,
	change func(*router.Config, *router.Dependencies)) *router.Router {
	registry, client := prometheus.NewRegistry(), NewClient(name, rpc.Plaintext())
	config := router.Config{Name: name, Zone: "a", Boot: 1, ProbeInterval: 20 * time.Millisecond}
	dependencies := router.Dependencies{
		Logger: logger, Registerer: registry,
		Backends:  backend.New(backend.Config{}, backend.Dependencies{Logger: logger, Registerer: registry}),
		Claims:    router.NewLocalClaims(),
		Events:    router.EventLog{Logger: logger},
		Source:    source,
		Forwarder: client,
		Regions:   client,
		NewEngine: func(int) router.Engine { return query.New(query.Config{Zone: "a"}) },
	}
	change(&config, &dependencies)
	return router.New(config, dependencies)
}

func TestRequestIsForwardedToTheCellOfItsService(t *testing.T) {
	member, others, _ := newFleet(t)
	ask := func(asked node, id string) query.Answer {
		return asked.Query(t.Context(), router.Request{CallerID: id, Route: "find", Body: []byte(`{}`)})
	}
	for _, asked := range append(others, member) {
		require.Eventually(t, func() bool { return ask(asked, "warm").Err == nil }, 10*time.Second, 5*time.Millisecond)
	}
	want := ask(member, "same")
	for _, other := range others {
		got := ask(other, "same")
		require.Equal(t, want.Items, got.Items)
		require.Equal(t, want.Snapshot, got.Snapshot)
		require.True(t, got.Complete)
		require.Equal(t, want.Covered[0].Name, got.Covered[0].Name)
		for _, service := range other.Status().Services {
			for _, server := range service.Backends {
				require.Zero(t, server.Open, "a router outside the cell connects to no back end")
			}
		}
	}
}

func TestForwardedRequestRunsAtMostOnce(t *testing.T) {
	member, others, record := newFleet(t)
	ask := func(asked node, id string) query.Answer {
		return asked.Query(t.Context(), router.Request{CallerID: id, Route: "send", Body: []byte(`{}`)})
	}
	require.Eventually(t, func() bool { return ask(others[0], "warm-"+time.Now().String()).Err == nil }, 10*time.Second, 5*time.Millisecond)
	require.Nil(t, ask(others[0], "id-1").Err)
	for _, asked := range append(others, member) {
		again := ask(asked, "id-1")
		require.NotNil(t, again.Err)
		require.Equal(t, verdict.ReasonClaimHeld, again.Err.Reason)
	}
	executions := 0
	for _, execution := range record.Executions() {
		if execution.Request == "id-1" && execution.Executed {
			executions++
		}
	}
	require.LessOrEqual(t, executions, 1)
	require.NoError(t, member.listener.Close())
	refused := ask(others[0], "id-2")
	require.Equal(t, verdict.ReasonConnection, refused.Err.Reason)
}
