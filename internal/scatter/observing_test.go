package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// reported returns the state of a server in the load report; it is sound if it is not reported.
func (h *harness) reported(id string) loadview.ServerState {
	for _, service := range h.engine.LoadReport(h.now).Services {
		for _, state := range service.Servers {
			if state.ID == id {
				return state
			}
		}
	}
	return loadview.ServerState{ID: id}
}

// TestBriefPauseIsNotReported guards against reporting the usual pauses of servers: neither
// while one lasts, nor when its attempts were aborted, nor by the late answers after it.
func TestBriefPauseIsNotReported(t *testing.T) {
	for _, aborted := range []bool{false, true} {
		h := newHarness(t, ampleBudget)
		h.servers("s", 1)
		route := singleRoute(false)
		h.learnTypical(route, 10*time.Millisecond)
		h.arrive(route)
		paused := h.take()[0]
		for range 15 {
			h.advance(10 * time.Millisecond)
			require.Equal(t, loadview.Sound, h.reported("s/0").Condition)
		}
		if aborted {
			h.end(paused, failure(scatter.Aborted, verdict.MayHaveRun))
		} else {
			h.end(paused, good("x"))
		}
		for range 60 {
			h.advance(10 * time.Millisecond)
			require.Equal(t, loadview.Sound, h.reported("s/0").Condition)
		}
	}
}

// TestSilentServerIsReportedUntilItAnswers guards against a silent server being reported late,
// or after it has answered.
func TestSilentServerIsReportedUntilItAnswers(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 1)
	route := singleRoute(false)
	h.learnTypical(route, 10*time.Millisecond)
	h.arrive(route)
	silent := h.take()[0]
	h.advance(300 * time.Millisecond)
	require.Equal(t, loadview.Silent, h.reported("s/0").Condition)
	require.Zero(t, h.reported("s/0").Age)
	load := h.engine.LoadReport(h.now)
	require.Equal(t, []int{1, 1}, []int{load.Heard, load.Troubled})
	h.end(silent, good("x"))
	require.Equal(t, loadview.Sound, h.reported("s/0").Condition)
}

// TestAttemptsAbortedEarlyShowASilentServer guards against missing a silent server whose
// attempts are all aborted sooner than a brief pause ends, because hedges replace them.
func TestAttemptsAbortedEarlyShowASilentServer(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 1)
	route := singleRoute(false)
	h.learnTypical(route, 10*time.Millisecond)
	for range 2 {
		h.arrive(route)
		sent := h.take()
		h.advance(60 * time.Millisecond)
		h.end(sent[0], failure(scatter.Aborted, verdict.MayHaveRun))
		h.advance(260 * time.Millisecond)
	}
	require.Equal(t, loadview.Silent, h.reported("s/0").Condition)
	h.advance(loadview.MaxAge)
	require.Equal(t, loadview.Sound, h.reported("s/0").Condition, "an old observation is still reported")
}

// TestUnreachableServerIsReportedAtOnce guards against waiting for a span of silence when no
// connection can be established.
func TestUnreachableServerIsReportedAtOnce(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 1)
	h.arrive(singleRoute(false))
	h.end(h.take()[0], failure(scatter.NotConnected, verdict.NotRun))
	require.Equal(t, loadview.Silent, h.reported("s/0").Condition)
}

// TestSuspendedRouterReportsNoServer guards against a router that was suspended itself taking
// the answers that it has not read yet for silence.
func TestSuspendedRouterReportsNoServer(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 2)
	route := singleRoute(true)
	h.learnTypical(route, 10*time.Millisecond)
	h.arrive(route)
	h.take()
	h.now = h.now.Add(800 * time.Millisecond)
	h.step(scatter.TimerFired{})
	require.Empty(t, h.engine.LoadReport(h.now).Services)
}

// TestSlowAndRefusingServersAreReported guards against a wrong condition, and against a slow
// server being reported for as long as its pace decays though nothing was observed.
func TestSlowAndRefusingServersAreReported(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 1)
	route := singleRoute(false)
	h.learnTypical(route, 10*time.Millisecond)
	for range 3 {
		h.arrive(route)
		sent := h.take()
		h.advance(80 * time.Millisecond)
		h.end(sent[0], good("x"))
	}
	state := h.reported("s/0")
	require.Equal(t, loadview.Slow, state.Condition)
	require.Greater(t, state.Pace, loadview.SlowPace)
	h.advance(loadview.MaxAge)
	require.Equal(t, loadview.Sound, h.reported("s/0").Condition)
	h.arrive(route)
	h.end(h.take()[0], failure(scatter.Refused, verdict.NotRun))
	state = h.reported("s/0")
	require.Equal(t, loadview.Refusing, state.Condition)
	require.Greater(t, state.Refusals, loadview.RefusingShare)
}

// TestSharedFiguresAreNotReported guards against figures that confirm themselves: routers would
// report to each other for ever what none of them observes.
func TestSharedFiguresAreNotReported(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.engine = scatter.New(scatter.Config{Zone: "a", Seed: 1, Budget: ampleBudget, SharedConditions: true})
	h.servers("s", 2)
	route := singleRoute(false)
	h.learnTypical(route, 10*time.Millisecond)
	h.step(scatter.ConditionsShared{At: h.now, Servers: map[string]loadview.ServerState{
		"s/0": {ID: "s/0", Condition: loadview.Slow, Pace: 8}, "s/1": {ID: "s/1", Condition: loadview.Silent, Refusals: 0.9},
	}})
	require.Empty(t, h.engine.LoadReport(h.now).Services)
}

// TestReportHoldsWorkAndWaitingCalls guards against counting the time of slow servers as the
// work of a route, and against reporting calls that no longer wait.
func TestReportHoldsWorkAndWaitingCalls(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 1)
	route := singleRoute(false)
	h.arrive(route)
	h.advance(10 * time.Millisecond)
	h.end(h.take()[0], good("x"))
	require.Empty(t, h.engine.LoadReport(h.now).Work, "too few observations")
	h.learnTypical(route, 10*time.Millisecond)
	for range 20 {
		h.arrive(route)
		sent := h.take()
		h.advance(90 * time.Millisecond)
		h.end(sent[0], good("x"))
	}
	require.InDelta(t, 10*time.Millisecond, h.engine.LoadReport(h.now).Work[route.Name], float64(2*time.Millisecond))
	h.advance(time.Minute)
	for range 5 {
		h.arrive(route)
	}
	load := h.engine.LoadReport(h.now)
	require.Equal(t, []loadview.ServiceReport{{Service: "s", Waiting: 2}}, load.Services)
	require.Zero(t, load.Heard)
	for _, sent := range h.take() {
		h.end(sent, good("x"))
	}
	require.Empty(t, h.engine.LoadReport(h.now).Services)
}

// TestReportIsBounded guards against a report that grows with the services of the site.
func TestReportIsBounded(t *testing.T) {
	h := newHarness(t, ampleBudget)
	route := gatherRoute()
	for number := range 2 * loadview.MaxServices {
		service := "s" + string(rune('a'+number%26)) + string(rune('a'+number/26))
		h.servers(service, 1)
		route.Shards = append(route.Shards, service)
	}
	h.servers("worst", 2)
	route.Shards = append(route.Shards, "worst")
	for range 2 {
		h.arrive(route)
		for _, sent := range h.take() {
			h.end(sent, failure(scatter.NotConnected, verdict.NotRun))
		}
	}
	services := h.engine.LoadReport(h.now).Services
	require.Len(t, services, loadview.MaxServices)
	require.Equal(t, "worst", services[0].Service)
}
