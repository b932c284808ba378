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

// goodAfter is a good reply of a server that tells its load.
func goodAfter(running, waiting int) scatter.Outcome {
	outcome := good("x")
	outcome.Load = message.Load{Known: true, Running: running, Waiting: waiting, Slots: 2}
	return outcome
}

// learnTypical has the engine observe attempts of a route that take a time.
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

// TestWhatIsDueFirstGoesFirst lets a route with little time go before one with more,
// whatever their priorities, and both before what is overdue.
func TestWhatIsDueFirstGoesFirst(t *testing.T) {
	h := newHarness(t, plenty)
	h.servers("s", 1)
	patient, hasty := singleRoute(false), singleRoute(false)
	hasty.Name, hasty.Target, hasty.Priority = "hasty", 50*time.Millisecond, 1
	for range 3 {
		h.arrive(patient)
	}
	running := h.take()
	overdue := h.arrive(hasty)
	h.advance(hasty.Target + time.Millisecond)
	second := h.arrive(patient)
	first := h.arrive(hasty)
	for index, expected := range []scatter.RequestID{first, second, overdue} {
		h.end(running[index], good("x"))
		require.Equal(t, expected, h.take()[0].Request)
	}
}

// TestWithoutATargetARequestIsDueAtItsDeadline lets a route without a target wait behind
// one that has one.
func TestWithoutATargetARequestIsDueAtItsDeadline(t *testing.T) {
	h := newHarness(t, plenty)
	h.servers("s", 1)
	hasty, patient := singleRoute(false), singleRoute(false)
	patient.Name, patient.Target = "patient", 0
	for range 3 {
		h.arrive(hasty)
	}
	running := h.take()
	second := h.arrive(patient)
	first := h.arrive(hasty)
	for index, expected := range []scatter.RequestID{first, second} {
		h.end(running[index], good("x"))
		require.Equal(t, expected, h.take()[0].Request)
	}
}

// TestCrowdedServerIsSentLittle keeps what can't be worked on with the routers,
// where it goes out in the order of its urgency.
func TestCrowdedServerIsSentLittle(t *testing.T) {
	h := newHarness(t, plenty)
	h.step(scatter.RoutersCounted{Count: 4})
	h.servers("s", 1)
	route := singleRoute(false)
	h.arrive(route)
	h.end(h.take()[0], goodAfter(2, 6))
	for range 3 {
		h.arrive(route)
	}
	require.Len(t, h.take(), 1, "one attempt of each router at a server that has work")
	h.advance(500 * time.Millisecond)
	h.arrive(route)
	require.NotEmpty(t, h.take(), "an old report counts no more")
}

// TestServerThatPausesIsAvoidedAndHedged has a server go silent: attempts that are
// out go to another one long before their part is due, and new ones too.
func TestServerThatPausesIsAvoidedAndHedged(t *testing.T) {
	h := newHarness(t, plenty)
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
		require.NotEqual(t, silent.Server.ID, sent.Server.ID, "nothing new to a server that pauses")
	}
}

// TestHedgeGoesOutInTimeThoughMostAreSlow caps the delay by what is left until the
// part is due, when the quantile is as slow as the servers.
func TestHedgeGoesOutInTimeThoughMostAreSlow(t *testing.T) {
	h := newHarness(t, plenty)
	h.servers("s", 2)
	route := singleRoute(true)
	h.learnTypical(route, 180*time.Millisecond)
	h.arrive(route)
	h.take()
	h.advance(route.Target/2 + time.Millisecond)
	require.Len(t, h.take(), 1)
}

// TestBelowCapacityNothingWaits holds the policy for scarce room back where there is
// room: every call goes out at once.
func TestBelowCapacityNothingWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, plenty)
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

// TestPartsStayInTheZoneWhileThereIsTime sends to a server of another zone only what
// the one of the own zone would not answer well before it is due.
func TestPartsStayInTheZoneWhileThereIsTime(t *testing.T) {
	h := newHarness(t, plenty)
	h.step(scatter.ServersChanged{Servers: []scatter.Server{
		{ID: "near", Service: "s", Address: "near", Zone: "a", Slots: 4}, {ID: "far", Service: "s", Address: "far", Zone: "b", Slots: 4},
	}})
	patient, hasty := singleRoute(false), singleRoute(false)
	hasty.Name, hasty.Target = "hasty", 20*time.Millisecond
	h.learnTypical(patient, 10*time.Millisecond)
	h.learnTypical(hasty, 10*time.Millisecond)
	for range 4 {
		h.arrive(patient)
	}
	for _, sent := range h.take() {
		require.Equal(t, "near", sent.Server.ID)
	}
	h.arrive(hasty)
	require.Equal(t, "far", h.take()[0].Server.ID, "the near server has no free slot and there is little time")
}

// TestCausesOfPartsThatAreDue names why each part is missing when it is due.
func TestCausesOfPartsThatAreDue(t *testing.T) {
	h := newHarness(t, plenty)
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
	for _, lack := range h.overdue[late].Lacking {
		causes[lack.Service] = lack.Cause
	}
	require.Equal(t, map[string]scatter.Cause{
		"paused": scatter.CausePaused, "full": scatter.CauseNoRoom, "unknown": scatter.CauseNoServer,
	}, causes)
}
