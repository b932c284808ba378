package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/gateway"
	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/proof/suspension"
	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/reservation"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// everyPart enables all parts of load sharing and admission.
func everyPart(config *gateway.Config) {
	config.Parts = gateway.Parts{
		LoadReports: true, Admission: true, Reservations: true, TenantShares: true,
		ClassOrder: true, SharedConditions: true, ResendRefused: true,
	}
}

// runs counts the requests that a server received.
type runs struct{ count atomic.Int64 }

func (r *runs) servers() map[string]http.HandlerFunc {
	return map[string]http.HandlerFunc{"s": func(writer http.ResponseWriter, request *http.Request) {
		r.count.Add(1)
		echo(writer, request)
	}}
}

// admittingSite starts a site whose route r has a target.
func admittingSite(t *testing.T, change func(*gateway.Config), served *runs) *site {
	document := oneRoute(1, "s")
	document.Routes[0].Target = 800 * time.Millisecond
	return startConfiguredSite(t, change, document, served.servers())
}

// viewWith returns a view whose only route is r.
func viewWith(fraction, reservable float64) loadview.View {
	return loadview.View{
		Term: 1, Epoch: 100,
		Routes:   []loadview.RouteState{{Route: "r", Offered: 90, Fraction: fraction, Promised: fraction, Reservable: reservable, Bottleneck: "s", Since: time.Second}},
		Services: []loadview.ServiceState{{Service: "s", Demand: 5, Capacity: 2}},
	}
}

// share publishes a view with figures of an age, under the next revision, and waits until the
// router holds it.
func (s *site) share(view loadview.View, age time.Duration) loadview.Held {
	s.directory.mutex.Lock()
	if s.directory.load != nil {
		view.Revision = s.directory.load.Revision
	}
	view.Revision++
	s.directory.load, s.directory.loadAt = &view, steadyclock.Now().Add(-age)
	held := loadview.Held{View: view, At: s.directory.loadAt}
	s.directory.mutex.Unlock()
	s.awaitHeld(view.Revision)
	return held
}

// awaitHeld waits until the router reports that it holds a revision of the view.
func (s *site) awaitHeld(revision uint64) {
	require.Eventually(s.t, func() bool {
		s.directory.mutex.Lock()
		defer s.directory.mutex.Unlock()
		return s.directory.followed.LoadRevision == revision
	}, 10*time.Second, time.Millisecond)
}

func retryAfter(t *testing.T, got answer) time.Duration {
	after, err := time.ParseDuration(got.header.Get("Retry-After"))
	require.NoError(t, err, got)
	return after
}

// TestRefusalIsTruthfulAndImmediate guards against refused requests that reach a server, refusals
// that are held, and a Retry-After beyond the time that the client waits.
func TestRefusalIsTruthfulAndImmediate(t *testing.T) {
	var served runs
	s := admittingSite(t, everyPart, &served)
	s.share(viewWith(0, 1), 0)
	var took []time.Duration
	for number := range 20 {
		began := time.Now()
		got := s.send(http.MethodPost, fmt.Sprint("/a/", number), strings.NewReader("body"))
		took = append(took, time.Since(began))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Equal(t, "no_capacity\n", got.body)
		require.LessOrEqual(t, retryAfter(t, got), time.Second, "a third of the remaining time")
		require.Greater(t, retryAfter(t, got), 800*time.Millisecond, "without a reservation it is the limit")
	}
	slices.Sort(took)
	require.Less(t, took[len(took)/2], 100*time.Millisecond, "an eighth of the target")
	require.Zero(t, served.count.Load())
}

// TestRetryAfterLeavesTheTarget guards against a retry that can't be answered in time: the client
// of a request with little time left is told the remaining time less the target, or nothing.
func TestRetryAfterLeavesTheTarget(t *testing.T) {
	var served runs
	s := admittingSite(t, everyPart, &served)
	s.share(viewWith(0, 0), 0)
	got := s.sendWith(http.Header{"X-Left": {"1s"}}, http.MethodGet, "/a/", nil)
	require.LessOrEqual(t, retryAfter(t, got), 200*time.Millisecond)
	got = s.sendWith(http.Header{"X-Left": {"500ms"}}, http.MethodGet, "/a/", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Empty(t, got.header.Get("Retry-After"))
}

// TestRequestsWithoutValidFiguresAreServed guards against refusals by figures that are absent, too
// old, of another route, withdrawn, older than those held, or for a part that is switched off.
func TestRequestsWithoutValidFiguresAreServed(t *testing.T) {
	otherRoute := viewWith(0, 1)
	otherRoute.Routes[0].Route = "other"
	without := func(change func(*gateway.Parts)) func(*gateway.Config) {
		return func(config *gateway.Config) {
			everyPart(config)
			change(&config.Parts)
		}
	}
	for name, sample := range map[string]struct {
		change func(*gateway.Config)
		share  func(s *site)
	}{
		"a node that does not know the fields": {everyPart, func(*site) {}},
		"old figures":                          {everyPart, func(s *site) { s.share(viewWith(0, 1), loadview.MaxAge) }},
		"another route":                        {everyPart, func(s *site) { s.share(otherRoute, 0) }},
		"an empty view": {everyPart, func(s *site) {
			s.share(viewWith(0, 1), 0)
			s.share(loadview.View{Term: 1}, 0)
		}},
		"admission is off": {without(func(p *gateway.Parts) { p.Admission = false }), func(s *site) { s.share(viewWith(0, 1), 0) }},
		"an earlier term": {everyPart, func(s *site) {
			s.share(loadview.View{Term: 2}, 0)
			earlier := viewWith(0, 1)
			earlier.Revision = 9
			s.directory.mutex.Lock()
			s.directory.load, s.directory.loadAt = &earlier, steadyclock.Now()
			s.directory.mutex.Unlock()
			calls := s.directory.calls.Load()
			require.Eventually(t, func() bool { return s.directory.calls.Load() > calls+2 }, 10*time.Second, time.Millisecond)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var served runs
			s := admittingSite(t, sample.change, &served)
			sample.share(s)
			require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/", nil).status)
			require.EqualValues(t, 1, served.count.Load())
		})
	}
}

// TestWithoutLoadReportsTheViewStillArrives guards against a router that is not sent a view
// because it reports nothing: nodes send none to routers of the previous release.
func TestWithoutLoadReportsTheViewStillArrives(t *testing.T) {
	var served runs
	s := admittingSite(t, func(config *gateway.Config) {
		everyPart(config)
		config.Parts.LoadReports = false
	}, &served)
	require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/", nil).status)
	s.share(viewWith(0, 1), 0)
	require.Equal(t, http.StatusServiceUnavailable, s.send(http.MethodGet, "/a/", nil).status)
	s.directory.mutex.Lock()
	defer s.directory.mutex.Unlock()
	require.Equal(t, &loadview.Report{}, s.directory.followed.Load)
}

// TestSuspendedRouterServesByItsOwnObservations suspends the machine of a router that holds a
// view: the first request afterwards is served.
func TestSuspendedRouterServesByItsOwnObservations(t *testing.T) {
	machine := suspension.NewMachine(t)
	var served runs
	s := admittingSite(t, everyPart, &served)
	s.share(viewWith(0, 1), 0)
	require.Equal(t, http.StatusServiceUnavailable, s.send(http.MethodGet, "/a/", nil).status)
	machine.Suspend(loadview.MaxAge)
	require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/", nil).status)
}

// TestReplyOfBeforeASuspensionIsOld suspends the machine of a router while a reply with a view is
// on its way: the figures count from when the call was sent, and have no weight.
func TestReplyOfBeforeASuspensionIsOld(t *testing.T) {
	machine := suspension.NewMachine(t)
	var served runs
	s := admittingSite(t, everyPart, &served)
	view := viewWith(0, 1)
	view.Revision = 1
	s.directory.mutex.Lock()
	s.directory.load, s.directory.loadAt, s.directory.loadHold = &view, steadyclock.Now(), 300*time.Millisecond
	s.directory.mutex.Unlock()
	require.Eventually(t, func() bool { return s.directory.loadHeld.Load() > 0 }, 10*time.Second, time.Millisecond, "the call that the view answers has arrived")
	machine.Suspend(loadview.MaxAge)
	s.awaitHeld(1)
	require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/", nil).status)
	require.Contains(t, logOf(s), "load_view_changed")
}

// decideTogether sends a request to each site within one epoch, well apart from its ends, and
// returns the statuses.
func decideTogether(t *testing.T, held loadview.Held, path string, sites ...*site) (statuses []int) {
	for range 50 {
		before := reservation.ClockAt(held, steadyclock.Now())
		if before.Elapsed < 50*time.Millisecond || before.Elapsed > 150*time.Millisecond {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		statuses = nil
		for number, s := range sites {
			headers := http.Header{"X-Id": {fmt.Sprint(path, "-copy-", number)}}
			statuses = append(statuses, s.sendWith(headers, http.MethodGet, path, nil).status)
		}
		after := reservation.ClockAt(held, steadyclock.Now())
		if after.Epoch == before.Epoch && after.Elapsed < 200*time.Millisecond {
			return statuses
		}
	}
	require.Fail(t, "no epoch was long enough for a request to each site")
	return nil
}

// shareAll publishes one view at several sites, so that their epochs are the same.
func shareAll(view loadview.View, sites ...*site) (held loadview.Held) {
	at := steadyclock.Now()
	for _, s := range sites {
		held = s.share(view, steadyclock.Since(at))
	}
	held.At = at
	return held
}

// TestRoutersDecideAlike guards against a client that gains by asking another router or by another
// request id.
func TestRoutersDecideAlike(t *testing.T) {
	var served runs
	first, second := admittingSite(t, everyPart, &served), admittingSite(t, everyPart, &served)
	counts := map[int]int{}
	for round := range 6 {
		held := shareAll(viewWith(0.5, 0), first, second)
		for number := range 3 {
			statuses := decideTogether(t, held, fmt.Sprintf("/a/%d/%d", round, number), first, second, first)
			require.Equal(t, []int{statuses[0], statuses[0], statuses[0]}, statuses)
			counts[statuses[0]]++
		}
	}
	require.Len(t, counts, 2, "both decisions occur: %v", counts)
}

// TestReservedRetryIsAdmittedElsewhere guards against promises that another router does not keep:
// a client that retries after the given time, at another router and with another id, is served.
func TestReservedRetryIsAdmittedElsewhere(t *testing.T) {
	var served runs
	first, second := admittingSite(t, everyPart, &served), admittingSite(t, everyPart, &served)
	reserved := 0
	for number := 0; reserved < 4 && number < 40; number++ {
		// The fraction is low, so that a retry is rarely admitted by chance.
		shareAll(viewWith(0.25, 1), first, second)
		path := fmt.Sprint("/a/", number)
		got := first.sendWith(http.Header{"X-Id": {path}}, http.MethodGet, path, nil)
		if got.status != http.StatusServiceUnavailable || requestLine(t, first, path).Data["reserved"] != true {
			continue
		}
		reserved++
		after := retryAfter(t, got)
		require.LessOrEqual(t, after, time.Second)
		time.Sleep(after)
		got = second.sendWith(http.Header{"X-Id": {"retry"}, "X-Left": {"2s"}}, http.MethodGet, path, nil)
		require.Equal(t, http.StatusOK, got.status, "request %d after %v", number, after)
	}
	require.Equal(t, 4, reserved)
}

// TestWithoutReservationsClientsAreToldTheLimit has reservations switched off.
func TestWithoutReservationsClientsAreToldTheLimit(t *testing.T) {
	var served runs
	s := admittingSite(t, func(config *gateway.Config) {
		everyPart(config)
		config.Parts.Reservations = false
	}, &served)
	s.share(viewWith(0.3, 1), 0)
	for number := range 10 {
		path := fmt.Sprint("/a/", number)
		if got := s.sendWith(http.Header{"X-Id": {path}}, http.MethodGet, path, nil); got.status != http.StatusOK {
			require.Greater(t, retryAfter(t, got), 800*time.Millisecond)
			require.Equal(t, false, requestLine(t, s, path).Data["reserved"])
		}
	}
}

// requestLine waits for the log line about the request with an id, which is written after the
// response.
func requestLine(t *testing.T, s *site, id string) (line *logrus.Entry) {
	require.Eventually(t, func() bool {
		for _, entry := range s.logged.AllEntries() {
			if entry.Message == "request" && entry.Data["request"] == id {
				line = entry
			}
		}
		return line != nil
	}, 10*time.Second, time.Millisecond)
	return line
}

// sharedTenants is withTenants with a target, and a view in which tenant one exceeds its share.
func sharedTenants() (*routing.Document, loadview.View) {
	document := withTenants(1)
	document.Routes[0].Target = 500 * time.Millisecond
	view := viewWith(1, 1)
	view.Tenants = []loadview.TenantState{{Tenant: "one", Share: 0}}
	return document, view
}

// TestTenantAboveItsShareIsRefused guards against a tenant that is refused for another's excess,
// and against a refusal that does not tell why.
func TestTenantAboveItsShareIsRefused(t *testing.T) {
	document, view := sharedTenants()
	s := startConfiguredSite(t, everyPart, document, map[string]http.HandlerFunc{"s": echoTenant})
	s.share(view, 0)
	require.Equal(t, http.StatusServiceUnavailable, s.sendWith(keyHeaders("first"), http.MethodGet, "/a/", nil).status)
	line := requestLine(t, s, "r-1")
	require.Subset(t, line.Data, logrus.Fields{
		"route": "r", "tenant": "one", "bottleneck": "s", "demand": 5.0, "capacity": 2.0, "reserved": false, "tenant_share": 0.0, "load_revision": uint64(1),
	})
	require.InDelta(t, 0, line.Data["admitted_share"], 0.9)
	require.Less(t, line.Data["load_age"], loadview.MaxAge)
	require.Equal(t, http.StatusOK, s.sendWith(keyHeaders("third"), http.MethodGet, "/a/", nil).status)

	unshared := startConfiguredSite(t, func(config *gateway.Config) {
		everyPart(config)
		config.Parts.TenantShares = false
	}, document, map[string]http.HandlerFunc{"s": echoTenant})
	unshared.share(view, 0)
	require.Equal(t, http.StatusOK, unshared.sendWith(keyHeaders("first"), http.MethodGet, "/a/", nil).status)
}

// TestRefusedRequestsSpendNoToken guards against a tenant that gets less than its quota because
// its refused requests use up its tokens.
func TestRefusedRequestsSpendNoToken(t *testing.T) {
	s := startConfiguredSite(t, everyPart, nil, map[string]http.HandlerFunc{"s": echoTenant})
	document := limited(1)
	s.directory.mutex.Lock()
	s.directory.ledger = quota.NewLedger(quota.Tolerance{})
	s.directory.ledger.SetLimits(time.Now().Add(-time.Hour), quota.LimitsOf(document.Tenants))
	s.directory.metered = []string{"one"}
	s.directory.mutex.Unlock()
	s.install(document)
	require.Eventually(t, func() bool { return strings.Contains(logOf(s), "metered_tenants_changed") }, 10*time.Second, time.Millisecond)
	s.share(viewWith(0, 0), 0)
	for range 5 {
		require.Equal(t, "no_capacity\n", s.sendWith(keyHeaders("first"), http.MethodGet, "/a/", nil).body)
	}
	s.share(loadview.View{Term: 1}, 0)
	for _, want := range []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests} {
		require.Equal(t, want, s.sendWith(keyHeaders("first"), http.MethodGet, "/a/", nil).status)
	}
}

// TestSlicesAreNotRefusedByAdmission guards against an answer that lacks shards because a router
// that gathers some of them refuses a request that the client's router admitted.
func TestSlicesAreNotRefusedByAdmission(t *testing.T) {
	var served atomic.Int64
	part := func(writer http.ResponseWriter, request *http.Request) {
		served.Add(1)
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Stamp", "from the other router")
		_, _ = writer.Write(make([]byte, 16))
	}
	gatherer := startConfiguredSite(t, func(config *gateway.Config) {
		everyPart(config)
		config.Name = "other0"
	}, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": part, "t": part})
	gatherer.share(viewWith(0, 0), 0)
	require.Equal(t, http.StatusServiceUnavailable, gatherer.send(http.MethodGet, "/a/", nil).status)
	s := gatherAcross(t, serve(t, gatherer.router.PeerHandler()))
	got := s.send(http.MethodGet, "/a/", nil)
	require.Equal(t, http.StatusOK, got.status)
	require.Contains(t, got.header.Get("X-Stamps"), "from the other router")
	require.EqualValues(t, 1, served.Load())
}
