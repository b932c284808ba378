package scatter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// coldHarness is a router whose service s bounds the request rate of its cold servers.
func coldHarness(t reporter, rate float64, limits scatter.ColdLimits) *harness {
	h := newHarness(t, ampleBudget)
	h.engine = scatter.New(scatter.Config{Zone: "a", Seed: 1, Budget: ampleBudget, Cold: limits})
	h.step(scatter.DocumentChanged{Services: []routing.Service{{Name: "s", ColdRate: rate}}})
	return h
}

func (h *harness) cold(id string, left time.Duration) {
	h.step(scatter.ServersChanged{Servers: []scatter.Server{{
		ID: id, Service: "s", Address: id, Zone: "a", Slots: 2, WarmAt: h.now.Add(left),
	}}})
}

// TestColdServersStayWithinTheirRate sends bursts of requests to the routers that gather a
// shard, or to all routers if it is no shard: in any second a cold server gets no more from
// all of them than its service allows.
func TestColdServersStayWithinTheirRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{2, 8, 25, 100}).Draw(t, "rate")
		limits := scatter.ColdLimits{RateFactor: 1.5, Slack: 5}
		count := rapid.IntRange(1, 80).Draw(t, "routers")
		gathering := rapid.IntRange(0, count).Draw(t, "gathering")
		var routers []*harness
		for number := range count {
			router := coldHarness(t, rate, limits)
			router.step(scatter.RoutersChanged{Count: count, Rank: number})
			if gathering > 0 {
				router.step(scatter.GatherersChanged{Gatherers: map[string]scatter.Gatherers{
					"s": {Count: gathering, Self: number < gathering, Rank: number},
				}})
			}
			router.cold("s/0", time.Minute)
			routers = append(routers, router)
		}
		var sent []time.Duration
		const tick = 50 * time.Millisecond
		for number := range 120 {
			burst := rapid.IntRange(0, 3).Draw(t, "burst")
			for _, router := range routers {
				for range burst {
					router.arrive(singleRoute(true))
				}
				for _, send := range router.take() {
					sent = append(sent, time.Duration(number)*tick)
					router.end(send, good("x"))
				}
				router.advance(tick)
			}
		}
		for number := range 120 {
			from := time.Duration(number) * tick
			require.LessOrEqual(t, float64(within(sent, from, time.Second)), rate*limits.RateFactor+limits.Slack, "from %v", from)
		}
	})
}

func TestColdServerGetsSomethingAndTheRestGoesElsewhere(t *testing.T) {
	h := coldHarness(t, 10, scatter.ColdLimits{RateFactor: 1.5, Slack: 5})
	h.cold("cold", time.Minute)
	h.servers("s", 1)
	count := map[string]int{}
	var out []scatter.Send
	for range 400 {
		h.arrive(singleRoute(false))
		for _, send := range h.take() {
			count[send.Server.ID]++
			out = append(out, send)
		}
		h.advance(10 * time.Millisecond)
		if len(out) > 2 {
			h.end(out[0], good("x"))
			out = out[1:]
		}
	}
	require.Greater(t, count["cold"], 10)
	require.LessOrEqual(t, count["cold"], 10*4)
	require.Greater(t, count["s/0"], 300)
}

func TestRequestBeyondTheColdRateIsRefusedAtOnce(t *testing.T) {
	h := coldHarness(t, 10, scatter.ColdLimits{RateFactor: 1.5, Slack: 5})
	h.cold("cold", time.Minute)
	id := h.arrive(singleRoute(true))
	require.Equal(t, verdict.NotRun, h.result(id).Verdict)
	require.Positive(t, h.result(id).RetryAfter)
}

func TestServerThatReportsThatItIsColdIsLimited(t *testing.T) {
	h := coldHarness(t, 2, scatter.ColdLimits{RateFactor: 1, Slack: 0})
	h.servers("s", 2)
	h.advance(time.Second)
	outcome := good("x")
	outcome.ColdFor = 10 * time.Second
	h.arrive(singleRoute(true))
	first := h.take()[0]
	h.end(first, outcome)
	for range 20 {
		h.arrive(singleRoute(true))
		sent := h.take()
		require.NotEqual(t, first.Server.ID, sent[0].Server.ID)
		h.end(sent[0], good("x"))
		h.advance(10 * time.Millisecond)
	}
}

func TestReportedSlownessLowersPreferenceBriefly(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 2)
	loaded := func(slowness float64) scatter.Outcome {
		outcome := good("x")
		outcome.Load = message.Load{Known: true, Slots: 2, Slowness: slowness}
		return outcome
	}
	for range 40 {
		h.arrive(singleRoute(false))
		sent := h.take()[0]
		h.advance(10 * time.Millisecond)
		h.end(sent, loaded(1))
	}
	h.arrive(singleRoute(false))
	slow := h.take()[0]
	h.advance(30 * time.Millisecond)
	h.end(slow, loaded(3))
	for number := range 3 {
		h.arrive(singleRoute(false))
		sent := h.take()[0]
		require.NotEqual(t, slow.Server.ID, sent.Server.ID, fmt.Sprint(number))
		h.advance(10 * time.Millisecond)
		h.end(sent, loaded(1))
	}
}

// TestSlowServerIsAvoidedAfterItsReportExpires makes the server of the own zone twenty times
// slower and has it report so: a second later, when the report has expired, the other server
// is chosen.
func TestSlowServerIsAvoidedAfterItsReportExpires(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.twoZones()
	request := func(slowness float64) string {
		h.arrive(singleRoute(false))
		sent := h.take()[0]
		took, outcome := 20*time.Millisecond, good("x")
		if sent.Server.ID == "s/a" {
			took = time.Duration(slowness * float64(took))
			outcome.Load = message.Load{Known: true, Slots: 2, Slowness: slowness}
		}
		h.advance(took)
		h.end(sent, outcome)
		return sent.Server.ID
	}
	for range 50 {
		require.Equal(t, "s/a", request(1))
	}
	for range 20 {
		request(20)
	}
	h.advance(time.Second)
	require.Equal(t, "s/b", request(20))
}
