package httpdrain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/httpdrain"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

const request = "GET /a HTTP/1.1\r\nHost: site\r\n\r\n"

// heldListener accepts connections whose reads, once hold is called, return their bytes only
// after release.
type heldListener struct {
	net.Listener
	mutex sync.Mutex
	gate  chan struct{}
	// reached receives a value for each read that has bytes and is held.
	reached chan struct{}
}

func (l *heldListener) hold() (release func()) {
	gate := make(chan struct{})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.gate = gate
	return sync.OnceFunc(func() { close(gate) })
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

type heldConn struct {
	*net.TCPConn
	listener *heldListener
}

func (c *heldConn) Read(into []byte) (int, error) {
	count, err := c.TCPConn.Read(into)
	c.listener.mutex.Lock()
	gate := c.listener.gate
	c.listener.mutex.Unlock()
	if gate != nil && count > 0 {
		c.listener.reached <- struct{}{}
		<-gate
	}
	return count, err
}

// served is a server of a test.
type served struct {
	*httpdrain.Server
	t        *testing.T
	listener *heldListener
	// lost receives the closes that dropped something.
	lost chan httpdrain.Closed
}

func serve(t *testing.T, handler http.HandlerFunc) *served {
	return serveWith(t, httpdrain.Config{Handler: handler})
}

// serveWith is serve with further fields of the configuration.
func serveWith(t *testing.T, config httpdrain.Config) *served {
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(t, err)
	s := &served{
		t: t, listener: &heldListener{Listener: listener, reached: make(chan struct{}, 16)}, lost: make(chan httpdrain.Closed, 16),
	}
	config.ReadHeaderTimeout = 10 * time.Second
	config.OnClosed = func(closed httpdrain.Closed) {
		if closed.Lost() {
			s.lost <- closed
		}
	}
	s.Server = httpdrain.NewServer(config)
	go func() { _ = s.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func hello(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "hello") }

// drain drains the server, for ten seconds at most, and returns a channel for the outcome.
func (s *served) drain() <-chan error {
	outcome := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		outcome <- s.Drain(ctx)
	}()
	return outcome
}

// client is a connection of a test's client.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *served) dial() *client {
	conn, err := net.Dial("tcp4", s.listener.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	return &client{Conn: conn, t: s.t, reader: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c.Conn, text)
	require.NoError(c.t, err)
}

// requireAnswer reads a whole response and returns whether it says that the connection is closed.
func (c *client) requireAnswer() bool {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	require.Equal(c.t, "hello", string(body))
	return response.Close
}

func (c *client) requireClosed() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

func (s *served) awaitPhase(phase httpdrain.Phase, count int) {
	require.Eventually(s.t, func() bool { return s.Phases()[phase] == count }, 10*time.Second, time.Millisecond)
}

func TestDrainServesARequestThatIsBeingRead(t *testing.T) {
	s := serve(t, hello)
	kept := s.dial()
	kept.send(request)
	require.False(t, kept.requireAnswer())
	s.awaitPhase(httpdrain.Waiting, 1)
	release := s.listener.hold()
	defer release()
	kept.send(request)
	<-s.listener.reached
	drained := s.drain()
	require.Eventually(t, s.Closing, 10*time.Second, time.Millisecond)
	release()
	require.True(t, kept.requireAnswer())
	kept.requireClosed()
	require.NoError(t, <-drained)
	require.Empty(t, s.lost)
}

func TestIdleLimitServesARequestThatIsBeingRead(t *testing.T) {
	s := serve(t, hello)
	kept := s.dial()
	kept.send(request)
	require.False(t, kept.requireAnswer())
	s.awaitPhase(httpdrain.Waiting, 1)
	release := s.listener.hold()
	defer release()
	kept.send(request)
	<-s.listener.reached
	s.Enforce(steadyclock.Now().Add(time.Hour), httpdrain.Limits{Idle: time.Second})
	release()
	require.False(t, kept.requireAnswer())
	require.Empty(t, s.lost)
}

func TestDrainEndsConnectionsThatWait(t *testing.T) {
	s := serve(t, hello)
	kept, silent := s.dial(), s.dial()
	kept.send(request)
	require.False(t, kept.requireAnswer())
	s.awaitPhase(httpdrain.Waiting, 1)
	s.awaitPhase(httpdrain.Opened, 1)
	drained := s.drain()
	kept.requireClosed()
	silent.requireClosed()
	require.NoError(t, <-drained)
	require.Empty(t, s.lost)
}

func TestDrainServesTheFirstRequestOfANewConnection(t *testing.T) {
	s := serve(t, hello)
	fresh := s.dial()
	s.awaitPhase(httpdrain.Opened, 1)
	drained := s.drain()
	require.Eventually(t, s.Closing, 10*time.Second, time.Millisecond)
	fresh.send(request)
	require.True(t, fresh.requireAnswer())
	require.NoError(t, <-drained)
}

// TestDrainServesARequestBehindTheLastOne sends two requests at once: net/http buffers the second,
// and no read returns it.
func TestDrainServesARequestBehindTheLastOne(t *testing.T) {
	entered, proceed := make(chan struct{}, 2), make(chan struct{})
	s := serve(t, func(writer http.ResponseWriter, request *http.Request) {
		entered <- struct{}{}
		<-proceed
		hello(writer, request)
	})
	kept := s.dial()
	kept.send(request + request)
	<-entered
	proceed <- struct{}{}
	<-entered
	drained := s.drain()
	// The pending read of the second request is ended by net/http alone.
	require.Never(t, func() bool { return len(drained) > 0 }, 100*time.Millisecond, 10*time.Millisecond)
	proceed <- struct{}{}
	require.False(t, kept.requireAnswer())
	kept.requireAnswer()
	require.NoError(t, <-drained)
	require.Empty(t, s.lost)
}

func TestDrainCutsWhatIsLeftAtItsLimit(t *testing.T) {
	entered := make(chan struct{}, 1)
	proceed := make(chan struct{})
	defer close(proceed)
	s := serve(t, func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-proceed
	})
	kept := s.dial()
	kept.send(request)
	<-entered
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, s.Drain(ctx), context.Canceled)
	closed := <-s.lost
	require.Equal(t, httpdrain.CauseStopLimit, closed.Cause)
	require.Equal(t, httpdrain.Serving, closed.Phase)
	require.EqualValues(t, len(request), closed.Unanswered)
}

func TestHeaderLimitRefusesAHeaderThatIsIncomplete(t *testing.T) {
	s := serve(t, hello)
	slow := s.dial()
	slow.send("GET /a HTTP/1.1\r\nHo")
	s.awaitPhase(httpdrain.Receiving, 1)
	s.Enforce(steadyclock.Now().Add(time.Hour), httpdrain.Limits{Header: time.Second})
	slow.requireRefused(http.StatusRequestTimeout)
}

// requireRefused reads a refusal, after which the connection is closed.
func (c *client) requireRefused(status int) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	require.Equal(c.t, status, response.StatusCode)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(c.t, err)
	require.True(c.t, response.Close)
	c.requireClosed()
}

// TestNoRequestIsRefusedThatItsHandlerMayHaveServed has a handler answer without reading the rest of a
// body, while the connection is to make room for others.
func TestNoRequestIsRefusedThatItsHandlerMayHaveServed(t *testing.T) {
	entered, proceed := make(chan struct{}), make(chan struct{})
	s := serveWith(t, httpdrain.Config{MaxConnections: 1, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		close(entered)
		<-proceed
		hello(writer, request)
	})})
	left := s.dial()
	left.send("POST /a HTTP/1.1\r\nHost: site\r\nContent-Length: 5\r\n\r\nb")
	<-entered
	s.dial()
	s.awaitPhase(httpdrain.Opened, 1)
	close(proceed)
	left.requireAnswer()
}

// TestBodyThatIsAwaitedYieldsToOthers has a handler wait for a body, while the connection is to make
// room for others.
func TestBodyThatIsAwaitedYieldsToOthers(t *testing.T) {
	entered := make(chan struct{})
	outcome := make(chan error, 1)
	s := serveWith(t, httpdrain.Config{MaxConnections: 1, Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		close(entered)
		_, err := io.ReadAll(request.Body)
		outcome <- err
	})})
	left := s.dial()
	left.send("POST /a HTTP/1.1\r\nHost: site\r\nContent-Length: 5\r\n\r\nb")
	<-entered
	s.dial()
	require.ErrorIs(t, <-outcome, httpdrain.ErrRefused)
	left.requireRefused(http.StatusServiceUnavailable)
}
