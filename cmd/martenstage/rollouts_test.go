package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rolloutLoad asks all routers of a site for a service until the context ends, and counts the
// answers that are no success.
func (s *registeredSite) rolloutLoad(ctx context.Context) (failed *atomic.Int64, ended chan struct{}) {
	failed, ended = &atomic.Int64{}, make(chan struct{})
	go func() {
		defer close(ended)
		for number := 0; ctx.Err() == nil; number++ {
			got := s.ask(number%len(s.gateways), "/look/x", fmt.Sprint("load-", number))
			if got.status != http.StatusOK {
				failed.Add(1)
				s.t.Logf("request load-%d: %d %s", number, got.status, got.body)
			}
		}
	}()
	return failed, ended
}

// startRollout orders one until a node takes it, and returns how it ended.
func (s *registeredSite) rollOut(service, version string, seconds float64) string {
	order := fmt.Sprintf(`{"backend":%q,"target_version":%q,"duration_s":%g}`, service, version, seconds)
	require.Eventually(s.t, func() bool { return s.postStatus("/-/rollouts/start", order) == http.StatusOK }, 20*time.Second, 20*time.Millisecond)
	require.Equal(s.t, http.StatusConflict, s.postStatus("/-/rollouts/start", strings.Replace(order, version, "v9", 1)))
	state := ""
	require.Eventually(s.t, func() bool {
		for _, node := range s.control {
			response, err := http.Get("http://" + node + "/-/rollouts/" + service + "/get")
			if err != nil {
				continue
			}
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			for _, ended := range []string{"done", "rolled_back"} {
				if strings.Contains(string(body), ended) && strings.Contains(string(body), version) {
					state = ended
				}
			}
		}
		return state != ""
	}, time.Duration(seconds+5)*time.Second, 20*time.Millisecond)
	return state
}

// postStatus posts to the first node that answers other than with 503.
func (s *registeredSite) postStatus(path, body string) int {
	for _, node := range s.control {
		response, err := http.Post("http://"+node+path, "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable {
			return response.StatusCode
		}
	}
	return http.StatusServiceUnavailable
}

// TestRolloutsOverAllProcesses rolls a service out to a version that fails and then to a good
// one, under load: the first is taken back, the second replaces the old server, and clients
// notice neither.
func TestRolloutsOverAllProcesses(t *testing.T) {
	site := newRegisteredSite(t)
	ctx, cancel := context.WithCancel(context.Background())
	failed, ended := site.rolloutLoad(ctx)
	site.version = "v2"
	site.serve("i-a2", "a", "z0")
	site.servers["i-a2"].script(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusInternalServerError)
	})
	require.Equal(t, "rolled_back", site.rollOut("a", "v2", 6))
	time.Sleep(time.Second) // Routers hear of it a moment after the leader's word.
	after := site.servers["i-a2"].served.Load()
	site.version = "v3"
	site.serve("i-a3", "a", "z1")
	require.Equal(t, "done", site.rollOut("a", "v3", 6))
	site.servers["i-a1"].stop()
	before := site.servers["i-a3"].served.Load()
	require.Eventually(t, func() bool { return site.servers["i-a3"].served.Load() > before+20 }, 10*time.Second, 10*time.Millisecond)
	cancel()
	<-ended
	require.LessOrEqual(t, site.servers["i-a2"].served.Load(), after, "a version that was taken back gets nothing")
	// A bad answer reaches a client only where the budget of retries does not pay for another:
	// the version is taken back after five.
	require.LessOrEqual(t, failed.Load(), int64(5))
}
