package scatter_test

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
)

// The site of these tests has three servers in three zones, which together serve classCapacity
// requests a second.
const (
	classServers  = 3
	classWork     = 10 * time.Millisecond
	classCapacity = 600.0
)

// classRoutes returns a more urgent route with a long target and a less urgent one with a short
// target, both to the service s.
func classRoutes() (urgent, relaxed *routing.Route) {
	urgent, relaxed = singleRoute(false), singleRoute(false)
	urgent.Name, urgent.Target, urgent.Priority = "urgent", 500*time.Millisecond, 0
	relaxed.Name, relaxed.Target, relaxed.Priority = "relaxed", 60*time.Millisecond, 1
	urgent.Timeout, relaxed.Timeout = 600*time.Millisecond, 200*time.Millisecond
	return urgent, relaxed
}

func classSite(t reporter, seed uint64, ordered bool) *site {
	s := newSite(t, seed, 2, scatter.Config{ClassOrder: ordered})
	for number := range classServers {
		s.add("s", "s/"+strconv.Itoa(number), string(rune('a'+number%3)), classWork)
	}
	return s
}

// play runs two routes at multiples of the capacity that may vary with time.
func (s *site) play(period time.Duration, urgent, relaxed *routing.Route, loads func(elapsed time.Duration) (urgent, relaxed float64)) {
	s.run(period, func(elapsed time.Duration) {
		first, second := loads(elapsed)
		s.poisson(first*classCapacity, func() { s.arrive(urgent) })
		s.poisson(second*classCapacity, func() { s.arrive(relaxed) })
	})
}

// requireClassOrder checks that the less urgent route is not served better, and gets at least a
// quarter of the mean.
func (s *site) requireClassOrder(t require.TestingT) {
	urgent, relaxed := s.tally("urgent"), s.tally("relaxed")
	mean := tally{offered: urgent.offered + relaxed.offered, inTime: urgent.inTime + relaxed.inTime}
	require.GreaterOrEqual(t, urgent.share(), relaxed.share()-0.05, "urgent %+v, relaxed %+v", *urgent, *relaxed)
	require.GreaterOrEqual(t, relaxed.share(), mean.share()/4, "urgent %+v, relaxed %+v", *urgent, *relaxed)
}

// TestMoreUrgentRouteIsServedFirst guards against a less urgent route with a short target being
// served better than a more urgent one with a long target, and against its being starved.
func TestMoreUrgentRouteIsServedFirst(t *testing.T) {
	for _, load := range []float64{0.6, 0.9, 1.5} {
		for _, ordered := range []bool{false, true} {
			s := classSite(t, 1, ordered)
			urgent, relaxed := classRoutes()
			s.play(2*time.Second, urgent, relaxed, func(time.Duration) (float64, float64) { return load, load })
			t.Logf("load %.1f each, ordered %v: urgent %.3f, relaxed %.3f", load, ordered, s.tally("urgent").share(), s.tally("relaxed").share())
			if ordered {
				s.requireClassOrder(t)
			}
		}
	}
}

// TestClassOrderHoldsInWavesAndWithoutAZone guards against a class being served worse while the
// demand of the two routes varies out of phase, or after the servers of a zone are lost.
func TestClassOrderHoldsInWavesAndWithoutAZone(t *testing.T) {
	for _, lost := range []bool{false, true} {
		s := classSite(t, 2, true)
		urgent, relaxed := classRoutes()
		wave := func(elapsed time.Duration) (float64, float64) {
			phase := 2 * math.Pi * elapsed.Seconds() / 4
			return 0.8 + 0.5*math.Sin(phase), 0.8 - 0.5*math.Sin(phase)
		}
		s.play(2*time.Second, urgent, relaxed, wave)
		if lost {
			for _, router := range s.routers {
				router.step(scatter.ServersRemoved{IDs: []string{"s/0"}})
			}
		}
		s.play(4*time.Second, urgent, relaxed, wave)
		t.Logf("zone lost %v: urgent %.3f, relaxed %.3f", lost, s.tally("urgent").share(), s.tally("relaxed").share())
		s.requireClassOrder(t)
	}
}

// TestBelowCapacityClassOrderChangesNothing guards against an order that has an effect while
// every call is sent at once.
func TestBelowCapacityClassOrderChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<40).Draw(t, "seed")
		interval := time.Duration(rapid.IntRange(3, 20).Draw(t, "interval")) * time.Millisecond
		urgentShare := rapid.Float64Range(0, 1).Draw(t, "urgent")
		var shares [2][2]tally
		var sent [2]map[string]int
		for index, ordered := range []bool{false, true} {
			s := classSite(t, seed, ordered)
			urgent, relaxed := classRoutes()
			// Evenly spaced requests, so that there is capacity at every moment.
			s.run(400*time.Millisecond, func(elapsed time.Duration) {
				route := urgent
				if s.random.Float64() >= urgentShare {
					route = relaxed
				}
				if elapsed%interval == 0 {
					s.arrive(route)
				}
			})
			shares[index], sent[index] = [2]tally{*s.tally("urgent"), *s.tally("relaxed")}, s.sent
		}
		require.Equal(t, shares[0], shares[1])
		require.Equal(t, sent[0], sent[1])
	})
}

// TestFirstLessUrgentCallFollowsFourMoreUrgentOnes checks the order of queued calls of three
// classes, with the earliest due time first within a class.
func TestFirstLessUrgentCallFollowsFourMoreUrgentOnes(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.engine = scatter.New(scatter.Config{Zone: "a", Seed: 1, Budget: ampleBudget, ClassOrder: true})
	h.servers("s", 1)
	routes := make([]*routing.Route, 3)
	for priority := range routes {
		routes[priority] = singleRoute(false)
		routes[priority].Name, routes[priority].Priority = "p"+strconv.Itoa(priority), priority
		routes[priority].Target, routes[priority].Timeout = 5*time.Second, 10*time.Second
	}
	for range 3 {
		h.arrive(routes[0])
	}
	running := h.take()
	class := map[scatter.RequestID]int{}
	for range 30 {
		for priority := 2; priority >= 0; priority-- {
			class[h.arrive(routes[priority])] = priority
		}
	}
	order := ""
	last := map[int]scatter.RequestID{}
	for range 25 {
		h.end(running[0], good("x"))
		sent := h.take()
		running = append(running[1:], sent...)
		require.Len(t, sent, 1)
		id := sent[0].Request
		require.Greater(t, id, last[class[id]], "within a class, what is due first goes first")
		last[class[id]] = id
		order += strconv.Itoa(class[id])
	}
	require.Equal(t, "0000100001000010000100002", order)
}
