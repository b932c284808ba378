package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/exchange"
	"github.com/martenstage/martenstage/internal/gateway"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
)

// dialect is the header contract of the tests with clients and servers.
type dialect struct{}

func (dialect) RequestID(header http.Header) string { return header.Get("X-Id") }
func (dialect) Remaining(header http.Header) (time.Duration, bool) {
	remaining, err := time.ParseDuration(header.Get("X-Left"))
	return remaining, err == nil
}
func (dialect) Key(header http.Header) (string, gateway.Credentials) {
	if len(header["X-Key"]) == 1 {
		return header["X-Key"][0], gateway.CredentialsKey
	}
	return "", gateway.CredentialsAmbiguous
}
func (dialect) Identify(header message.Header, tenant string) {
	delete(header, "X-Key")
	header["X-Who"] = []string{tenant}
}
func (dialect) SetGathered(header http.Header, stamps []string, missing int) {
	header.Set("X-Stamps", strings.Join(stamps, ","))
	header.Set("X-Missing", fmt.Sprint(missing))
}
func (dialect) SetRetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", after.String())
}
func (dialect) Outgoing(header message.Header, remaining time.Duration, instance string) {
	header["X-Left"] = []string{remaining.String()}
	header["X-Meant"] = []string{instance}
}
func (dialect) Reply(status int, header message.Header) exchange.ReplyInfo {
	values := http.Header(header)
	return exchange.ReplyInfo{
		RequestID: values.Get("X-Id"), Stamp: values.Get("X-Stamp"),
		NotExecuted: values.Get("X-Not-Run") != "", OtherInstance: status == http.StatusMisdirectedRequest,
	}
}

func TestRequestAndResponsePassUnchanged(t *testing.T) {
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": echo})
	got := s.send(http.MethodPost, "/a/b%2Fc?x=%20y", strings.NewReader("the body"))
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "POST /a/b%2Fc?x=%20y  the body", got.body)
	require.Equal(t, "of-i-s", got.header.Get("X-Stamp"))
	require.Equal(t, "kept", got.header.Get("X-Own"))

	chunked := s.send(http.MethodPost, "/a/b", io.MultiReader(strings.NewReader("in "), strings.NewReader("chunks")))
	require.Equal(t, "POST /a/b  in chunks", chunked.body)
}

func TestUnknownRouteAndOversizedBodyAreRefused(t *testing.T) {
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": echo})
	require.Equal(t, http.StatusNotFound, s.send(http.MethodGet, "/other/", nil).status)
	require.Equal(t, http.StatusRequestEntityTooLarge, s.send(http.MethodPost, "/a/", bytes.NewReader(make([]byte, 1001))).status)
}

func TestWithoutADocumentRequestsAreRefusedForNow(t *testing.T) {
	s := startSite(t, nil, nil)
	require.False(t, s.router.Ready())
	got := s.send(http.MethodGet, "/a/", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// TestRequestBeforeTheFirstDocumentGetsRetryAfter sends a request to a router that has just
// started: it is refused while there is no document, and served when it is retried after the
// given time.
func TestRequestBeforeTheFirstDocumentGetsRetryAfter(t *testing.T) {
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": echo})
	refused := s.send(http.MethodGet, "/a/", nil)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Zero(t, s.router.Version(), "the request waited for the document")
	after, err := time.ParseDuration(refused.header.Get("Retry-After"))
	require.NoError(t, err)
	require.GreaterOrEqual(t, after, 250*time.Millisecond)
	require.LessOrEqual(t, after, 350*time.Millisecond)
	s.install(oneRoute(1, "s"))
	time.Sleep(after)
	require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/", nil).status)
}

func TestOnlyANewerDocumentTakesEffect(t *testing.T) {
	s := startSite(t, oneRoute(5, "s"), map[string]http.HandlerFunc{"s": echo, "t": echo})
	require.Equal(t, "of-i-s", s.send(http.MethodGet, "/a/", nil).header.Get("X-Stamp"))
	s.install(oneRoute(6, "t"))
	require.Equal(t, "of-i-t", s.send(http.MethodGet, "/a/", nil).header.Get("X-Stamp"))
	text, err := json.Marshal(oneRoute(4, "s"))
	require.NoError(t, err)
	s.directory.mutex.Lock()
	s.directory.reply.Version, s.directory.reply.Document = 4, pack(t, text)
	s.directory.mutex.Unlock()
	time.Sleep(150 * time.Millisecond)
	require.EqualValues(t, 6, s.router.Version())
	require.Equal(t, "of-i-t", s.send(http.MethodGet, "/a/", nil).header.Get("X-Stamp"))
}

func TestFailureStatusFollowsTheVerdict(t *testing.T) {
	refuse := func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	broken := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	hanging := func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }
	for want, handler := range map[int]http.HandlerFunc{
		http.StatusServiceUnavailable: refuse, http.StatusBadGateway: broken, http.StatusGatewayTimeout: hanging,
	} {
		document := oneRoute(1, "s")
		document.Routes[0].Timeout = 300 * time.Millisecond
		s := startSite(t, document, map[string]http.HandlerFunc{"s": handler})
		got := s.send(http.MethodGet, "/a/", nil)
		require.Equal(t, want, got.status)
		require.Equal(t, want == http.StatusServiceUnavailable, got.header.Get("Retry-After") != "")
	}
}

func TestClientDisconnectCancelsTheServerRequest(t *testing.T) {
	ended := make(chan struct{})
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": func(_ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		close(ended)
	}})
	conn, err := net.Dial("tcp4", s.address)
	require.NoError(t, err)
	_, _ = io.WriteString(conn, "GET /a/ HTTP/1.1\r\nHost: site\r\nX-Id: r\r\nX-Left: 10s\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the server request continues after the client has disconnected")
	}
}

func TestPlannedStopAnswersAcceptedRequests(t *testing.T) {
	var served atomic.Int64
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(500 * time.Millisecond)
		echo(writer, request)
	}})
	statuses := make(chan int, 64)
	var clients sync.WaitGroup
	send := func() {
		clients.Go(func() {
			statuses <- s.send(http.MethodGet, "/a/", nil).status
			served.Add(1)
		})
	}
	for range 4 {
		send()
	}
	time.Sleep(50 * time.Millisecond)
	s.stop()
	require.Eventually(t, func() bool { return !s.router.Ready() }, time.Second, time.Millisecond)
	for range 4 {
		send()
	}
	clients.Wait()
	close(statuses)
	for status := range statuses {
		require.Equal(t, http.StatusOK, status)
	}
	require.EqualValues(t, 8, served.Load())
	require.NoError(t, <-s.done)
}

// TestRouterThatCannotServeStopsItsTasks closes a router's listener. After Run has returned
// the error, no task of the router may call the directory.
func TestRouterThatCannotServeStopsItsTasks(t *testing.T) {
	var calls atomic.Int64
	node := serve(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_ = json.NewEncoder(writer).Encode(directory.FollowReply{Source: "stub", Complete: true, RouterCount: 1})
	}))
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	router := gateway.New(gateway.Config{
		Name: "router", Seeds: []string{node}, Grace: time.Second, Dialect: dialect{}, Codec: dialect{}, ParseDocument: parseDocument,
	}, gateway.Environment{Logger: logger, Registerer: prometheus.NewRegistry()})
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- router.Run(context.Background(), listener, nil) }()
	require.Eventually(t, func() bool { return calls.Load() > 0 }, 10*time.Second, time.Millisecond)
	require.NoError(t, listener.Close())
	require.ErrorContains(t, <-done, "clients can't be served")
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	require.NotContains(t, string(stacks), "(*follower)")
}
