package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// order gives an operator's order to whichever node takes it.
func (s *registeredSite) order(path string) {
	require.Eventually(s.t, func() bool {
		for _, node := range s.control {
			response, err := http.Post("http://"+node+path, "", nil)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					return true
				}
			}
		}
		return false
	}, 20*time.Second, 20*time.Millisecond)
}

// TestEvacuatedZoneGetsNothingUntilItsEnd has an operator evacuate the zone of one of two
// servers of a service, over all processes of a site.
func TestEvacuatedZoneGetsNothingUntilItsEnd(t *testing.T) {
	site := newRegisteredSite(t)
	site.serve("i-a3", "a", "z1")
	served := func(id string) int64 { return site.servers[id].served.Load() }
	asked := func() {
		for gateway := range site.gateways {
			require.Equal(t, http.StatusOK, site.ask(gateway, "/look/x", "look").status)
			require.Equal(t, http.StatusOK, site.ask(gateway, "/sweep/x", "sweep").status)
		}
	}
	require.Eventually(t, func() bool { asked(); return served("i-a3") > 0 }, 20*time.Second, 20*time.Millisecond)
	site.order("/-/evacuations/z0/start")
	require.Eventually(t, func() bool {
		before := served("i-a1")
		for range 5 {
			asked()
		}
		return served("i-a1") == before
	}, 20*time.Second, 20*time.Millisecond)
	site.order("/-/evacuations/z0/end")
	require.Eventually(t, func() bool {
		before := served("i-a1")
		asked()
		return served("i-a1") > before
	}, 20*time.Second, 20*time.Millisecond)
}
