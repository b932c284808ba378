package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/routing"
)

// limitedSite starts a site whose document has the given limits.
func limitedSite(t *testing.T, limits routing.Limits) *site {
	document := oneRoute(1, "s")
	document.Limits = limits
	return startSite(t, document, map[string]http.HandlerFunc{"s": echo})
}

func TestHeaderBeyondTheLimitIsRefused(t *testing.T) {
	s := limitedSite(t, routing.Limits{HeaderBytes: 2000})
	require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/", nil).status)
	long := "/a/?" + strings.Repeat("x", 2000)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, s.send(http.MethodGet, long, nil).status)
}

// requireClosed sends bytes and waits until the router closes the connection.
func requireClosed(t *testing.T, s *site, sent string) {
	t.Helper()
	conn, err := net.Dial("tcp4", s.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, sent)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err = io.ReadAll(conn)
	require.NoError(t, err, "the connection stays open")
}

const wholeRequest = "GET /a/ HTTP/1.1\r\nHost: site\r\nX-Id: r-1\r\nX-Left: 3s\r\n\r\n"

func TestConnectionsBeyondTheTimeLimitsAreClosed(t *testing.T) {
	idle := limitedSite(t, routing.Limits{IdleTime: 100 * time.Millisecond})
	requireClosed(t, idle, "")
	requireClosed(t, idle, wholeRequest)
	header := limitedSite(t, routing.Limits{HeaderTime: 100 * time.Millisecond})
	requireClosed(t, header, "GET /a/ HTTP/1.1\r\nHost: si")
}

// TestRequestMayTakeLongerThanTheConnectionLimits has a server answer only after both limits
// have passed.
func TestRequestMayTakeLongerThanTheConnectionLimits(t *testing.T) {
	document := oneRoute(1, "s")
	document.Limits = routing.Limits{HeaderTime: 50 * time.Millisecond, IdleTime: 50 * time.Millisecond}
	s := startSite(t, document, map[string]http.HandlerFunc{"s": func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(1200 * time.Millisecond)
		echo(writer, request)
	}})
	conn, err := net.Dial("tcp4", s.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, wholeRequest)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NoError(t, response.Body.Close())
}

// TestBodyThatStopsShortIsRefusedAtItsDeadline guards against bodies that stay open without end.
func TestBodyThatStopsShortIsRefusedAtItsDeadline(t *testing.T) {
	s := limitedSite(t, routing.Limits{BodyBytes: 1000})
	short := dialSite(t, s)
	_, err := io.WriteString(short, "POST /a/ HTTP/1.1\r\nHost: site\r\nX-Id: r-1\r\nX-Left: 200ms\r\nContent-Length: 10\r\n\r\nbody")
	require.NoError(t, err)
	response := short.receive()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
}
