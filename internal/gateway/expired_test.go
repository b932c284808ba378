package gateway_test

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/message"
)

// TestRequestWithoutTimeLeftIsRefusedAsNotRun guards against servers and routers that are asked
// for a request whose client waits no longer, and against its client being told that it may
// have run. A client that returns late has only a few milliseconds left.
func TestRequestWithoutTimeLeftIsRefusedAsNotRun(t *testing.T) {
	var asked atomic.Int64
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": countRequests(&asked, echo)})
	for _, left := range []string{"-1s", "0s", "1ms", "10ms"} {
		got := s.sendWith(http.Header{"X-Left": {left}}, http.MethodGet, "/a/", nil)
		require.Equal(t, http.StatusServiceUnavailable, got.status, left)
		require.Equal(t, "deadline_passed\n", got.body)
		require.Empty(t, got.header.Get("Retry-After"))
	}
	require.Zero(t, asked.Load())
	require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/", nil).status)
}

// TestSliceWithoutTimeLeftAsksNobody guards against slices that are requested from other routers
// for a request without time left, and against servers that are asked for such a slice.
func TestSliceWithoutTimeLeftAsksNobody(t *testing.T) {
	var slices atomic.Int64
	other := serve(t, countRequests(&slices, func(writer http.ResponseWriter, request *http.Request) {
		var slice struct{ Shards []string }
		_ = json.NewDecoder(request.Body).Decode(&slice)
		_, _ = writer.Write(fakeFrame(slice.Shards))
	}))
	s := gatherAcross(t, other)
	require.Equal(t, http.StatusServiceUnavailable, s.sendWith(http.Header{"X-Left": {"5ms"}}, http.MethodGet, "/a/", nil).status)
	require.Zero(t, slices.Load())
}

// TestBodyThatArrivesPastTheDeadlineIsNotRun guards against a request that is sent to a server
// although its time was over when its body was complete.
func TestBodyThatArrivesPastTheDeadlineIsNotRun(t *testing.T) {
	var asked atomic.Int64
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": countRequests(&asked, echo)})
	got := s.sendWith(http.Header{"X-Left": {"60ms"}}, http.MethodPost, "/a/", &slowBody{rest: strings.NewReader("body"), delay: 100 * time.Millisecond})
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "deadline_passed\n", got.body)
	require.Zero(t, asked.Load())
}

// slowBody is a body whose first byte comes after a delay.
type slowBody struct {
	rest  *strings.Reader
	delay time.Duration
}

func (b *slowBody) Read(buffer []byte) (int, error) {
	time.Sleep(b.delay)
	b.delay = 0
	return b.rest.Read(buffer)
}

// TestSliceOfAnotherRouterWithoutTimeLeftReachesNoServer guards against servers that are asked
// for a slice whose time on the wire is zero or less. The slice ends with one frame, so that the
// router that requested it doesn't take this one for failed.
func TestSliceOfAnotherRouterWithoutTimeLeftReachesNoServer(t *testing.T) {
	var asked atomic.Int64
	document := oneRoute(1, "s")
	document.Routes[0].Targets, document.Routes[0].Shards = nil, []string{"s", "t"}
	s := startSite(t, document, map[string]http.HandlerFunc{"s": countRequests(&asked, echo), "t": countRequests(&asked, echo)})
	peers := serve(t, s.router.PeerHandler())
	for _, left := range []time.Duration{0, -time.Second} {
		body, err := json.Marshal(map[string]any{
			"request": message.Request{Method: http.MethodGet, Target: "/a/", Host: "site", ID: "r-1"},
			"shards":  []string{"s", "t"}, "route": "r", "max_attempts": 2, "least_share": 0.5, "deadline_left": left, "cut_left": left,
		})
		require.NoError(t, err)
		response, err := http.Post("http://"+peers+"/router/slice", "application/json", bytes.NewReader(body))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		frame, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, len(frame)-4, int(binary.BigEndian.Uint32(frame)), "one frame")
	}
	require.Zero(t, asked.Load())
}
