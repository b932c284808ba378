package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/records"
)

func collect(arrivals *Arrivals) []Arrival {
	var all []Arrival
	for {
		arrival, ok := arrivals.Next()
		if !ok {
			return all
		}
		all = append(all, arrival)
	}
}

func TestArrivalsFollowSeedAndPhases(t *testing.T) {
	rates := []RouteRate{
		{Route: "quick-pick", PerSecond: 1000, Phases: []Phase{{From: 5 * time.Second, Factor: 2}}},
		{Route: "feed", PerSecond: 10},
	}
	first := collect(NewArrivals(7, rates, 10*time.Second, ""))
	require.Equal(t, first, collect(NewArrivals(7, rates, 10*time.Second, "")))
	require.NotEqual(t, first, collect(NewArrivals(8, rates, 10*time.Second, "")))
	require.True(t, lo.IsSortedBy(first, func(arrival Arrival) time.Duration { return arrival.At }))
	counts := lo.CountValuesBy(first, func(arrival Arrival) string {
		return RouteOf(arrival.ID) + lo.Ternary(arrival.At < 5*time.Second, " before", " after")
	})
	require.InDelta(t, 5000, counts["quick-pick before"], 350)
	require.InDelta(t, 10_000, counts["quick-pick after"], 500)
	variant := collect(NewArrivals(7, rates, 10*time.Second, "naive"))
	require.Len(t, variant, len(first))
	require.Equal(t, first[9].ID+"~naive", variant[9].ID)
	require.Equal(t, first[9].Body, variant[9].Body)
	require.Equal(t, first[9].Route, RouteOf(variant[9].ID))
}

type memory struct {
	mutex   sync.Mutex
	answers []records.CallerAnswer
}

func (m *memory) Answer(answer records.CallerAnswer) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.answers = append(m.answers, answer)
}

func testPlan() *plan.Plan {
	return &plan.Plan{Routes: []plan.Route{{Name: "send", Service: "notify", Policy: plan.Policy{Once: true}}}}
}

// A router that never answers must not hold later requests back, and what the
// callers can not send is recorded as not run.
func TestLoadIsOpenLoop(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	recorder := &memory{}
	config := Config{
		Routers: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))},
		Plan:    testPlan(), Rates: []RouteRate{{Route: "send", PerSecond: 1000}}, Duration: 100 * time.Millisecond,
		Seed: 1, MaxOutstanding: 10,
	}
	callers, err := New(config, recorder)
	require.NoError(t, err)
	expected := len(collect(NewArrivals(1, config.Rates, config.Duration, "")))
	done := make(chan struct{})
	go func() { callers.Run(context.Background()); close(done) }()
	require.Eventually(t, func() bool {
		recorder.mutex.Lock()
		defer recorder.mutex.Unlock()
		return len(recorder.answers) == expected-10
	}, 10*time.Second, time.Millisecond)
	close(release)
	<-done
	verdicts := lo.CountValuesBy(recorder.answers, func(answer records.CallerAnswer) string { return answer.Verdict })
	require.Equal(t, map[string]int{"not_run": expected - 10, "may_have_run": 10}, verdicts)
}

// A router that is not ready gets nothing new, neither after its answer says
// so nor after a probe did, until it is ready again.
func TestNothingNewGoesToARouterThatIsNotReady(t *testing.T) {
	var ready atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		require.Equal(t, "/readyz", request.URL.Path)
		if !ready.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	addresses := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	known := newReadiness(addresses)
	require.Equal(t, 1, known.choose(1))
	known.learn(1, &records.CallerAnswer{Reason: "overloaded"})
	require.Equal(t, 1, known.choose(1))
	known.learn(1, &records.CallerAnswer{Reason: "stopping"})
	require.Equal(t, 0, known.choose(1))
	known.learn(0, &records.CallerAnswer{Reason: "no_lease"})
	require.Equal(t, 1, known.choose(1), "none is ready")

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	require.ErrorContains(t, AwaitReady(ctx, addresses[1:], 10*time.Millisecond), "is not ready after")
	ready.Store(true)
	require.NoError(t, AwaitReady(ctx, addresses[1:], time.Minute))
	go known.probe(ctx, http.DefaultClient, 1, time.Millisecond)
	require.Eventually(t, func() bool { return known.choose(0) == 1 }, 10*time.Second, time.Millisecond)
	ready.Store(false)
	require.Eventually(t, func() bool { return known.notReady[1].Load() }, 10*time.Second, time.Millisecond)
}

func TestResendsGoToAnotherRouter(t *testing.T) {
	refusing := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		_, _ = writer.Write([]byte(`{"verdict":"not_run","reason":"stopping","retry_after_ms":1}`))
	}))
	defer refusing.Close()
	answering := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		require.True(t, strings.HasPrefix(request.Header.Get(headerRequest), "send-3-"))
		_, _ = writer.Write([]byte(`{"verdict":"ran","complete":true,"covered":[{"shard":4}],"missing":[],"items":[{"a":1}],
			"snapshot":{"generation":2,"version":9},"attempts":{"first":1,"hedges":0,"retries":2},"timings":{"decided_us":1500}}`))
	}))
	defer answering.Close()
	addresses := lo.Map([]*httptest.Server{refusing, answering}, func(server *httptest.Server, _ int) netip.AddrPort {
		return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	})
	recorder := &memory{}
	callers, err := New(Config{Routers: addresses, Plan: testPlan(), Rates: []RouteRate{{Route: "send", PerSecond: 200}},
		Duration: 100 * time.Millisecond, Seed: 3, Resends: 1, HonorRetryAfter: true}, recorder)
	require.NoError(t, err)
	callers.Run(context.Background())
	answered, refused := lo.FilterReject(recorder.answers, func(answer records.CallerAnswer, _ int) bool { return answer.Status == http.StatusOK })
	require.NotEmpty(t, refused)
	require.Len(t, lo.UniqBy(answered, func(answer records.CallerAnswer) string { return answer.Request }),
		len(collect(NewArrivals(3, callers.config.Rates, callers.config.Duration, ""))))
	example := answered[0]
	require.True(t, example.Once)
	require.Equal(t, []any{uint32(2), uint64(9), []uint32{4}, 3, 1.5, 1},
		[]any{example.Generation, example.Version, example.Covered, example.Attempts, example.ElapsedMs, len(example.ItemDigests)})
	require.False(t, example.Received.Before(example.Intended))
}
