package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/loadview"
)

// TestReportHoldsTheDemand guards against a report that holds more than the routes under normal
// load, and against one without the tenants while capacity is short.
func TestReportHoldsTheDemand(t *testing.T) {
	document, view := sharedTenants()
	s := startConfiguredSite(t, everyPart, document, map[string]http.HandlerFunc{"s": echoTenant})
	reported := func(complete func(loadview.Report) bool) (report loadview.Report) {
		require.Eventually(t, func() bool {
			require.Equal(t, http.StatusOK, s.sendWith(keyHeaders("third"), http.MethodGet, "/a/", nil).status)
			s.directory.mutex.Lock()
			defer s.directory.mutex.Unlock()
			if s.directory.followed.Load != nil {
				report = *s.directory.followed.Load
			}
			return complete(report)
		}, 10*time.Second, time.Millisecond)
		return report
	}
	report := reported(func(r loadview.Report) bool { return len(r.Routes) == 1 })
	require.Equal(t, "r", report.Routes[0].Route)
	require.Positive(t, report.Routes[0].Admitted)
	require.Empty(t, report.Services)
	require.Empty(t, report.Tenants)
	s.share(view, 0)
	report = reported(func(r loadview.Report) bool { return len(r.Tenants) == 1 })
	require.Equal(t, "two", report.Tenants[0].Tenant)
	s.directory.mutex.Lock()
	require.Equal(t, 250*time.Millisecond, s.directory.followed.Wait)
	s.directory.mutex.Unlock()
}

// TestSharedServersAreLoggedBriefly guards against a line for each server of a lost zone.
func TestSharedServersAreLoggedBriefly(t *testing.T) {
	var served runs
	s := admittingSite(t, everyPart, &served)
	view := loadview.View{Term: 1, Services: []loadview.ServiceState{{Service: "s"}}}
	for number := range 50 {
		view.Services[0].Servers = append(view.Services[0].Servers, loadview.ServerState{ID: fmt.Sprint("i-", number), Condition: loadview.Silent})
	}
	s.share(view, 0)
	s.share(view, 0)
	require.Equal(t, 1, strings.Count(logOf(s), "load_view_changed\n"))
	require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/", nil).status)
}

// TestServerInTroubleIsReportedAtOnce guards against a follow call that is held while a server has
// come into trouble: the other routers would know of it too late. A call that ends at that time
// reports it too, so that the test repeats until a call does that started for this.
func TestServerInTroubleIsReportedAtOnce(t *testing.T) {
	for range 8 {
		if reportsDuringCall(t) {
			return
		}
	}
	require.Fail(t, "each report came with the next ordinary call")
}

// reportsDuringCall has the only server stop responding, and reports whether the router started a
// call to report it, which a node must not hold.
func reportsDuringCall(t *testing.T) bool {
	s := startConfiguredSite(t, everyPart, oneRoute(1, "s"), map[string]http.HandlerFunc{
		"s": func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() },
	})
	s.directory.mutex.Lock()
	s.directory.hold = time.Second
	s.directory.mutex.Unlock()
	calls := s.directory.calls.Load()
	require.Eventually(t, func() bool { return s.directory.calls.Load() > calls+1 }, 10*time.Second, time.Millisecond)
	answers := make(chan answer, 1)
	go func() { answers <- s.sendWith(http.Header{"X-Left": {"1500ms"}}, http.MethodGet, "/a/", nil) }()
	var troubled []loadview.ServerState
	var allowed time.Duration
	require.Eventually(t, func() bool {
		s.directory.mutex.Lock()
		defer s.directory.mutex.Unlock()
		allowed = s.directory.followed.Wait
		if load := s.directory.followed.Load; load != nil && len(load.Services) > 0 {
			troubled = load.Services[0].Servers
		}
		return len(troubled) > 0
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, "i-s", troubled[0].ID)
	require.Equal(t, loadview.Silent, troubled[0].Condition)
	require.Equal(t, http.StatusGatewayTimeout, (<-answers).status)
	return allowed == 0
}
