package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/gateway"
	"github.com/martenstage/martenstage/internal/routing"
)

// slowReadListener accepts connections whose reads return their bytes late, as in a process
// that waits for the processor.
type slowReadListener struct {
	net.Listener
	delay time.Duration
	// unanswered counts the connections that were closed after a whole request was read from
	// them and before it was answered.
	unanswered atomic.Int64
}

func (l *slowReadListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowReadConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

// slowReadConn is a connection that knows whether what was read from it has been answered.
type slowReadConn struct {
	*net.TCPConn
	listener *slowReadListener
	mutex    sync.Mutex
	read     []byte
	closed   bool
}

func (c *slowReadConn) Read(into []byte) (int, error) {
	count, err := c.TCPConn.Read(into)
	c.mutex.Lock()
	c.read = append(c.read, into[:count]...)
	c.mutex.Unlock()
	time.Sleep(c.listener.delay)
	return count, err
}

func (c *slowReadConn) Write(from []byte) (int, error) {
	count, err := c.TCPConn.Write(from)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.read = nil
	return count, err
}

func (c *slowReadConn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.closed && bytes.Contains(c.read, []byte("\r\n\r\n")) {
		c.listener.unanswered.Add(1)
	}
	c.closed = true
	return c.TCPConn.Close()
}

// sendUntilClosed sends one request after the other on a connection, with a pause between them,
// until that is closed.
func sendUntilClosed(t *testing.T, address, request string, pause time.Duration) {
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := io.WriteString(conn, request); err != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		if err != nil || response.Close {
			return
		}
		time.Sleep(pause)
	}
}

// TestPlannedStopClosesNoConnectionWithARequestRead guards against a connection that is taken
// for idle while its next request is read.
func TestPlannedStopClosesNoConnectionWithARequestRead(t *testing.T) {
	const clients = 60
	listener := &slowReadListener{Listener: listenLocal(t), delay: 20 * time.Millisecond}
	s := startSiteOn(t, listener, func(config *gateway.Config) { config.Grace = 2 * time.Second }, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": echo})
	var sending sync.WaitGroup
	for number := range clients {
		// Different pauses spread the clients over the stages of an exchange.
		pause := time.Duration(number) * time.Millisecond / 4
		sending.Go(func() { sendUntilClosed(t, s.address, wholeRequest, pause) })
	}
	s.stop()
	require.NoError(t, <-s.done)
	sending.Wait()
	require.Zero(t, listener.unanswered.Load(), "connections closed with a whole request read")
}

// TestPlannedStopHasClientsLeaveFromTheStart guards against clients that learn of a stop only by
// finding their connection closed. One request is in flight at the signal, one comes after it.
func TestPlannedStopHasClientsLeaveFromTheStart(t *testing.T) {
	entered, proceed := make(chan struct{}, 1), make(chan struct{})
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": func(writer http.ResponseWriter, request *http.Request) {
		if request.RequestURI == "/a/slow" {
			entered <- struct{}{}
			<-proceed
		}
		echo(writer, request)
	}})
	kept, inFlight := dialSite(t, s), dialSite(t, s)
	require.False(t, kept.ask("/a/").Close)
	inFlight.send("/a/slow")
	<-entered
	s.stop()
	require.Eventually(t, func() bool { return !s.router.Ready() }, 10*time.Second, time.Millisecond)
	close(proceed)
	require.True(t, inFlight.receive().Close)
	require.True(t, kept.ask("/a/").Close)
	require.NoError(t, <-s.done)
}

// patientRoute is a document whose route lets requests take longer than any stop.
func patientRoute() *routing.Document {
	document := oneRoute(1, "s")
	document.Routes[0].Timeout = time.Minute
	return document
}

// silentServer never answers. It reports each request that reaches it.
func silentServer(t *testing.T) (handler http.HandlerFunc, reached chan struct{}) {
	reached = make(chan struct{}, 64)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	return func(http.ResponseWriter, *http.Request) {
		reached <- struct{}{}
		<-ended
	}, reached
}

// TestPlannedStopAnswersWhatItsServersDoNot guards against requests that are cut without an answer
// because their deadline lies behind the end of the stop.
func TestPlannedStopAnswersWhatItsServersDoNot(t *testing.T) {
	silent, reached := silentServer(t)
	s := startSite(t, patientRoute(), map[string]http.HandlerFunc{"s": silent})
	before, after := dialSite(t, s), dialSite(t, s)
	before.sendWithin("/a/", time.Minute)
	<-reached
	s.stop()
	require.Eventually(t, func() bool { return !s.router.Ready() }, 10*time.Second, time.Millisecond)
	after.sendWithin("/a/", time.Minute)
	<-reached
	require.Equal(t, http.StatusGatewayTimeout, before.receive().StatusCode)
	require.Equal(t, http.StatusGatewayTimeout, after.receive().StatusCode)
	require.NoError(t, <-s.done)
}

// TestPlannedStopPassesOnNoRequestThatItCannotAwait guards against requests that are taken late in
// a stop, passed on and then cut.
func TestPlannedStopPassesOnNoRequestThatItCannotAwait(t *testing.T) {
	silent, reached := silentServer(t)
	s := startSite(t, patientRoute(), map[string]http.HandlerFunc{"s": silent})
	late := dialSite(t, s)
	_, err := io.WriteString(late, "POST /a/ HTTP/1.1\r\nHost: site\r\nX-Id: r-1\r\nX-Left: 60s\r\n")
	require.NoError(t, err)
	s.stop()
	require.Eventually(t, func() bool { return s.hasLogged("closing_connections") }, 10*time.Second, time.Millisecond)
	_, err = io.WriteString(late, "Content-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, late.receive().StatusCode)
	require.NoError(t, <-s.done)
	require.Empty(t, reached)
}

// TestPlannedStopAnswersGatheredRequestsThatItCannotAwait is the same for a request with shards.
func TestPlannedStopAnswersGatheredRequestsThatItCannotAwait(t *testing.T) {
	silent, reached := silentServer(t)
	document := patientRoute()
	document.Routes[0].Targets, document.Routes[0].Shards, document.Routes[0].LeastShare = nil, []string{"s", "t"}, 1
	s := startSite(t, document, map[string]http.HandlerFunc{"s": silent, "t": silent})
	before := dialSite(t, s)
	before.sendWithin("/a/", time.Minute)
	<-reached
	<-reached
	s.stop()
	require.Equal(t, http.StatusGatewayTimeout, before.receive().StatusCode)
	require.NoError(t, <-s.done)
}

// siteClient is a client that keeps its connection.
type siteClient struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func dialSite(t *testing.T, s *site) *siteClient {
	conn, err := net.Dial("tcp4", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &siteClient{Conn: conn, t: t, reader: bufio.NewReader(conn)}
}

func (c *siteClient) send(path string) { c.sendWithin(path, 3*time.Second) }

// sendWithin sends a request with a deadline.
func (c *siteClient) sendWithin(path string, deadline time.Duration) {
	_, err := fmt.Fprintf(c.Conn, "GET %s HTTP/1.1\r\nHost: site\r\nX-Id: r-1\r\nX-Left: %s\r\n\r\n", path, deadline)
	require.NoError(c.t, err)
}

// receive reads a response and its body.
func (c *siteClient) receive() *http.Response {
	c.t.Helper()
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(c.t, err)
	return response
}

func (c *siteClient) ask(path string) *http.Response {
	c.t.Helper()
	c.send(path)
	return c.receive()
}
