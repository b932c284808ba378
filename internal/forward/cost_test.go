package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/testlink"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/remote"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/verdict"
)

// The owning region runs in a child process, this test binary with
// benchmarkRegionEnv set, so that the benchmarks measure only the calling region.
const (
	benchmarkRegionEnv = "MARTENSTAGE_COST_REGION"
	benchmarkCallers   = 32
	benchmarkBody      = `{"q":"desk","near":[13.7563,100.5018],"limit":10}`
)

// benchmarkServices maps each service to its number of shards.
var benchmarkServices = map[string]int{"one": 1, "sixteen": 16}

func TestMain(m *testing.M) {
	if os.Getenv(benchmarkRegionEnv) != "" {
		serveBenchmarkRegion()
		return
	}
	os.Exit(m.Run())
}

// benchmarkPlan returns a plan of the services with one route each, whose name
// starts with the prefix.
func benchmarkPlan(prefix string) *plan.Plan {
	built := &plan.Plan{}
	for _, name := range []string{"one", "sixteen"} {
		generation := plan.Generation{Number: 1}
		for shard := range benchmarkServices[name] {
			replica := plan.Replica{Address: netip.MustParseAddrPort("127.0.0.1:0"), Zone: "a", Slots: 256, Connections: 256}
			generation.Shards = append(generation.Shards,
				plan.Shard{ID: uint32(shard), Name: fmt.Sprint("g", shard), Replicas: []plan.Replica{replica}})
		}
		built.Services = append(built.Services, plan.Service{Name: name, Generations: []plan.Generation{generation}})
		route := cellPlan().Routes[0]
		route.Name, route.Service = prefix+name, name
		built.Routes = append(built.Routes, route)
	}
	return built
}

// serveBenchmarkRegion runs back ends and a router, prints the router's address
// for peers and those of the back ends, and returns when its standard input is
// closed.
func serveBenchmarkRegion() {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	planned := benchmarkPlan("far-")
	fleet := lo.Must(emulator.New(emulator.Config{Plans: []*plan.Plan{planned}, QueuePerSlot: 64, FirstVersion: 1, MaxBody: 1 << 20},
		emulator.Dependencies{Recorder: &emulator.MemoryRecorder{}, Logger: logger}))
	lo.Must0(fleet.Start())
	bound := fleet.BoundPlan(planned)
	served := makeRouter("north", &fixedSource{plan: bound}, logger, func(*router.Config, *router.Dependencies) {})
	go func() { _ = served.Run(context.Background()) }()
	mux := http.NewServeMux()
	mux.Handle(NewHandler(served, rpc.Plaintext()))
	listener := lo.Must(rpc.NewServer("127.0.0.1:0", mux, rpc.Plaintext(), logger))
	go func() { _ = listener.Serve() }()
	fmt.Println(listener.Address())
	for _, service := range bound.Services {
		for _, shard := range service.Generations[0].Shards {
			fmt.Println(shard.Replicas[0].Address)
		}
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startBenchmarkRegion starts the child process. It returns a plan whose own
// routes call the child's back ends, and whose remote routes call its router.
func startBenchmarkRegion(b *testing.B) *plan.Plan {
	b.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), benchmarkRegionEnv+"=1")
	input, err := command.StdinPipe()
	require.NoError(b, err)
	output, err := command.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, command.Start())
	b.Cleanup(func() {
		_ = input.Close()
		_ = command.Wait()
	})
	lines := bufio.NewScanner(output)
	next := func() netip.AddrPort {
		require.True(b, lines.Scan())
		return netip.MustParseAddrPort(strings.TrimSpace(lines.Text()))
	}
	entry := next()
	built := benchmarkPlan("")
	for _, service := range built.Services {
		for _, shard := range service.Generations[0].Shards {
			shard.Replicas[0].Address = next()
		}
	}
	built.Regions = []plan.Region{{Name: "north", Entries: []netip.AddrPort{entry}}}
	for _, name := range []string{"far-one", "far-sixteen"} {
		built.RemoteRoutes = append(built.RemoteRoutes, plan.RemoteRoute{Name: name, Region: "north", Deadline: 2 * time.Second})
	}
	return built
}

// BenchmarkRoute compares the cost of a request at the router that receives it
// between routes of its own region and routes of another region.
func BenchmarkRoute(b *testing.B) {
	near := newBenchmarkRouter(b, startBenchmarkRegion(b), remote.Config{})
	for _, route := range []string{"one", "far-one", "sixteen", "far-sixteen"} {
		b.Run(route, func(b *testing.B) {
			ask := func(number int64) query.Answer {
				return near.Query(context.Background(), router.Request{
					CallerID: strconv.FormatInt(number, 10), Route: route, Body: []byte(benchmarkBody)})
			}
			require.Eventually(b, func() bool { return ask(0).Complete }, longWait, 10*time.Millisecond)
			for number := range int64(benchmarkCallers * 4) {
				ask(-1 - number) // opens the connections
			}
			measureRequests(b, func(number int64) {
				if answer := ask(number); !answer.Complete {
					panic(fmt.Sprintf("%+v", answer.Err))
				}
			})
		})
	}
}

func newBenchmarkRouter(b *testing.B, installed *plan.Plan, bounds remote.Config) *router.Router {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	created := makeRouter("near", &fixedSource{plan: installed}, logger, func(config *router.Config, dependencies *router.Dependencies) {
		config.Regions = bounds
	})
	running, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- created.Run(running) }()
	b.Cleanup(func() {
		end()
		<-ended
	})
	return created
}

// measureRequests sends requests from many callers and reports the CPU time,
// allocations and allocated bytes of this process per request.
func measureRequests(b *testing.B, request func(number int64)) {
	b.Helper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	processorBefore := cpuTime(b)
	b.ResetTimer()
	var next atomic.Int64
	var callers sync.WaitGroup
	for range benchmarkCallers {
		callers.Go(func() {
			for number := next.Add(1); number <= int64(b.N); number = next.Add(1) {
				request(number)
			}
		})
	}
	callers.Wait()
	b.StopTimer()
	spent := cpuTime(b) - processorBefore
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N), "cpu-ns/request")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/request")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(b.N), "B/request")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(0, "ns/op")
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkUnreachableRegion sends requests to an unreachable region, with and
// without the failure detection of package remote. Requests have a deadline of
// half a second. The metric waited counts the requests sent before the region
// was considered unreachable.
func BenchmarkUnreachableRegion(b *testing.B) {
	for _, judged := range []bool{true, false} {
		name := lo.Ternary(judged, "judged", "baseline")
		b.Run("refuses/"+name, func(b *testing.B) {
			benchmarkUnreachable(b, remote.Config{NeverFail: !judged}, netip.MustParseAddrPort(closedAddress))
		})
		b.Run("silent/"+name, func(b *testing.B) {
			link := testlink.New(b, startNotFoundServer(b))
			link.Silence(true)
			benchmarkUnreachable(b, remote.Config{NeverFail: !judged}, link.Address())
		})
	}
}

// startNotFoundServer returns the address of a server that answers every request
// with 404.
func startNotFoundServer(b *testing.B) string {
	server, err := rpc.NewServer("127.0.0.1:0", http.NotFoundHandler(), rpc.Plaintext(), logrus.New())
	require.NoError(b, err)
	go func() { _ = server.Serve() }()
	b.Cleanup(func() { _ = server.Close() })
	return server.Address()
}

func benchmarkUnreachable(b *testing.B, bounds remote.Config, entry netip.AddrPort) {
	near := newBenchmarkRouter(b, remotePlan(entry), bounds)
	require.Eventually(b, func() bool { return len(near.RemoteRoutes()) > 0 }, longWait, time.Millisecond)
	var waited, notRun atomic.Int64
	ask := func(number int64) query.Answer {
		answer := near.Query(context.Background(), router.Request{CallerID: strconv.FormatInt(number, 10), Route: "send",
			Body: []byte(benchmarkBody), Deadline: time.Now().Add(500 * time.Millisecond)})
		if answer.Verdict == verdict.NotRun {
			notRun.Add(1)
		}
		return answer
	}
	if !bounds.NeverFail {
		for number := int64(-1); near.Status().Regions[0].Reachable; number-- {
			ask(number)
			waited.Add(1)
		}
	}
	notRun.Store(0)
	measureRequests(b, func(number int64) { ask(number) })
	b.ReportMetric(float64(waited.Load()), "waited")
	b.ReportMetric(100*float64(notRun.Load())/float64(b.N), "%not_run")
}
