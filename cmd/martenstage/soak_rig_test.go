package main

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSoakServerEndsWorkAtTheDeadline fills all slots of a mute server by clients whose
// connections never close, as behind a cut link: the server is free again once the times
// that it was handed are over.
func TestSoakServerEndsWorkAtTheDeadline(t *testing.T) {
	site := &soakSite{t: t, servers: map[string][]*soakServer{}}
	server := site.startServer("a", 1)
	t.Cleanup(server.stop)
	server.behave(soakMute)
	ended := make(chan error, soakSlots)
	for number := range soakSlots {
		go func() {
			response, err := http.DefaultClient.Do(heldRequest(t, server, "held-"+strconv.Itoa(number), 200*time.Millisecond))
			if err == nil {
				err = response.Body.Close()
			}
			ended <- err
		}()
	}
	require.Eventually(t, func() bool { return len(server.slots) == soakSlots }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return len(server.slots) == 0 }, 10*time.Second, time.Millisecond, "the slots stay taken")
	for range soakSlots {
		<-ended
	}
}

func heldRequest(t *testing.T, server *soakServer, id string, left time.Duration) *http.Request {
	request, err := http.NewRequest(http.MethodGet, "http://"+server.link.Address().String()+"/", nil)
	require.NoError(t, err)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Expect-Instance", server.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	return request
}
