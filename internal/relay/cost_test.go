package relay

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/follower"
	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/rpc"
)

// BenchmarkChangeTakesEffect measures, over real sockets and in one process, how
// long it takes until control knows that an accepted change is in effect at all
// followers. It also measures the CPU time of all processes per follower and
// second without changes.
func BenchmarkChangeTakesEffect(b *testing.B) {
	for _, size := range []struct{ relays, followers int }{{1, 100}, {4, 400}, {4, 900}, {20, 4500}} {
		b.Run(fmt.Sprintf("relays=%d/followers=%d", size.relays, size.followers), func(b *testing.B) {
			benchmarkChange(b, size.relays, size.followers)
		})
	}
}

// startServer serves a service on a socket until the context ends.
func startServer(ctx context.Context, b *testing.B, service martenstagev1connect.FollowServiceHandler) string {
	mux := http.NewServeMux()
	mux.Handle(martenstagev1connect.NewFollowServiceHandler(service, rpc.HandlerOptions()))
	server, err := rpc.NewServer("127.0.0.1:0", mux, rpc.Plaintext(), discardLogger())
	require.NoError(b, err)
	go func() { _ = server.Serve() }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return server.Address()
}

func benchmarkChange(b *testing.B, relays, followers int) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	group := &fakeConsensus{changed: make(chan struct{})}
	group.elect("control-1")
	revision := group.accept()
	root := follower.NewRoot(
		follower.HandlerConfig{Name: "control-1", Lease: lease.DefaultDuration},
		follower.HandlerDeps{
			Plans:     &fakeVoter{name: "control-1", group: group},
			Authority: follower.NewLeaderAuthority(&fakeVoter{name: "control-1", group: group}, lease.DefaultDuration),
			Logger:    discardLogger(), Registerer: prometheus.NewRegistry(),
		})
	running.Go(func() { root.Run(ctx) })
	control := startServer(ctx, b, root)
	addresses := make([]string, 0, relays)
	for number := range relays {
		relay, err := New(
			Config{Name: fmt.Sprintf("relay-%d", number), Boot: 1, Upstreams: []string{control}},
			Deps{
				Dial: newSeparateDial(), Logger: discardLogger(), Registerer: prometheus.NewRegistry(), Random: fixedRandom,
			})
		require.NoError(b, err)
		running.Go(func() { _ = relay.Run(ctx) })
		addresses = append(addresses, startServer(ctx, b, relay.Service()))
	}
	for number := range followers {
		node := &fakeRouter{routers: membership.NewRouterTable(), machines: membership.NewMachineTable()}
		routerFollower, err := follower.New(
			follower.Config{
				Node:      membership.Node{Name: fmt.Sprintf("router-%d", number), Role: membership.RoleRouter, Boot: 1},
				Upstreams: addresses,
			},
			follower.Deps{
				Dial: newSeparateDial(), Sink: node, Logger: discardLogger(), Registerer: prometheus.NewRegistry(), Random: fixedRandom,
			})
		require.NoError(b, err)
		running.Go(func() { _ = routerFollower.Run(ctx) })
	}
	await := func(revision uint64) {
		for root.ActiveRevision() < revision {
			time.Sleep(time.Millisecond)
		}
	}
	await(revision)
	for len(root.Nodes()) < relays+followers {
		time.Sleep(10 * time.Millisecond)
	}
	const quietTime = 5 * time.Second
	before := cpuTime()
	time.Sleep(quietTime)
	used := cpuTime() - before
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ResetTimer()
	for b.Loop() {
		await(group.accept())
	}
	b.ReportMetric(used.Seconds()/quietTime.Seconds()/float64(followers)*1e6, "cpu-µs/follower/s")
	b.ReportMetric(float64(memory.HeapInuse)/float64(followers)/1024, "heap-KiB/follower")
}

// newSeparateDial returns a Dial with its own connections, as a separate process
// would have.
func newSeparateDial() follower.Dial {
	return follower.NewDial(rpc.NewClient(rpc.Plaintext(), rpc.ClientConfig{}))
}

// cpuTime returns the CPU time used by this process so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
