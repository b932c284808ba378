package scatter_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Bounds of the random events of a lifecycle.
const (
	lifecycleEvents   = 600
	lifecycleServices = 4
	// lifecycleSettleTime exceeds the timeouts of all routes.
	lifecycleSettleTime = 2 * time.Second
)

// lifecycle drives one engine with random events.
type lifecycle struct {
	*harness
	random   *rand.Rand
	routes   []*routing.Route
	inFlight []scatter.Send
	arrived  []scatter.RequestID
	// lateShare is the share of the requests that arrive at or past their deadline.
	lateShare float64
}

func newLifecycle(t *rapid.T) *lifecycle {
	l := &lifecycle{
		harness: newHarness(t, ampleBudget), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		lateShare: rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "late"),
	}
	limits := rapid.SampledFrom([]scatter.BudgetLimits{ampleBudget, {Ratio: 0.2, Slack: 4}}).Draw(t, "budget")
	l.engine = scatter.New(scatter.Config{
		Zone: "a", Seed: l.random.Uint64(), Budget: limits, ClassOrder: rapid.Bool().Draw(t, "classes"),
		ResendRefused: rapid.Bool().Draw(t, "resending"), SharedConditions: rapid.Bool().Draw(t, "conditions"),
	})
	var shards []string
	for number := range lifecycleServices {
		shards = append(shards, "s"+strconv.Itoa(number))
		l.servers(shards[number], rapid.IntRange(1, 3).Draw(t, "servers"))
	}
	for priority := range 3 {
		gathering, single, once := gatherRoute(shards...), singleRoute(true), singleRoute(false)
		gathering.Name, gathering.Priority, gathering.LeastShare = "gather"+strconv.Itoa(priority), priority, float64(priority+1)/4
		single.Name, single.Priority = "single"+strconv.Itoa(priority), priority
		once.Name, once.Priority = "once"+strconv.Itoa(priority), priority
		for _, route := range []*routing.Route{single, once} {
			route.Targets[0].Service = shards[priority]
		}
		l.routes = append(l.routes, gathering, single, once)
	}
	return l
}

// submit lets a request arrive, in part for another router, with a random time left.
func (l *lifecycle) submit() {
	l.last++
	l.arrived = append(l.arrived, l.last)
	route := l.routes[l.random.IntN(len(l.routes))]
	event := scatter.Arrived{ID: l.last, Route: route, Services: route.Shards, Due: l.now.Add(route.Target)}
	left := time.Duration(1+l.random.IntN(300)) * time.Millisecond
	if l.random.Float64() < l.lateShare {
		left = -time.Duration(l.random.IntN(11)) * time.Millisecond
	}
	event.Deadline = l.now.Add(left)
	if route.Gathers() {
		event.PriorAttempts, event.ClaimExtras = l.random.IntN(3), l.random.IntN(2) == 0
	} else {
		event.Services = []string{route.ServiceOf("x")}
	}
	l.step(event)
}

// endOne ends a random attempt in flight in a random way.
func (l *lifecycle) endOne() {
	if len(l.inFlight) == 0 {
		return
	}
	index := l.random.IntN(len(l.inFlight))
	send := l.inFlight[index]
	l.inFlight[index] = l.inFlight[len(l.inFlight)-1]
	l.inFlight = l.inFlight[:len(l.inFlight)-1]
	l.end(send, l.outcome())
}

func (l *lifecycle) outcome() scatter.Outcome {
	switch l.random.IntN(10) {
	case 0, 1, 2, 3:
		return good("x")
	case 4, 5, 6:
		return failure(scatter.Refused, verdict.NotRun)
	case 7:
		return failure(scatter.NotConnected, verdict.NotRun)
	case 8:
		return failure(scatter.TimedOut, verdict.MayHaveRun)
	default:
		return failure(scatter.Broken, verdict.MayHaveRun)
	}
}

// answerClaim grants or refuses a random claim.
func (l *lifecycle) answerClaim() {
	if len(l.claims) == 0 {
		return
	}
	claim := l.claims[l.random.IntN(len(l.claims))]
	l.step(scatter.Granted{Request: claim.Request, Shards: []int{claim.Shard}, Refused: l.random.IntN(3) == 0})
}

// endRequest ends a random request by its client's disconnect or by quarantine.
func (l *lifecycle) endRequest() {
	if len(l.arrived) == 0 {
		return
	}
	id := l.arrived[l.random.IntN(len(l.arrived))]
	if l.random.IntN(2) == 0 {
		l.step(scatter.Abandoned{Request: id})
		return
	}
	l.step(scatter.Withdrawn{Request: id})
}

// pass lets time pass; some timers run late, so that several are due in one step.
func (l *lifecycle) pass() {
	by := time.Duration(l.random.IntN(20)) * time.Millisecond
	if l.random.IntN(4) > 0 {
		l.advance(by)
		return
	}
	l.now = l.now.Add(4 * by)
}

func (l *lifecycle) play() {
	for range lifecycleEvents {
		switch l.random.IntN(12) {
		case 0, 1, 2, 3:
			l.submit()
		case 4, 5, 6, 7:
			l.endOne()
		case 8:
			l.answerClaim()
		case 9, 10:
			l.pass()
		default:
			if l.random.IntN(4) == 0 {
				l.endRequest()
			}
		}
		l.inFlight = append(l.inFlight, l.take()...)
	}
	l.advance(lifecycleSettleTime)
}

// TestNothingFollowsTheEndOfARequest guards against routers that end because the engine sends
// for a request that it has answered, and against work for requests without time left: over
// random events and all settings no attempt, claim or part follows the answer or the deadline
// (checked by the harness in every step), and each request ends once.
func TestNothingFollowsTheEndOfARequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLifecycle(t)
		l.play()
		for _, id := range l.arrived {
			_, answered := l.results[id]
			require.True(t, answered != l.dropped[id], "request %d: answered %v, dropped %v", id, answered, l.dropped[id])
		}
		require.Zero(t, l.engine.InFlight())
	})
}

// TestRequestWithoutTimeLeftReachesNoServer guards against servers that work for nothing, and
// against a request that may not be repeated being reported as one that may have run: it is
// answered when it arrives, as not run.
func TestRequestWithoutTimeLeftReachesNoServer(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		for _, late := range []time.Duration{0, 10 * time.Millisecond} {
			for _, route := range []*routing.Route{gatherRoute("s", "t"), singleRoute(true), singleRoute(false)} {
				h := newHarness(t, ampleBudget)
				h.engine = scatter.New(scatter.Config{Zone: "a", Seed: 1, Budget: ampleBudget, ClassOrder: ordered})
				h.servers("s", 2)
				h.servers("t", 2)
				route.Timeout = -late
				result := h.result(h.arrive(route))
				require.Equal(t, verdict.NotRun, result.Verdict)
				require.Equal(t, verdict.ReasonTimeout, result.Reason)
				require.Empty(t, h.take())
				if route.Gathers() {
					require.Equal(t, []int{0, 1}, result.Missing)
				}
			}
		}
	}
}

// TestQueuedCallIsNotSentByALateTimer guards against a call that is sent after its deadline,
// because a timer for capacity of an earlier moment runs in the same step.
func TestQueuedCallIsNotSentByALateTimer(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 1)
	filling, waiting := singleRoute(false), singleRoute(false)
	h.arrive(filling)
	h.end(h.take()[0], failure(scatter.Refused, verdict.NotRun))
	waiting.Timeout = 100 * time.Millisecond
	id := h.arrive(waiting)
	require.Empty(t, h.take(), "the server is full")
	h.now = h.now.Add(waiting.Timeout)
	h.step(scatter.TimerFired{})
	require.Empty(t, h.take())
	require.Equal(t, verdict.NotRun, h.result(id).Verdict)
}
