package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

func TestPartsAreDeliveredAsTheyArriveAndTheResultListsTheMissing(t *testing.T) {
	h := newHarness(t, scatter.BudgetLimits{})
	h.servers("x", 1)
	h.servers("y", 1)
	id := h.arrive(gatherRoute("x", "y"))
	sent := h.take()
	require.Len(t, sent, 2)
	h.end(sent[1], good("y"))
	require.Equal(t, []scatter.Part{{Request: id, Shard: 1, Reply: good("y").Reply}}, h.parts[id])
	h.unanswered(id)
	h.end(sent[0], failure(scatter.Broken, verdict.MayHaveRun))
	h.advance(time.Second)
	require.Equal(t, []int{0}, h.result(id).Missing)
	require.Len(t, h.parts[id], 1)
}

func TestCompleteGatheringEndsWithTheLastPart(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("x", 1)
	h.servers("y", 1)
	id := h.arrive(gatherRoute("x", "y"))
	for _, send := range h.take() {
		h.unanswered(id)
		h.end(send, good("part"))
	}
	require.Empty(t, h.result(id).Missing)
}

func TestRepeatedGatheringNeedsATokenForEachAttempt(t *testing.T) {
	h := newHarness(t, scatter.BudgetLimits{})
	h.servers("x", 1)
	route := gatherRoute("x")
	h.step(scatter.Arrived{ID: 77, Route: route, Services: []string{"x"}, Deadline: h.now.Add(time.Second), PriorAttempts: 1})
	require.Empty(t, h.take(), "sent without a token although another router may have sent an attempt")
	// A new server must not make up for the missing token.
	h.servers("x", 2)
	h.advance(20 * time.Millisecond)
	require.Empty(t, h.take(), "sent without a token after waiting for one")
	h.advance(time.Second)
	require.Equal(t, []int{0}, h.result(77).Missing)
}

func TestDeadlineEndsEveryRequest(t *testing.T) {
	h := newHarness(t, ampleBudget)
	route := gatherRoute("x", "y")
	route.LeastShare = 1
	h.servers("x", 1)
	h.servers("y", 1)
	gathered := h.arrive(route)
	single := singleRoute(true)
	single.Targets[0].Service = "x"
	one := h.arrive(single)
	h.advance(time.Second)
	require.Equal(t, verdict.ReasonTimeout, h.result(gathered).Reason)
	require.Equal(t, verdict.MayHaveRun, h.result(gathered).Verdict)
	require.Equal(t, verdict.ReasonTimeout, h.result(one).Reason)
	require.Zero(t, h.engine.InFlight())
}

func TestRefusedEverywhereIsNotRunAndSetsRetryAfter(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 2)
	id := h.arrive(singleRoute(false))
	for range 2 {
		sent := h.take()
		require.Len(t, sent, 1)
		h.end(sent[0], failure(scatter.Refused, verdict.NotRun))
	}
	result := h.result(id)
	require.Equal(t, verdict.NotRun, result.Verdict)
	require.Positive(t, result.RetryAfter)
}

// TestRefusedWithoutATokenIsAnsweredAtOnce has a server refuse a request for which the budget
// denies another attempt: the client gets its retry delay at once instead of at the deadline.
// A request that may have run waits for a token.
func TestRefusedWithoutATokenIsAnsweredAtOnce(t *testing.T) {
	h := newHarness(t, scatter.BudgetLimits{})
	h.servers("s", 2)
	refused := h.arrive(singleRoute(true))
	h.end(h.take()[0], failure(scatter.Refused, verdict.NotRun))
	result := h.result(refused)
	require.Equal(t, verdict.NotRun, result.Verdict)
	require.Positive(t, result.RetryAfter)
	uncertain := h.arrive(singleRoute(true))
	h.end(h.take()[0], failure(scatter.Broken, verdict.MayHaveRun))
	h.unanswered(uncertain)
}

func TestUnrepeatableRequestThatMayHaveRunIsNotRepeated(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 3)
	id := h.arrive(singleRoute(false))
	sent := h.take()
	h.end(sent[0], failure(scatter.Broken, verdict.MayHaveRun))
	require.Empty(t, h.take())
	require.Equal(t, verdict.MayHaveRun, h.result(id).Verdict)
	require.Zero(t, h.result(id).RetryAfter)
}

func TestUnrepeatableRequestIsNeverHedged(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 3)
	h.arrive(singleRoute(false))
	h.advance(900 * time.Millisecond)
	require.Len(t, h.take(), 1)
}

func TestSilentAttemptIsHedgedAtAnotherServer(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 2)
	id := h.arrive(singleRoute(true))
	h.advance(150 * time.Millisecond)
	sent := h.take()
	require.Len(t, sent, 2)
	require.NotEqual(t, sent[0].Server.ID, sent[1].Server.ID)
	require.True(t, sent[1].Extra)
	h.end(sent[1], good("fast"))
	require.Equal(t, "fast", string(h.result(id).Reply.Body))
	h.advance(time.Second)
	require.True(t, h.aborted[sent[0].Attempt], "the slower attempt is never aborted")
}

func TestDrainingOrRemovedServerGetsNothing(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 2)
	h.step(scatter.ServersChanged{Servers: []scatter.Server{{ID: "s/0", Service: "s", Address: "s/0", Slots: 2, Draining: true}}})
	for range 4 {
		h.arrive(singleRoute(true))
	}
	for _, send := range h.take() {
		require.Equal(t, "s/1", send.Server.ID)
	}
	h.step(scatter.ServersChanged{Servers: []scatter.Server{{ID: "s/0", Service: "s", Address: "s/0", Slots: 2}}})
	h.step(scatter.ServersRemoved{IDs: []string{"s/1"}})
	h.arrive(singleRoute(true))
	require.Empty(t, h.take(), "a later report revoked the departure")
}

func TestReplacedInstanceGetsNoFurtherRequests(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 2)
	h.arrive(singleRoute(false))
	first := h.take()[0]
	h.end(first, failure(scatter.OtherInstance, verdict.NotRun))
	for range 5 {
		h.arrive(singleRoute(true))
	}
	for _, send := range h.take() {
		require.NotEqual(t, first.Server.ID, send.Server.ID)
	}
}

func TestCallWaitsForAServerToBecomeKnown(t *testing.T) {
	h := newHarness(t, ampleBudget)
	route := singleRoute(true)
	route.Timeout = 5 * time.Second
	early := h.arrive(route)
	h.advance(300 * time.Millisecond)
	h.servers("s", 1)
	sent := h.take()
	require.Len(t, sent, 1)
	h.end(sent[0], good("late"))
	require.NotNil(t, h.result(early).Reply)

	h.step(scatter.ServersRemoved{IDs: []string{"s/0"}})
	never := h.arrive(route)
	h.advance(1100 * time.Millisecond)
	require.Equal(t, verdict.NotRun, h.result(never).Verdict)
	require.Equal(t, verdict.ReasonNoReplica, h.result(never).Reason)
}

// TestWaitingForAServerTakesNoMoreThanItsTimers guards against timers that accumulate while
// requests wait for a service without known servers: each request holds only its own timers,
// however many arrive.
func TestWaitingForAServerTakesNoMoreThanItsTimers(t *testing.T) {
	const arrivals, timersOfARequest = 14, 4
	h := newHarness(t, ampleBudget)
	for range arrivals {
		h.arrive(gatherRoute("s"))
		h.advance(100 * time.Millisecond)
		require.LessOrEqual(t, h.engine.Timers(), arrivals*timersOfARequest)
	}
}

func TestCapacityGoesFirstToRequestsWithinTheirTarget(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 1)
	route := singleRoute(false)
	for range 3 {
		h.arrive(route)
	}
	running := h.take()
	overdue := h.arrive(route)
	h.advance(route.Target + time.Millisecond)
	fresh := h.arrive(route)
	require.Empty(t, h.take())
	h.end(running[0], good("a"))
	require.Equal(t, fresh, h.take()[0].Request)
	h.end(running[1], good("b"))
	require.Equal(t, overdue, h.take()[0].Request)
}

func TestServerThatFailedIsTriedWithOneAttempt(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 2)
	route := singleRoute(false)
	h.arrive(route)
	failing := h.take()[0]
	h.end(failing, failure(scatter.Broken, verdict.MayHaveRun))
	h.advance(300 * time.Millisecond)
	for range 6 {
		h.arrive(route)
	}
	var trial scatter.Send
	trials := 0
	for _, send := range h.take() {
		if send.Server.ID == failing.Server.ID {
			trial = send
			trials++
		}
	}
	require.Equal(t, 1, trials)
	h.end(trial, good("a"))
	require.Equal(t, failing.Server.ID, h.take()[0].Server.ID)
}

// TestFailedServersAreTriedInOrderOfCondition has no healthy server: an attempt at one was
// aborted as slow, and no connection to the other could be established.
func TestFailedServersAreTriedInOrderOfCondition(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 2)
	route := singleRoute(false)
	h.arrive(route)
	h.arrive(route)
	first := h.take()
	require.NotEqual(t, first[0].Server.ID, first[1].Server.ID)
	slow, unreachable := first[0].Server.ID, first[1].Server.ID
	h.advance(100 * time.Millisecond)
	h.end(first[1], failure(scatter.NotConnected, verdict.NotRun))
	h.end(first[0], failure(scatter.Aborted, verdict.MayHaveRun))
	// The retry of the attempt without a connection goes to the other server.
	for _, send := range h.take() {
		require.Equal(t, slow, send.Server.ID)
	}
	for range 5 {
		h.arrive(route)
	}
	for _, send := range h.take() {
		require.Equal(t, slow, send.Server.ID, "call sent to an unreachable server")
	}
	h.advance(300 * time.Millisecond)
	tried := map[string]int{}
	for range 5 {
		h.arrive(route)
	}
	for _, send := range h.take() {
		tried[send.Server.ID]++
	}
	require.LessOrEqual(t, tried[unreachable], 1, "more than one attempt at a server on probation")
}

// TestEarlierRoutersLeaveNoAttemptBeyondTheRoute has two routers that may have sent to a shard
// whose route allows two attempts: a third router sends nothing and reports so at once.
func TestEarlierRoutersLeaveNoAttemptBeyondTheRoute(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("x", 3)
	route := gatherRoute("x")
	h.step(scatter.Arrived{ID: 1, Route: route, Services: route.Shards, Deadline: h.now.Add(time.Second), PriorAttempts: 2})
	require.Empty(t, h.take())
	require.Equal(t, []int{0}, h.result(1).Missing)
}

// TestRepeatLeavesAnAttemptToTheOtherRouter has another router that may have sent to one
// server of each shard: only the route's remaining attempts may be used.
func TestRepeatLeavesAnAttemptToTheOtherRouter(t *testing.T) {
	for attempts, want := range map[int]int{1: 0, 2: 1, 3: 2} {
		h := newHarness(t, ampleBudget)
		h.servers("s", 4)
		route := gatherRoute("s")
		route.MaxAttempts = attempts
		h.step(scatter.Arrived{ID: 1, Route: route, Services: route.Shards, Deadline: h.now.Add(time.Second), PriorAttempts: 1})
		for range 4 {
			for _, send := range h.take() {
				want--
				h.end(send, failure(scatter.Broken, verdict.MayHaveRun))
			}
		}
		require.Zero(t, want, "route with %d attempts", attempts)
		require.Equal(t, []int{0}, h.result(1).Missing)
	}
}

func TestAttemptsStayWithinTheShareOfConnections(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.step(scatter.DocumentChanged{Services: []routing.Service{{Name: "s", MaxConnections: 10}}})
	h.step(scatter.RoutersChanged{Count: 8})
	h.servers("s", 1)
	route := singleRoute(true)
	route.MaxAttempts = 1
	first, second := h.arrive(route), h.arrive(route)
	sent := h.take()
	require.Len(t, sent, 1, "8 routers share 8 connections")
	h.end(sent[0], good("1"))
	require.NotNil(t, h.result(first).Reply)
	h.unanswered(second)
	h.end(h.take()[0], good("2"))
	require.NotNil(t, h.result(second).Reply)
}

func TestOwnFailureOfAServerIsPassedOn(t *testing.T) {
	h := newHarness(t, scatter.BudgetLimits{})
	h.servers("s", 1)
	id := h.arrive(singleRoute(true))
	sent := h.take()
	h.end(sent[0], scatter.Outcome{Verdict: verdict.Ran, Reply: &message.Reply{Status: 500, Stamp: "its own"}})
	result := h.result(id)
	require.Equal(t, 500, result.Reply.Status)
}

func TestGatheredPartIsNeverAFailureReply(t *testing.T) {
	h := newHarness(t, scatter.BudgetLimits{})
	h.servers("x", 1)
	h.servers("y", 1)
	id := h.arrive(gatherRoute("x", "y"))
	sent := h.take()
	h.end(sent[0], scatter.Outcome{Verdict: verdict.Ran, Reply: &message.Reply{Status: 500, Stamp: "failed"}})
	h.end(sent[1], good("y"))
	h.advance(time.Second)
	require.Equal(t, []int{0}, h.result(id).Missing)
	require.Len(t, h.parts[id], 1)
}

func TestClientDisconnectAbortsItsAttempts(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 1)
	id := h.arrive(singleRoute(true))
	sent := h.take()
	h.step(scatter.Abandoned{Request: id})
	h.advance(500 * time.Millisecond)
	require.True(t, h.aborted[sent[0].Attempt])
	require.Zero(t, h.engine.InFlight())
	require.Empty(t, h.take(), "sent for a client that disconnected")
	h.unanswered(id)
}

func TestShardThatRefusesIsLeftOutOnlyWhereItCanBe(t *testing.T) {
	for _, sample := range []struct {
		least   float64
		answers bool
	}{{0.5, true}, {1, false}} {
		h := newHarness(t, ampleBudget)
		h.servers("x", 1)
		h.servers("y", 1)
		route := gatherRoute("x", "y")
		route.LeastShare = sample.least
		h.arrive(route)
		first := h.take()
		h.end(first[0], failure(scatter.Refused, verdict.NotRun))
		second := h.arrive(route)
		for _, send := range h.take() {
			if send.Request == second {
				require.Equal(t, "y", send.Server.Service)
				h.end(send, good("y"))
			}
		}
		_, ended := h.results[second]
		require.Equal(t, sample.answers, ended)
	}
}

func TestServerThatResetsNewConnectionsStaysInUse(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 1)
	route := singleRoute(true)
	route.MaxAttempts = 1
	h.arrive(route)
	h.end(h.take()[0], failure(scatter.Unaccepted, verdict.MayHaveRun))
	id := h.arrive(route)
	h.advance(60 * time.Millisecond)
	sent := h.take()
	require.Len(t, sent, 1, "the server was removed because of its connection limit")
	h.end(sent[0], good("ok"))
	require.NotNil(t, h.result(id).Reply)
}
