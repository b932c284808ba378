package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/query"
)

// echoServer is a fake back end that answers every query immediately and counts
// accepted connections.
type echoServer struct {
	address  netip.AddrPort
	accepted atomic.Int64
}

func newEchoServer(t testing.TB, part string) *echoServer {
	t.Helper()
	echo := &echoServer{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		serveEcho(writer, request, part)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			echo.accepted.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	echo.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	return echo
}

func serveEcho(writer http.ResponseWriter, request *http.Request, part string) {
	if request.URL.Path != backendapi.PathQuery {
		_, _ = io.WriteString(writer, `{"state":"ready"}`)
		return
	}
	body, _ := io.ReadAll(request.Body)
	header := writer.Header()
	for _, name := range []string{backendapi.HeaderRequest, backendapi.HeaderAttempt, backendapi.HeaderShard,
		backendapi.HeaderGeneration, backendapi.HeaderVersion} {
		header[name] = request.Header[name]
	}
	header.Set(backendapi.HeaderRequestDigest, backendapi.Digest(body))
	header.Set(backendapi.HeaderDigest, backendapi.Digest([]byte(part)))
	header.Set(backendapi.HeaderLoad, "1/5/0")
	header.Set("Content-Length", strconv.Itoa(len(part)))
	_, _ = io.WriteString(writer, part)
}

// countedSocket decrements the count of open sockets when it is closed.
type countedSocket struct {
	net.Conn
	open   *atomic.Int64
	closed sync.Once
}

func (c *countedSocket) Close() error {
	c.closed.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

func TestOpenConnectionsStayWithinTheShare(t *testing.T) {
	server := newEchoServer(t, `{"items":[]}`)
	sender := newSender(t, Config{DefaultConnections: 5})
	var open, most atomic.Int64
	target := sender.serverAt(server.address)
	target.queries.dial = func(ctx context.Context) (*clientConnection, error) {
		raw, err := net.Dial("tcp4", target.host)
		if err != nil {
			return nil, err
		}
		if now := open.Add(1); now > most.Load() {
			most.Store(now)
		}
		return sender.newClientConnection(ctx, &countedSocket{Conn: raw, open: &open}, server.address)
	}
	sender.Warm(t.Context(), server.address, 100)
	require.EqualValues(t, 4, open.Load(), "one of the share is kept for probes")
	var waiting sync.WaitGroup
	for number := range 200 {
		waiting.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if number%5 == 0 {
				go cancel()
			}
			sender.Send(ctx, attemptTo(server.address, number))
			if number%40 == 0 {
				sender.Resize(server.address, 2+number%3)
			}
		})
	}
	waiting.Wait()
	require.EqualValues(t, 4, most.Load())
	sender.Resize(server.address, 2)
	require.LessOrEqual(t, open.Load(), int64(1))
}

func TestWithoutAShareNothingIsSent(t *testing.T) {
	server := newEchoServer(t, `{"items":[]}`)
	sender := newSender(t, Config{})
	sender.Resize(server.address, 0)
	require.IsType(t, query.AttemptFailed{}, sender.Send(t.Context(), attemptTo(server.address, 1)))
	_, probed := sender.Probe(t.Context(), server.address)
	require.False(t, probed)
	require.Zero(t, server.accepted.Load())
	sender.Resize(server.address, 1)
	require.IsType(t, query.PartArrived{}, sender.Send(t.Context(), attemptTo(server.address, 2)))
	health, probed := sender.Probe(t.Context(), server.address)
	require.True(t, probed)
	require.True(t, health.Reachable)
	require.EqualValues(t, 1, server.accepted.Load())
}

func TestWarmReplacesConnectionsThatTheServerClosed(t *testing.T) {
	server := newRawServer(t, func(_ *rawServer, socket *net.TCPConn) { reset(socket) })
	sender := newSender(t, Config{DefaultConnections: 4})
	sender.Warm(t.Context(), server.address, 3)
	require.Eventually(t, func() bool {
		sender.serverAt(server.address).queries.pruneIdle()
		open, _ := sender.Connections(server.address)
		return open == 0
	}, 5*time.Second, time.Millisecond)
}
