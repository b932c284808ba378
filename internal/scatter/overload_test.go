package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
)

// goodAfter is a good reply of a server that reports its load.
func goodAfter(running, waiting int) scatter.Outcome {
	outcome := good("x")
	outcome.Load = message.Load{Known: true, Running: running, Waiting: waiting, Slots: 2}
	return outcome
}

// learnTypical makes the engine observe attempts of a route with the given duration.
func (h *harness) learnTypical(route *routing.Route, took time.Duration) {
	for range 40 {
		h.arrive(route)
		sent := h.take()
		h.advance(took)
		for _, attempt := range sent {
			h.end(attempt, good("x"))
		}
	}
	h.advance(500 * time.Millisecond)
	h.take()
}

// TestCallsAreSentInOrderOfDueTime checks that a route with little time goes before one with
// more, whatever their priorities, and that overdue calls go last.
func TestCallsAreSentInOrderOfDueTime(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 1)
	relaxed, urgent := singleRoute(false), singleRoute(false)
	urgent.Name, urgent.Target, urgent.Priority = "hasty", 50*time.Millisecond, 1
	for range 3 {
		h.arrive(relaxed)
	}
	running := h.take()
	overdue := h.arrive(urgent)
	h.advance(urgent.Target + time.Millisecond)
	second := h.arrive(relaxed)
	first := h.arrive(urgent)
	for index, expected := range []scatter.RequestID{first, second, overdue} {
		h.end(running[index], good("x"))
		require.Equal(t, expected, h.take()[0].Request)
	}
}

// TestWithoutATargetARequestIsDueAtItsDeadline checks that a route without a target is queued
// behind one that has one.
func TestWithoutATargetARequestIsDueAtItsDeadline(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 1)
	urgent, relaxed := singleRoute(false), singleRoute(false)
	relaxed.Name, relaxed.Target = "patient", 0
	for range 3 {
		h.arrive(urgent)
	}
	running := h.take()
	second := h.arrive(relaxed)
	first := h.arrive(urgent)
	for index, expected := range []scatter.RequestID{first, second} {
		h.end(running[index], good("x"))
		require.Equal(t, expected, h.take()[0].Request)
	}
}

// TestSaturatedServerIsSentLittle checks that work beyond a server's capacity stays at the
// routers, which send it in order of urgency.
func TestSaturatedServerIsSentLittle(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.step(scatter.RoutersChanged{Count: 4})
	h.servers("s", 1)
	route := singleRoute(false)
	h.arrive(route)
	h.end(h.take()[0], goodAfter(2, 6))
	for range 3 {
		h.arrive(route)
	}
	require.Len(t, h.take(), 1, "one attempt of each router at a saturated server")
	h.advance(500 * time.Millisecond)
	h.arrive(route)
	require.NotEmpty(t, h.take(), "an expired load report still counts")
}

// TestStalledServerIsAvoidedAndHedged makes a server stop answering: its attempts are hedged
// elsewhere long before their part is due, and new ones go elsewhere too.
func TestStalledServerIsAvoidedAndHedged(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 2)
	route := singleRoute(true)
	h.learnTypical(route, 10*time.Millisecond)
	h.arrive(route)
	silent := h.take()[0]
	h.advance(25 * time.Millisecond)
	hedged := h.take()
	require.Len(t, hedged, 1, "hedged after about twice the typical time")
	require.NotEqual(t, silent.Server.ID, hedged[0].Server.ID)
	for range 2 {
		h.arrive(route)
	}
	for _, sent := range h.take() {
		require.NotEqual(t, silent.Server.ID, sent.Server.ID, "new work sent to a stalled server")
	}
}

// TestHedgeIsSentInTimeThoughMostAttemptsAreSlow checks that the delay is limited by the time
// left until the part is due when the quantile is as slow as the servers.
func TestHedgeIsSentInTimeThoughMostAttemptsAreSlow(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 2)
	route := singleRoute(true)
	h.learnTypical(route, 180*time.Millisecond)
	h.arrive(route)
	h.take()
	h.advance(route.Target/2 + time.Millisecond)
	require.Len(t, h.take(), 1)
}

// TestBelowCapacityNothingWaits guards against queueing while there is capacity: every call
// must be sent at once.
func TestBelowCapacityNothingWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, ampleBudget)
		h.servers("s", 2)
		route := singleRoute(false)
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			h.arrive(route)
			sent := h.take()
			require.Len(t, sent, 1)
			h.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
			h.end(sent[0], goodAfter(rapid.IntRange(0, 1).Draw(t, "running"), 0))
		}
	})
}

// TestPartsStayInTheZoneWhileThereIsTime checks that a server of another zone is only used
// when the one of the own zone is not expected to answer well before the due time.
func TestPartsStayInTheZoneWhileThereIsTime(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.step(scatter.ServersChanged{Servers: []scatter.Server{
		{ID: "near", Service: "s", Address: "near", Zone: "a", Slots: 4}, {ID: "far", Service: "s", Address: "far", Zone: "b", Slots: 4},
	}})
	relaxed, urgent := singleRoute(false), singleRoute(false)
	urgent.Name, urgent.Target = "hasty", 20*time.Millisecond
	h.learnTypical(relaxed, 10*time.Millisecond)
	h.learnTypical(urgent, 10*time.Millisecond)
	for range 4 {
		h.arrive(relaxed)
	}
	for _, sent := range h.take() {
		require.Equal(t, "near", sent.Server.ID)
	}
	h.arrive(urgent)
	require.Equal(t, "far", h.take()[0].Server.ID, "the near server has no free slot and little time is left")
}

// TestCausesOfOverdueParts checks the cause reported for each part that is missing when due.
func TestCausesOfOverdueParts(t *testing.T) {
	h := newHarness(t, ampleBudget)
	for _, shard := range []string{"paused", "full"} {
		h.servers(shard, 1)
	}
	route := gatherRoute("paused", "full", "unknown")
	filling := gatherRoute("full")
	for range 3 {
		h.arrive(filling)
	}
	h.advance(time.Millisecond)
	late := h.arrive(route)
	h.advance(route.Target + time.Millisecond)
	causes := map[string]scatter.Cause{}
	for _, lack := range h.overdue[late].MissingParts {
		causes[lack.Service] = lack.Cause
	}
	require.Equal(t, map[string]scatter.Cause{
		"paused": scatter.CausePaused, "full": scatter.CauseNoCapacity, "unknown": scatter.CauseNoServer,
	}, causes)
}
