package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/proof/suspension"
	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/routing"
)

// withTenants is a document with two tenants, a route that needs a key and one that does not.
func withTenants(version uint64) *routing.Document {
	document := oneRoute(version, "s")
	public := document.Routes[0]
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	document.Routes = append(document.Routes, public)
	document.Tenants = []routing.Tenant{{Name: "one", Keys: []string{"first", "second"}}, {Name: "two", Keys: []string{"third"}}}
	return document
}

// tellWho answers with the tenant that the server was told, and the key if it got one.
func tellWho(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("X-Id", request.Header.Get("X-Id"))
	writer.Header().Set("X-Stamp", "stamp")
	_, _ = fmt.Fprintf(writer, "%q %q", request.Header["X-Who"], request.Header["X-Key"])
}

func keyed(keys ...string) http.Header { return http.Header{"X-Key": keys, "X-Who": {"forged"}} }

// TestServersAreToldTheTenantAndNoKey has clients with every kind of key ask, each of which
// says by itself who it is.
func TestServersAreToldTheTenantAndNoKey(t *testing.T) {
	s := startSite(t, withTenants(1), map[string]http.HandlerFunc{"s": tellWho})
	for _, one := range []struct {
		path    string
		headers http.Header
		status  int
		body    string
	}{
		{"/a/", keyed("first"), http.StatusOK, `["one"] []`},
		{"/a/", keyed("second"), http.StatusOK, `["one"] []`},
		{"/a/", keyed("third"), http.StatusOK, `["two"] []`},
		{"/a/", keyed("unknown"), http.StatusUnauthorized, "unknown_key\n"},
		{"/a/", keyed("first", "third"), http.StatusUnauthorized, "unknown_key\n"},
		{"/a/", keyed(), http.StatusUnauthorized, "unknown_key\n"},
		{"/public/", keyed("third"), http.StatusOK, `["two"] []`},
		{"/public/", keyed("unknown"), http.StatusOK, `[""] []`},
		{"/public/", keyed(), http.StatusOK, `[""] []`},
		{"/none/", keyed("first"), http.StatusNotFound, "unknown_route\n"},
	} {
		got := s.askWith(one.headers, http.MethodGet, one.path, nil)
		require.Equal(t, one.status, got.status, one.headers)
		require.Equal(t, one.body, got.body)
	}
	for _, entry := range s.logged.AllEntries() {
		text, err := entry.String()
		require.NoError(t, err)
		for _, key := range []string{"first", "second", "third"} {
			require.NotContains(t, text, `=`+key, "a key is in the log")
		}
	}
}

func TestWithoutTenantsHeadersOfTheirsPassUnchanged(t *testing.T) {
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": tellWho})
	require.Equal(t, `["forged"] ["first"]`, s.askWith(keyed("first"), http.MethodGet, "/a/", nil).body)
}

// TestATenantsPartsAreAskedInItsName gathers over another router, which is handed the tenant.
func TestATenantsPartsAreAskedInItsName(t *testing.T) {
	handed := make(chan string, 8)
	other := serve(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		handed <- string(body)
		_, _ = writer.Write(standInFrame([]string{"t"}))
	}))
	s := gatherAcross(t, other)
	document := oneRoute(10, "s")
	document.Routes[0].Targets, document.Routes[0].Shards = nil, []string{"s", "t"}
	document.Routes[0].TopRecords, document.Routes[0].LeastShare = 10, 1
	document.Tenants = withTenants(1).Tenants
	s.install(document)
	require.Equal(t, http.StatusOK, s.askWith(keyed("third"), http.MethodGet, "/a/", nil).status)
	body := <-handed
	require.Contains(t, body, `"X-Who":["two"]`)
	require.NotContains(t, body, "third")
	require.NotContains(t, body, "forged")
}

func TestAKeyThatIsTakenAwayIsRefused(t *testing.T) {
	s := startSite(t, withTenants(1), map[string]http.HandlerFunc{"s": tellWho})
	require.Equal(t, http.StatusOK, s.askWith(keyed("second"), http.MethodGet, "/a/", nil).status)
	document := withTenants(2)
	document.Tenants[0].Keys = []string{"first"}
	s.install(document)
	require.Equal(t, http.StatusUnauthorized, s.askWith(keyed("second"), http.MethodGet, "/a/", nil).status)
	require.Equal(t, http.StatusOK, s.askWith(keyed("first"), http.MethodGet, "/a/", nil).status)
}

// TestAKeyThatIsTakenAwayWhileTheBodyComesIsRefused guards against a request that is served for as long
// after the loss of its key as its client takes to send it.
func TestAKeyThatIsTakenAwayWhileTheBodyComesIsRefused(t *testing.T) {
	s := startSite(t, withTenants(1), map[string]http.HandlerFunc{"s": tellWho})
	headers := keyed("second")
	headers.Set("Expect", "100-continue") // The body is sent once the router reads it.
	for index, sample := range []struct {
		kept   string
		status int
	}{{"second", http.StatusOK}, {"first", http.StatusUnauthorized}} {
		body, rest := io.Pipe()
		answers := make(chan answer, 1)
		go func() { answers <- s.askWith(headers, http.MethodPost, "/a/", body) }()
		_, err := io.WriteString(rest, "begun")
		require.NoError(t, err)
		document := withTenants(uint64(2 + index))
		document.Tenants[0].Keys = []string{sample.kept}
		s.install(document)
		require.NoError(t, rest.Close())
		require.Equal(t, sample.status, (<-answers).status, "the tenant keeps %s", sample.kept)
	}
}

// confirmBy has the stub say that its document was the newest a time before each call.
func (s *site) confirmBy(age time.Duration) {
	s.directory.mutex.Lock()
	defer s.directory.mutex.Unlock()
	fresh := -age
	s.directory.reply.Fresh = &fresh
}

// TestKeysLapseWithoutConfirmation has no node confirm the document: what needs a key is
// refused, and nothing is called unknown; what needs none is served.
func TestKeysLapseWithoutConfirmation(t *testing.T) {
	const within = 5 * time.Second
	s := startSiteWithin(t, within, nil, map[string]http.HandlerFunc{"s": tellWho})
	s.confirmBy(within)
	s.install(withTenants(1))
	require.False(t, s.router.Ready())
	for path, want := range map[string]int{"/a/": http.StatusServiceUnavailable, "/none/": http.StatusServiceUnavailable, "/public/": http.StatusOK} {
		headers := keyed("first")
		if want == http.StatusOK {
			headers = nil
		}
		got := s.askWith(headers, http.MethodGet, path, nil)
		require.Equal(t, want, got.status, path)
	}
	require.Equal(t, "no_lease\n", s.askWith(keyed("unknown"), http.MethodGet, "/a/", nil).body)
	s.confirmBy(0)
	require.Eventually(t, s.router.Ready, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, s.askWith(keyed("first"), http.MethodGet, "/a/", nil).status)
	require.Equal(t, http.StatusUnauthorized, s.askWith(keyed("unknown"), http.MethodGet, "/a/", nil).status)
	require.Equal(t, http.StatusNotFound, s.askWith(keyed("first"), http.MethodGet, "/none/", nil).status)
}

// TestKeysLapseWhileTheMachineIsSuspended suspends a router's machine, while its directory is
// silent, for longer than keys may be gone by: the first request afterwards is refused.
func TestKeysLapseWhileTheMachineIsSuspended(t *testing.T) {
	machine := suspension.NewMachine(t)
	s := startSiteWithin(t, 5*time.Second, nil, map[string]http.HandlerFunc{"s": tellWho})
	s.confirmBy(0)
	s.install(withTenants(1))
	require.Eventually(t, s.router.Ready, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, s.askWith(keyed("first"), http.MethodGet, "/a/", nil).status)
	s.confirmBy(time.Hour)
	machine.Suspend(6 * time.Second)
	require.Equal(t, http.StatusServiceUnavailable, s.askWith(keyed("first"), http.MethodGet, "/a/", nil).status)
}

// limited is withTenants with a limit for the first one.
func limited(version uint64) *routing.Document {
	document := withTenants(version)
	document.Tenants[0].Rate, document.Tenants[0].Burst = 0.001, 2
	return document
}

// TestAMeteredTenantGetsWhatTheDirectoryGrants has a tenant with few tokens send more: the
// rest is refused with a time to come back, and another tenant is not touched.
func TestAMeteredTenantGetsWhatTheDirectoryGrants(t *testing.T) {
	var ran atomic.Int64
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": func(writer http.ResponseWriter, request *http.Request) {
		ran.Add(1)
		tellWho(writer, request)
	}})
	s.directory.mutex.Lock()
	s.directory.ledger = quota.NewLedger(quota.Tolerance{})
	s.directory.ledger.SetLimits(time.Now().Add(-time.Hour), quota.LimitsOf(limited(1).Tenants))
	s.directory.metered = []string{"one"}
	s.directory.mutex.Unlock()
	s.install(limited(1))
	require.Eventually(t, func() bool { return strings.Contains(logOf(s), "metered_tenants_changed") }, 10*time.Second, time.Millisecond)
	statuses := map[int]int{}
	for range 6 {
		got := s.askWith(keyed("first"), http.MethodGet, "/a/", nil)
		statuses[got.status]++
		if got.status == http.StatusTooManyRequests {
			require.Equal(t, "over_quota\n", got.body)
			require.NotEmpty(t, got.header.Get("Retry-After"))
		}
	}
	require.Equal(t, map[int]int{http.StatusOK: 2, http.StatusTooManyRequests: 4}, statuses)
	require.Equal(t, int64(2), ran.Load())
	require.Equal(t, http.StatusOK, s.askWith(keyed("third"), http.MethodGet, "/a/", nil).status)
}

func logOf(s *site) string {
	var text strings.Builder
	for _, entry := range s.logged.AllEntries() {
		text.WriteString(entry.Message + "\n")
	}
	return text.String()
}

// TestAnUnconfirmedRouterCallsNoRouteUnknown has a router start at a node that knows an old
// document for certain by nobody's word: it tells no client that a route does not exist.
func TestAnUnconfirmedRouterCallsNoRouteUnknown(t *testing.T) {
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": echo})
	s.confirmBy(24 * time.Hour)
	s.install(oneRoute(1, "s"))
	got := s.ask(http.MethodGet, "/other/", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, s.ask(http.MethodGet, "/a/", nil).status)
	s.confirmBy(0)
	require.Eventually(t, func() bool { return s.ask(http.MethodGet, "/other/", nil).status == http.StatusNotFound }, 10*time.Second, time.Millisecond)
}

// TestLimitsAreWholeAgainAfterTheDirectoryIsLost has a router lose its directory for a moment,
// with no request on its way then: its tenants do not stay at its own small share.
func TestLimitsAreWholeAgainAfterTheDirectoryIsLost(t *testing.T) {
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": tellWho})
	document := withTenants(1)
	document.Tenants[0].Rate, document.Tenants[0].Burst = 1, 500
	s.directory.mutex.Lock()
	s.directory.ledger = quota.NewLedger(quota.Tolerance{})
	s.directory.ledger.SetLimits(time.Now().Add(-time.Hour), quota.LimitsOf(document.Tenants))
	s.directory.reply.RouterCount = 100_000 // So that its share of the limit is no token.
	s.directory.mutex.Unlock()
	s.install(document)
	set := func(down bool) {
		s.directory.mutex.Lock()
		defer s.directory.mutex.Unlock()
		s.directory.down = down
	}
	set(true)
	require.Eventually(t, func() bool { return strings.Contains(logOf(s), "directory_lost") }, 10*time.Second, time.Millisecond)
	set(false)
	require.Eventually(t, func() bool { return strings.Contains(logOf(s), "directory_regained") }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		for range 20 {
			if s.askWith(keyed("first"), http.MethodGet, "/a/", nil).status != http.StatusOK {
				return false
			}
		}
		return true
	}, 10*time.Second, time.Millisecond)
}
