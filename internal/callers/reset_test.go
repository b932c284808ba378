package callers

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/testlink"
)

// executionsByRequest stops the back ends and counts the executions of each
// request id.
func (s *testRouter) executionsByRequest() map[string]int {
	s.closeFleet()
	counts := map[string]int{}
	for _, execution := range s.record.Executions() {
		if execution.Executed {
			counts[execution.Request]++
		}
	}
	return counts
}

// Resets the connection between router and back end at every byte of the query
// and of the reply of an at-most-once request. The caller resends the request
// each time; the back ends' record must not show two executions.
func TestBackEndResetsNeverRunARequestTwice(t *testing.T) {
	const bytes = 400 // a little more than the query, and than the reply's head
	s := newTestRouter(t, time.Millisecond, StopConfig{Limit: time.Minute})
	verdicts := map[string]string{}
	for _, kind := range []emulator.FaultKind{emulator.FaultResetRequest, emulator.FaultResetReply} {
		for position := range bytes {
			fault, err := s.fleet.Inject(emulator.Fault{Kind: kind, Byte: position})
			require.NoError(t, err)
			id := fmt.Sprint(kind, "-", position)
			_, first := s.post("/v1/routes/send/query?key=k", id, `{"to":"host"}`)
			require.NoError(t, s.fleet.Clear(fault))
			status, again := s.post("/v1/routes/send/query?key=k", id, `{"to":"host"}`)
			verdicts[id] = first["verdict"].(string)
			if verdicts[id] != "not_run" {
				require.Equal(t, http.StatusConflict, status, "%s: %v after %v", id, again, first)
			}
		}
	}
	executions := s.executionsByRequest()
	for id, first := range verdicts {
		require.LessOrEqual(t, executions[id], 1, id)
		if first == "ran" {
			require.Equal(t, 1, executions[id], id)
		}
	}
	// The resets must have reached the query, not caused an early refusal.
	uncertain := lo.CountBy(lo.Values(verdicts), func(first string) bool { return first == "may_have_run" })
	t.Logf("%d of %d requests may have run", uncertain, len(verdicts))
	require.Greater(t, uncertain, bytes)
	require.Zero(t, executions["reset_request-1"], "the query was cut before it ran")
}

// Resets the caller's connection after every byte of its request. The request
// must run only if the router received all of it, and then only once, even if
// the caller resends it.
func TestCallerResetsNeverRunARequestTwice(t *testing.T) {
	s := newTestRouter(t, time.Millisecond, StopConfig{Limit: time.Minute})
	const body = `{"to":"host"}`
	textOf := func(id string) string {
		return "POST /v1/routes/send/query?key=k HTTP/1.1\r\nHost: " + s.address + "\r\n" + HeaderRequest + ": " + id +
			"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	idOf := func(cut int) string { return fmt.Sprintf("cut-%03d", cut) }
	length := len(textOf(idOf(0)))
	for cut := range length + 1 {
		socket, err := net.Dial("tcp4", s.address)
		require.NoError(t, err)
		_, err = io.WriteString(socket, textOf(idOf(cut))[:cut])
		require.NoError(t, err)
		require.NoError(t, socket.(*net.TCPConn).SetLinger(0))
		require.NoError(t, socket.Close())
	}
	status, again := s.post("/v1/routes/send/query?key=k", idOf(length), body)
	require.True(t, status == http.StatusOK || again["reason"] == "claim_held", "%v", again)
	executions := s.executionsByRequest()
	for cut := range length {
		require.Zero(t, executions[idOf(cut)], "cut after %d of %d bytes", cut, length)
	}
	require.LessOrEqual(t, executions[idOf(length)], 1)
}

// Resets the connection after every byte of the router's reply. The caller can't
// know the outcome and resends the request. The reply must state that it ran,
// and the back ends' record must show one execution.
func TestTruncatedRepliesNeverRunARequestTwice(t *testing.T) {
	s := newTestRouter(t, time.Millisecond, StopConfig{Limit: time.Minute})
	link := testlink.New(t, s.address)
	const body = `{"to":"host"}`
	sendQuery := func(id string) string {
		socket, err := net.Dial("tcp4", link.Address().String())
		require.NoError(t, err)
		defer socket.Close()
		_, err = io.WriteString(socket, "POST /v1/routes/send/query?key=k HTTP/1.1\r\nHost: "+s.address+"\r\n"+HeaderRequest+": "+id+
			"\r\nConnection: close\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		require.NoError(t, err)
		reply, _ := io.ReadAll(socket) // the error is the expected reset
		return string(reply)
	}
	complete := sendQuery("whole")
	require.Contains(t, complete, "200 OK")
	ids := []string{"whole"}
	for cut := range len(complete) {
		id := fmt.Sprintf("cut-%04d", cut)
		ids = append(ids, id)
		link.LimitReplies(int64(cut))
		require.LessOrEqual(t, len(sendQuery(id)), cut)
	}
	for _, id := range ids {
		status, again := s.post("/v1/routes/send/query?key=k", id, body)
		require.Equal(t, http.StatusConflict, status, "%s: %v", id, again)
		require.Equal(t, "claim_held", again["reason"], id)
		require.Equal(t, "ran", again["verdict"], id)
	}
	executions := s.executionsByRequest()
	for _, id := range ids {
		require.Equal(t, 1, executions[id], id)
	}
}
