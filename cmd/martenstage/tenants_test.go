package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tenantsDocument has two tenants, the first of which holds the keys given.
const tenantsDocument = `{"version":%d,"routes":[
 {"name":"sweep","host":"h","path_prefix":"/sweep/","type":"idempotent","timeout_ms":1000,"target_ms":200,"gather":["a","b"],"max_attempts":2,"limit":2,"min_ratio":0.5},
 {"name":"look","host":"h","path_prefix":"/look/","type":"idempotent","timeout_ms":600,"target_ms":200,"backend":"a","max_attempts":2}],
 "services":[{"name":"a","health_path":"/health","max_conns":20},{"name":"b","health_path":"/health","max_conns":20}],
 "tenants":[{"name":"one","api_keys":[%s],"rate_per_s":1,"burst":30},{"name":"two","api_keys":["k3"]}],"limits":{}}`

// askAs is ask with a key.
func (s *registeredSite) askAs(key string, gateway int, path, id string) clientAnswer {
	s.key = key
	defer func() { s.key = "" }()
	return s.ask(gateway, path, id)
}

// TestTenantsOverAllProcesses has tenants ask every router of a site: servers are told who
// asks, a key that is taken away is refused everywhere, and a limit holds over all routers.
//
// On a busy machine it failed by "tokens come in again". Routers heard late that the tenant is
// metered and let 40 to 145 of the 200 requests pass, since neither a count nor the answers to
// their own reports held them back; the ledger, its level printed, stood at -63, and that debt
// took 24 to 91 s to pay. A bucket that began with 3 of its 31 tokens stayed hidden behind it.
func TestTenantsOverAllProcesses(t *testing.T) {
	site := newRegisteredSite(t)
	told := make(chan [2]string, 1000)
	site.servers["i-a1"].script(func(writer http.ResponseWriter, request *http.Request) {
		told <- [2]string{request.Header.Get("X-Tenant"), request.Header.Get("Authorization")}
		_, _ = writer.Write([]byte(strings.Repeat("1", 16)))
	})
	site.putText(fmt.Sprintf(tenantsDocument, 2, `"k1","k2"`))
	for gateway := range site.gateways {
		require.Eventually(t, func() bool { return site.askAs("k9", gateway, "/look/x", "unknown").status == http.StatusUnauthorized }, 20*time.Second, 20*time.Millisecond)
	}
	for range len(told) {
		<-told // From before there were tenants.
	}
	for gateway := range site.gateways {
		require.Equal(t, http.StatusOK, site.askAs("k2", gateway, "/look/x", "t").status)
		require.Equal(t, http.StatusUnauthorized, site.ask(gateway, "/sweep/x", "none").status)
		require.Equal(t, http.StatusOK, site.askAs("k1", gateway, "/sweep/x", "t").status)
	}
	for range len(told) {
		require.Equal(t, [2]string{"one", ""}, <-told)
	}
	site.putText(fmt.Sprintf(tenantsDocument, 3, `"k1"`))
	for gateway := range site.gateways {
		require.Eventually(t, func() bool { return site.askAs("k2", gateway, "/look/x", "gone").status == http.StatusUnauthorized }, 5*time.Second, 10*time.Millisecond)
	}
	refused := 0
	for number := range 200 {
		if got := site.askAs("k1", number%len(site.gateways), "/look/x", fmt.Sprint("limit-", number)); got.status == http.StatusTooManyRequests {
			require.NotEmpty(t, got.header.Get("Retry-After"))
			refused++
		}
	}
	require.Positive(t, refused)
	require.Equal(t, http.StatusOK, site.askAs("k3", 0, "/look/x", "other").status, "another tenant is not touched")
	require.Eventually(t, func() bool { return site.askAs("k1", 0, "/look/x", "again").status == http.StatusOK }, 10*time.Second, 50*time.Millisecond, "tokens come in again")
	site.explained("none", "reason=unknown_key", "status=401")
}
