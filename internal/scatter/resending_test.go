package scatter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// resending returns a harness that sends refused calls again.
func resending(t reporter, limits scatter.BudgetLimits) *harness {
	h := newHarness(t, limits)
	h.engine = scatter.New(scatter.Config{Zone: "a", Seed: 1, Budget: limits, ResendRefused: true})
	return h
}

// refuseAll ends attempts with refusals until none is sent at once, and returns their servers.
func (h *harness) refuseAll() (servers []string) {
	for sent := h.take(); len(sent) > 0; sent = h.take() {
		for _, attempt := range sent {
			servers = append(servers, attempt.Server.ID)
			h.end(attempt, failure(scatter.Refused, verdict.NotRun))
		}
	}
	return servers
}

// TestRefusedCallIsSentAgain guards against refusing a client although one of its servers has
// capacity again within the useful time. Without a useful time left the client is told at once.
func TestRefusedCallIsSentAgain(t *testing.T) {
	h := resending(t, ampleBudget)
	h.servers("s", 3)
	route := singleRoute(false)
	id := h.arrive(route)
	servers := h.refuseAll()
	require.Len(t, servers, 2)
	h.unanswered(id)
	h.advance(50 * time.Millisecond)
	again := h.take()
	require.Len(t, again, 1)
	require.Contains(t, servers, again[0].Server.ID)
	require.True(t, again[0].Extra)
	h.end(again[0], good("x"))
	require.NotNil(t, h.result(id).Reply)

	hasty := singleRoute(false)
	hasty.Name, hasty.Target = "hasty", 30*time.Millisecond
	late := h.arrive(hasty)
	h.refuseAll()
	require.Equal(t, verdict.NotRun, h.result(late).Verdict, "its servers are full for longer than it is useful")
}

// TestResendingEndsWithTheUsefulTime guards against a call that is held until its deadline:
// one that is refused again and again is answered by the time at which no server can answer in
// time, and so is one that only waits.
func TestResendingEndsWithTheUsefulTime(t *testing.T) {
	h := resending(t, ampleBudget)
	h.servers("s", 2)
	route := singleRoute(false)
	h.learnTypical(route, 10*time.Millisecond)
	started := h.now
	id := h.arrive(route)
	for len(h.results) < 41 && h.now.Before(started.Add(route.Timeout)) {
		h.refuseAll()
		h.advance(time.Millisecond)
	}
	require.Equal(t, verdict.NotRun, h.result(id).Verdict)
	require.Less(t, h.now.Sub(started), route.Target)
	require.Greater(t, h.now.Sub(started), route.Target/2)
}

// TestWaitingResendEndsWithTheUsefulTime guards against a refused call that waits for a place
// until its deadline.
func TestWaitingResendEndsWithTheUsefulTime(t *testing.T) {
	h := resending(t, ampleBudget)
	h.servers("s", 1)
	route, other := singleRoute(false), singleRoute(false)
	other.Name, other.Target = "other", 50*time.Millisecond
	h.learnTypical(route, 10*time.Millisecond)
	for range 2 {
		h.arrive(other)
	}
	h.take()
	waiting := h.arrive(route)
	h.refuseAll()
	h.advance(30 * time.Millisecond)
	h.arrive(other)
	h.advance(30 * time.Millisecond)
	require.Len(t, h.take(), 1, "the call that is due first takes the last place")
	h.unanswered(waiting)
	h.advance(route.Target - 65*time.Millisecond)
	require.Equal(t, verdict.NotRun, h.result(waiting).Verdict)
}

// TestOnlyRefusedCallsAreSentAgain guards against running a request twice: after an outcome
// that does not prove that nothing ran, neither it nor a repeatable request goes to a server
// for the second time.
func TestOnlyRefusedCallsAreSentAgain(t *testing.T) {
	for _, outcome := range []scatter.Outcome{
		failure(scatter.Broken, verdict.MayHaveRun), failure(scatter.TimedOut, verdict.MayHaveRun), failure(scatter.Refused, verdict.MayHaveRun),
	} {
		for _, repeatable := range []bool{false, true} {
			h := resending(t, ampleBudget)
			h.servers("s", 2)
			h.arrive(singleRoute(repeatable))
			h.end(h.take()[0], failure(scatter.Refused, verdict.NotRun))
			h.end(h.take()[0], outcome)
			h.advance(200 * time.Millisecond)
			require.Empty(t, h.take())
		}
	}
}

// TestResendForAnotherRouterWaitsUntilItIsGranted guards against attempts that the requesting
// router does not count: each one beyond the first needs a grant of its own.
func TestResendForAnotherRouterWaitsUntilItIsGranted(t *testing.T) {
	for _, refused := range []bool{false, true} {
		h := resending(t, ampleBudget)
		h.servers("s", 1)
		id := h.arriveForAnother(0)
		for range 2 {
			h.refuseAll()
			h.advance(41 * time.Millisecond)
			require.Empty(t, h.take(), "sent without a grant")
			claims := len(h.claims)
			h.step(scatter.Granted{Request: id, Shards: []int{0}, Refused: refused})
			if refused {
				require.Equal(t, []int{0}, h.result(id).Missing)
				break
			}
			require.Len(t, h.sent, 1)
			require.Len(t, h.claims, claims)
		}
	}
}

// TestResendingKeepsTheBoundOnServers draws outcomes and checks that no call is sent to more
// servers than its route allows, that a server gets a request again only if it refused it, and
// that a request that may not be repeated is in flight once at most.
func TestResendingKeepsTheBoundOnServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		h := resending(t, ampleBudget)
		h.servers("s", rapid.IntRange(1, 5).Draw(t, "servers"))
		route := singleRoute(rapid.Bool().Draw(t, "repeatable"))
		route.MaxAttempts = rapid.IntRange(1, 4).Draw(t, "attempts")
		last := map[string]scatter.Failure{}
		reached := map[string]bool{}
		id := h.arrive(route)
		var inFlight []scatter.Send
		for range 300 {
			for _, send := range h.take() {
				if before, sent := last[send.Server.ID]; sent {
					require.Contains(t, []scatter.Failure{scatter.Refused, scatter.NotConnected}, before, "sent again")
				}
				last[send.Server.ID] = scatter.Aborted
				inFlight = append(inFlight, send)
			}
			require.True(t, route.Repeatable || len(inFlight) <= 1)
			if len(inFlight) > 0 && random.IntN(3) > 0 {
				send := inFlight[0]
				inFlight = inFlight[1:]
				kind := []scatter.Failure{scatter.Refused, scatter.Refused, scatter.Refused, scatter.NotConnected, scatter.Broken}[random.IntN(5)]
				known := verdict.NotRun
				if kind == scatter.Broken {
					known = verdict.MayHaveRun
				}
				if last[send.Server.ID] = kind; kind != scatter.NotConnected {
					reached[send.Server.ID] = true
				}
				h.end(send, failure(kind, known))
			}
			h.advance(time.Duration(random.IntN(20)) * time.Millisecond)
		}
		require.LessOrEqual(t, len(reached), route.MaxAttempts)
		h.result(id)
	})
}

// TestResendingStaysWithinTheBudget runs routers against servers that refuse everything, and
// checks the budget in every window.
func TestResendingStaysWithinTheBudget(t *testing.T) {
	limits := scatter.BudgetLimits{Ratio: 0.2, Slack: 56}
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 6).Draw(t, "routers")
		route := singleRoute(rapid.Bool().Draw(t, "repeatable"))
		gathering := gatherRoute("s")
		fleet := make([]*harness, routers)
		for index := range fleet {
			fleet[index] = resending(t, limits)
			fleet[index].step(scatter.RoutersChanged{Count: routers})
			fleet[index].servers("s", 3)
		}
		var firsts, extras []time.Duration
		for tick := range 600 {
			at := time.Duration(tick) * 25 * time.Millisecond
			for _, router := range fleet {
				if rapid.IntRange(0, 3).Draw(t, "arrival") == 0 {
					router.arrive([]*routing.Route{route, gathering}[tick%2])
				}
				router.advance(25 * time.Millisecond)
				for sent := router.take(); len(sent) > 0; sent = router.take() {
					for _, send := range sent {
						if send.Extra {
							extras = append(extras, at)
						} else {
							firsts = append(firsts, at)
						}
						router.end(send, failure(scatter.Refused, verdict.NotRun))
					}
				}
			}
		}
		for tick := 0; tick < 600; tick += 10 {
			from := time.Duration(tick) * 25 * time.Millisecond
			allowed := limits.Ratio*float64(within(firsts, from, limitsWindow)) + limits.Slack
			require.LessOrEqual(t, float64(within(extras, from, limitsWindow)), allowed, "window from %v", from)
		}
	})
}
