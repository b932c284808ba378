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

// withTenants returns a document with two tenants, a route that needs a key and one that does
// not.
func withTenants(version uint64) *routing.Document {
	document := oneRoute(version, "s")
	public := document.Routes[0]
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	document.Routes = append(document.Routes, public)
	document.Tenants = []routing.Tenant{{Name: "one", Keys: []string{"first", "second"}}, {Name: "two", Keys: []string{"third"}}}
	return document
}

// echoTenant answers with the tenant header that the server received, and the key if it got
// one.
func echoTenant(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("X-Id", request.Header.Get("X-Id"))
	writer.Header().Set("X-Stamp", "stamp")
	_, _ = fmt.Fprintf(writer, "%q %q", request.Header["X-Who"], request.Header["X-Key"])
}

func keyHeaders(keys ...string) http.Header { return http.Header{"X-Key": keys, "X-Who": {"forged"}} }

// TestServersReceiveTheTenantAndNoKey sends requests with each kind of key, all with a forged
// tenant header.
func TestServersReceiveTheTenantAndNoKey(t *testing.T) {
	s := startSite(t, withTenants(1), map[string]http.HandlerFunc{"s": echoTenant})
	for _, sample := range []struct {
		path    string
		headers http.Header
		status  int
		body    string
	}{
		{"/a/", keyHeaders("first"), http.StatusOK, `["one"] []`},
		{"/a/", keyHeaders("second"), http.StatusOK, `["one"] []`},
		{"/a/", keyHeaders("third"), http.StatusOK, `["two"] []`},
		{"/a/", keyHeaders("unknown"), http.StatusUnauthorized, "unknown_key\n"},
		{"/a/", keyHeaders("first", "third"), http.StatusUnauthorized, "unknown_key\n"},
		{"/a/", keyHeaders(), http.StatusUnauthorized, "unknown_key\n"},
		{"/public/", keyHeaders("third"), http.StatusOK, `["two"] []`},
		{"/public/", keyHeaders("unknown"), http.StatusOK, `[""] []`},
		{"/public/", keyHeaders(), http.StatusOK, `[""] []`},
		{"/none/", keyHeaders("first"), http.StatusNotFound, "unknown_route\n"},
	} {
		got := s.sendWith(sample.headers, http.MethodGet, sample.path, nil)
		require.Equal(t, sample.status, got.status, sample.headers)
		require.Equal(t, sample.body, got.body)
	}
	for _, entry := range s.logged.AllEntries() {
		text, err := entry.String()
		require.NoError(t, err)
		for _, key := range []string{"first", "second", "third"} {
			require.NotContains(t, text, `=`+key, "the log contains a key")
		}
	}
}

func TestWithoutTenantsKeyHeadersPassUnchanged(t *testing.T) {
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": echoTenant})
	require.Equal(t, `["forged"] ["first"]`, s.sendWith(keyHeaders("first"), http.MethodGet, "/a/", nil).body)
}

// TestSliceRequestCarriesTheTenantAndNoKey gathers through another router, which must receive
// the tenant.
func TestSliceRequestCarriesTheTenantAndNoKey(t *testing.T) {
	received := make(chan string, 8)
	other := serve(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		received <- string(body)
		_, _ = writer.Write(fakeFrame([]string{"t"}))
	}))
	s := gatherAcross(t, other)
	document := oneRoute(10, "s")
	document.Routes[0].Targets, document.Routes[0].Shards = nil, []string{"s", "t"}
	document.Routes[0].TopRecords, document.Routes[0].LeastShare = 10, 1
	document.Tenants = withTenants(1).Tenants
	s.install(document)
	require.Equal(t, http.StatusOK, s.sendWith(keyHeaders("third"), http.MethodGet, "/a/", nil).status)
	body := <-received
	require.Contains(t, body, `"X-Who":["two"]`)
	require.NotContains(t, body, "third")
	require.NotContains(t, body, "forged")
}

func TestRevokedKeyIsRefused(t *testing.T) {
	s := startSite(t, withTenants(1), map[string]http.HandlerFunc{"s": echoTenant})
	require.Equal(t, http.StatusOK, s.sendWith(keyHeaders("second"), http.MethodGet, "/a/", nil).status)
	document := withTenants(2)
	document.Tenants[0].Keys = []string{"first"}
	s.install(document)
	require.Equal(t, http.StatusUnauthorized, s.sendWith(keyHeaders("second"), http.MethodGet, "/a/", nil).status)
	require.Equal(t, http.StatusOK, s.sendWith(keyHeaders("first"), http.MethodGet, "/a/", nil).status)
}

// TestKeyRevokedDuringTheBodyIsRefused guards against serving a request with a revoked key
// because its client is slow to send the body.
func TestKeyRevokedDuringTheBodyIsRefused(t *testing.T) {
	s := startSite(t, withTenants(1), map[string]http.HandlerFunc{"s": echoTenant})
	headers := keyHeaders("second")
	headers.Set("Expect", "100-continue") // The body is sent once the router reads it.
	for index, sample := range []struct {
		kept   string
		status int
	}{{"second", http.StatusOK}, {"first", http.StatusUnauthorized}} {
		body, rest := io.Pipe()
		answers := make(chan answer, 1)
		go func() { answers <- s.sendWith(headers, http.MethodPost, "/a/", body) }()
		_, err := io.WriteString(rest, "begun")
		require.NoError(t, err)
		document := withTenants(uint64(2 + index))
		document.Tenants[0].Keys = []string{sample.kept}
		s.install(document)
		require.NoError(t, rest.Close())
		require.Equal(t, sample.status, (<-answers).status, "the tenant keeps %s", sample.kept)
	}
}

// setDocumentAge makes the stub report that its document was the newest the given time before
// each call.
func (s *site) setDocumentAge(age time.Duration) {
	s.directory.mutex.Lock()
	defer s.directory.mutex.Unlock()
	fresh := -age
	s.directory.reply.Fresh = &fresh
}

// TestKeysExpireWithoutConfirmation has no node confirm the document: requests that need a key
// are refused, nothing is reported as unknown, and requests that need no key are served.
func TestKeysExpireWithoutConfirmation(t *testing.T) {
	const within = 5 * time.Second
	s := startSiteWithin(t, within, nil, map[string]http.HandlerFunc{"s": echoTenant})
	s.setDocumentAge(within)
	s.install(withTenants(1))
	require.False(t, s.router.Ready())
	for path, want := range map[string]int{"/a/": http.StatusServiceUnavailable, "/none/": http.StatusServiceUnavailable, "/public/": http.StatusOK} {
		headers := keyHeaders("first")
		if want == http.StatusOK {
			headers = nil
		}
		got := s.sendWith(headers, http.MethodGet, path, nil)
		require.Equal(t, want, got.status, path)
	}
	require.Equal(t, "no_lease\n", s.sendWith(keyHeaders("unknown"), http.MethodGet, "/a/", nil).body)
	s.setDocumentAge(0)
	require.Eventually(t, s.router.Ready, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, s.sendWith(keyHeaders("first"), http.MethodGet, "/a/", nil).status)
	require.Equal(t, http.StatusUnauthorized, s.sendWith(keyHeaders("unknown"), http.MethodGet, "/a/", nil).status)
	require.Equal(t, http.StatusNotFound, s.sendWith(keyHeaders("first"), http.MethodGet, "/none/", nil).status)
}

// TestKeysExpireWhileTheMachineIsSuspended suspends a router's machine, while its directory
// sends no confirmations, for longer than keys may be used without one: the first request
// afterwards is refused.
func TestKeysExpireWhileTheMachineIsSuspended(t *testing.T) {
	machine := suspension.NewMachine(t)
	s := startSiteWithin(t, 5*time.Second, nil, map[string]http.HandlerFunc{"s": echoTenant})
	s.setDocumentAge(0)
	s.install(withTenants(1))
	require.Eventually(t, s.router.Ready, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, s.sendWith(keyHeaders("first"), http.MethodGet, "/a/", nil).status)
	s.setDocumentAge(time.Hour)
	machine.Suspend(6 * time.Second)
	require.Equal(t, http.StatusServiceUnavailable, s.sendWith(keyHeaders("first"), http.MethodGet, "/a/", nil).status)
}

// limited is withTenants with a rate limit for the first tenant.
func limited(version uint64) *routing.Document {
	document := withTenants(version)
	document.Tenants[0].Rate, document.Tenants[0].Burst = 0.001, 2
	return document
}

// TestMeteredTenantGetsTheGrantedTokens has a tenant send more requests than it has tokens:
// the rest is refused with Retry-After, and another tenant is not affected.
func TestMeteredTenantGetsTheGrantedTokens(t *testing.T) {
	var ran atomic.Int64
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": func(writer http.ResponseWriter, request *http.Request) {
		ran.Add(1)
		echoTenant(writer, request)
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
		got := s.sendWith(keyHeaders("first"), http.MethodGet, "/a/", nil)
		statuses[got.status]++
		if got.status == http.StatusTooManyRequests {
			require.Equal(t, "over_quota\n", got.body)
			require.NotEmpty(t, got.header.Get("Retry-After"))
		}
	}
	require.Equal(t, map[int]int{http.StatusOK: 2, http.StatusTooManyRequests: 4}, statuses)
	require.Equal(t, int64(2), ran.Load())
	require.Equal(t, http.StatusOK, s.sendWith(keyHeaders("third"), http.MethodGet, "/a/", nil).status)
}

func logOf(s *site) string {
	var text strings.Builder
	for _, entry := range s.logged.AllEntries() {
		text.WriteString(entry.Message + "\n")
	}
	return text.String()
}

// TestUnconfirmedRouterReportsNoRouteAsUnknown has a router start with a node whose old
// document nobody confirms: it must not report to clients that a route does not exist.
func TestUnconfirmedRouterReportsNoRouteAsUnknown(t *testing.T) {
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": echo})
	s.setDocumentAge(24 * time.Hour)
	s.install(oneRoute(1, "s"))
	got := s.send(http.MethodGet, "/other/", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/", nil).status)
	s.setDocumentAge(0)
	require.Eventually(t, func() bool { return s.send(http.MethodGet, "/other/", nil).status == http.StatusNotFound }, 10*time.Second, time.Millisecond)
}

// TestTenantLimitsRecoverAfterTheDirectoryIsLost has a router lose its directory briefly, with
// no request in flight: its tenants must not stay limited to its own small share.
func TestTenantLimitsRecoverAfterTheDirectoryIsLost(t *testing.T) {
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": echoTenant})
	document := withTenants(1)
	document.Tenants[0].Rate, document.Tenants[0].Burst = 1, 500
	s.directory.mutex.Lock()
	s.directory.ledger = quota.NewLedger(quota.Tolerance{})
	s.directory.ledger.SetLimits(time.Now().Add(-time.Hour), quota.LimitsOf(document.Tenants))
	s.directory.reply.RouterCount = 100_000 // Makes the router's share of the limit less than one token.
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
			if s.sendWith(keyHeaders("first"), http.MethodGet, "/a/", nil).status != http.StatusOK {
				return false
			}
		}
		return true
	}, 10*time.Second, time.Millisecond)
}
