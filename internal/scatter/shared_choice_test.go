package scatter_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// sharing returns a harness that uses shared figures, with two servers of which the first is
// reported in a condition.
func sharing(t reporter, age time.Duration, state loadview.ServerState) (*harness, *routing.Route) {
	h := newHarness(t, ampleBudget)
	h.engine = scatter.New(scatter.Config{Zone: "a", Seed: 1, Budget: ampleBudget, SharedConditions: true})
	h.step(scatter.RoutersChanged{Count: 1000})
	h.servers("s", 2)
	route := singleRoute(false)
	h.learnTypical(route, 10*time.Millisecond)
	// No answer is newer than the figure.
	h.advance(loadview.MaxAge)
	state.ID = "s/0"
	h.step(scatter.ConditionsShared{At: h.now.Add(-age), Servers: map[string]loadview.ServerState{"s/0": state}})
	return h, route
}

// sentTo counts the attempts at a server among a number of requests, one after the other.
func (h *harness) sentTo(id string, route *routing.Route, requests int) (count int) {
	for range requests {
		h.arrive(route)
		sent := h.take()
		h.advance(time.Millisecond)
		for _, attempt := range sent {
			if attempt.Server.ID == id {
				count++
			}
			h.end(attempt, failure(scatter.NotSent, verdict.NotRun))
		}
		h.take()
	}
	return count
}

// TestSharedFiguresAreUsedUntilTheyAreOld guards against sending to a server that others find
// in trouble, and against avoiding it because of an old figure.
func TestSharedFiguresAreUsedUntilTheyAreOld(t *testing.T) {
	for _, state := range []loadview.ServerState{
		{Condition: loadview.Slow, Pace: 8}, {Condition: loadview.Refusing, Refusals: 0.6}, {Condition: loadview.Silent},
	} {
		h, route := sharing(t, 0, state)
		require.Zero(t, h.sentTo("s/0", route, 20), state.Condition)
		h, route = sharing(t, loadview.MaxAge, state)
		require.Positive(t, h.sentTo("s/0", route, 20), state.Condition)
		state.Age = loadview.MaxAge
		h, route = sharing(t, 0, state)
		require.Positive(t, h.sentTo("s/0", route, 20), "an old observation in a new view: %v", state.Condition)
	}
}

// TestOldFiguresCountLess guards against figures that lose their effect all at once, which would
// send all routers back at the same moment: near the greatest age, a server that was slow is
// taken before one with work in flight, and up to the age of full weight it is not.
func TestOldFiguresCountLess(t *testing.T) {
	for age, expected := range map[time.Duration]string{0: "s/1", loadview.FullWeightAge: "s/1", 2500 * time.Millisecond: "s/0"} {
		h, route := sharing(t, age, loadview.ServerState{Condition: loadview.Slow, Pace: 2.5})
		for _, server := range []string{"s/1", expected} {
			h.arrive(route)
			require.Equal(t, server, h.take()[0].Server.ID, age)
		}
	}
}

// TestOwnAnswerOutweighsOlderFigure guards against a router that ignores what it saw itself: a
// server that it has heard from since the time of the figure is used as before.
func TestOwnAnswerOutweighsOlderFigure(t *testing.T) {
	h, route := sharing(t, 0, loadview.ServerState{Condition: loadview.Silent})
	only := singleRoute(false)
	h.step(scatter.ServersRemoved{IDs: []string{"s/1"}})
	h.arrive(only)
	sent := h.take()
	require.Len(t, sent, 1, "a silent server is used if there is no other")
	h.advance(10 * time.Millisecond)
	h.end(sent[0], good("x"))
	h.step(scatter.ServersChanged{Servers: []scatter.Server{{ID: "s/1", Service: "s", Address: "s/1", Zone: "a", Slots: 2}}})
	require.Positive(t, h.sentTo("s/0", route, 20))
}

// TestSilentServerGetsOneAttemptAtATime guards against a group of silent servers that all
// routers fill at once.
func TestSilentServerGetsOneAttemptAtATime(t *testing.T) {
	h, route := sharing(t, 0, loadview.ServerState{Condition: loadview.Silent})
	h.step(scatter.ServersRemoved{IDs: []string{"s/1"}})
	for range 5 {
		h.arrive(route)
	}
	require.Len(t, h.take(), 1)
}

// TestFiguresOfAServerKnownLaterAreUsed guards against losing a figure because the view arrives
// before the table of servers.
func TestFiguresOfAServerKnownLaterAreUsed(t *testing.T) {
	h, route := sharing(t, 0, loadview.ServerState{Condition: loadview.Silent})
	h.step(scatter.ServersRemoved{IDs: []string{"s/0"}})
	h.servers("s", 1)
	require.Zero(t, h.sentTo("s/0", route, 20))
	h.step(scatter.ConditionsShared{})
	require.Positive(t, h.sentTo("s/0", route, 20), "an event without servers discards the figures")
}

// TestServersInTroubleAreExploredOnceASecond checks that all gatherers together send about one
// attempt a second to a server in trouble, whatever their number, and that each of these can be
// replaced by an attempt at another server.
func TestServersInTroubleAreExploredOnceASecond(t *testing.T) {
	for _, condition := range []loadview.Condition{loadview.Slow, loadview.Silent} {
		for _, routers := range []int{1, 4, 16} {
			s := newSite(t, uint64(routers), routers, scatter.Config{SharedConditions: true})
			for number := range 3 {
				s.add("s", "s/"+strconv.Itoa(number), "a", 5*time.Millisecond)
			}
			s.servers["s/0"].silent = condition == loadview.Silent
			s.servers["s/0"].work = 100 * time.Millisecond
			route := singleRoute(true)
			const seconds = 40
			for range seconds * 4 {
				s.share(scatter.ConditionsShared{At: s.now, Servers: map[string]loadview.ServerState{
					"s/0": {ID: "s/0", Condition: condition, Pace: 20},
				}})
				s.run(250*time.Millisecond, func(time.Duration) { s.poisson(100, func() { s.arrive(route) }) })
			}
			least := 0.7 * seconds
			if condition == loadview.Silent {
				// A router that got no answer itself suspects the server for up to 4 s.
				least *= float64(routers) / float64(routers+4)
			}
			require.GreaterOrEqual(t, float64(s.sent["s/0"]), least, "%v, %d routers", condition, routers)
			require.LessOrEqual(t, float64(s.sent["s/0"]), 1.4*seconds, "%v, %d routers", condition, routers)
			require.Greater(t, s.tallies["single"].share(), 0.99)
		}
	}
}

// TestSharedFiguresKeepTheLoadSpread guards against a herd: with figures up to their greatest
// age, no sound server gets more than its share of the attempts and a slack of a tenth of that and
// of its capacity. The slack is needed without figures, too: at low load a router prefers the
// servers that were a little quicker.
func TestSharedFiguresKeepTheLoadSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers, count := rapid.IntRange(1, 12).Draw(t, "routers"), rapid.IntRange(3, 8).Draw(t, "servers")
		s := newSite(t, rapid.Uint64Range(1, 1<<40).Draw(t, "seed"), routers, scatter.Config{SharedConditions: true})
		for number := range count {
			s.add("s", "s/"+strconv.Itoa(number), "a", 5*time.Millisecond)
		}
		event := scatter.ConditionsShared{Servers: map[string]loadview.ServerState{}}
		for number := range rapid.IntRange(0, count-2).Draw(t, "in trouble") {
			id := "s/" + strconv.Itoa(number)
			condition := loadview.Condition(rapid.IntRange(1, 3).Draw(t, "condition"))
			event.Servers[id] = loadview.ServerState{ID: id, Condition: condition, Pace: 6, Refusals: 0.6}
		}
		age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
		route := singleRoute(true)
		load := rapid.Float64Range(0.1, 0.8).Draw(t, "load")
		// A server with two slots and 5 ms of work serves 400 requests a second, for 2 s.
		const capacity = 2 * 400.0
		rate := load * 400 * float64(count-len(event.Servers))
		for range 8 {
			event.At = s.now.Add(-age)
			s.share(event)
			s.run(250*time.Millisecond, func(time.Duration) { s.poisson(rate, func() { s.arrive(route) }) })
		}
		total := 0
		for _, sent := range s.sent {
			total += sent
		}
		share := float64(total) / float64(count-len(event.Servers))
		for id, sent := range s.sent {
			require.LessOrEqual(t, float64(sent), 1.1*share+0.1*capacity, "%s of %v", id, s.sent)
		}
	})
}

// TestRoutersDoNotAllMoveToTheQuickServer guards against a herd at the one server that is not
// in trouble, when it can't take all requests: the slow ones must take what is beyond its
// capacity, and its queue must not fill.
func TestRoutersDoNotAllMoveToTheQuickServer(t *testing.T) {
	for _, routers := range []int{2, 8, 24} {
		s := newSite(t, 3, routers, scatter.Config{SharedConditions: true})
		for number := range 3 {
			s.add("s", "s/"+strconv.Itoa(number), "a", 15*time.Millisecond)
		}
		s.servers["s/2"].work = 5 * time.Millisecond
		route := singleRoute(true)
		const rate = 450
		for range 40 {
			s.share(scatter.ConditionsShared{At: s.now, Servers: map[string]loadview.ServerState{
				"s/0": {ID: "s/0", Condition: loadview.Slow, Pace: 3}, "s/1": {ID: "s/1", Condition: loadview.Slow, Pace: 3},
			}})
			s.run(250*time.Millisecond, func(time.Duration) { s.poisson(rate, func() { s.arrive(route) }) })
		}
		t.Logf("%d routers: %v, in time %.3f", routers, s.sent, s.tallies["single"].share())
		require.LessOrEqual(t, s.sent["s/2"], 10*400, "more than the quick server can do")
		require.Greater(t, s.sent["s/0"]+s.sent["s/1"], 10*50)
		require.Greater(t, s.tallies["single"].share(), 0.95)
	}
}
