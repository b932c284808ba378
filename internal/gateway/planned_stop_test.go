package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/gateway"
	"github.com/martenstage/martenstage/internal/proof/slowread"
	"github.com/martenstage/martenstage/internal/routing"
)

// TestPlannedStopClosesNoConnectionWithARequestRead guards against a connection that is taken
// for idle while its next request is read.
func TestPlannedStopClosesNoConnectionWithARequestRead(t *testing.T) {
	const clients = 60
	listener := &slowread.Listener{Listener: listenLocal(t), Delay: 20 * time.Millisecond}
	s := startSiteOn(t, listener, func(config *gateway.Config) { config.Grace = 2 * time.Second }, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": echo})
	sending := slowread.SendUntilClosed(t, s.address, wholeRequest, clients)
	s.stop()
	require.NoError(t, <-s.done)
	sending.Wait()
	require.Zero(t, listener.Unanswered(), "connections closed with a whole request read")
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
