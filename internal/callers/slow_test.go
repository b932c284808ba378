package callers

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller that never sends the rest of the body is refused at its own deadline.
func TestBodyThatStallsIsRefusedAtTheDeadline(t *testing.T) {
	s := newTestRouter(t, time.Millisecond, StopConfig{Limit: time.Minute})
	caller, err := net.Dial("tcp4", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	_, err = fmt.Fprint(caller, "POST /v1/routes/find/query?deadline_ms=50 HTTP/1.1\r\n"+
		"Host: router\r\nMartenstage-Request: stalled\r\nContent-Length: 10\r\n\r\n{")
	require.NoError(t, err)
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(time.Minute)))
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	problem := Problem{}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&problem))
	require.NoError(t, response.Body.Close())
	require.Equal(t, "not_run", problem.Verdict)
	require.EqualValues(t, "deadline_passed", problem.Reason)
	require.True(t, response.Close)
	require.Zero(t, s.executions("stalled"))
}

// A planned stop must not wait up to its limit for a stalled caller.
func TestPlannedStopDoesNotWaitForStalledCaller(t *testing.T) {
	s := newTestRouter(t, time.Millisecond, StopConfig{Limit: time.Minute})
	caller, err := net.Dial("tcp4", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	_, err = fmt.Fprint(caller, "POST /v1/routes/find/query?deadline_ms=300 HTTP/1.1\r\nHost: router\r\nContent-Length: 10\r\n\r\n{")
	require.NoError(t, err)
	s.stop()
	require.NoError(t, <-s.stopResult)
}
