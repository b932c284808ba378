package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/exchange"
	"github.com/martenstage/martenstage/internal/gateway"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
)

// dialect is a contract of the tests' own, towards clients and servers.
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
	return "", gateway.CredentialsUnclear
}
func (dialect) Identify(header message.Header, tenant string) {
	delete(header, "X-Key")
	header["X-Who"] = []string{tenant}
}
func (dialect) Gathered(header http.Header, stamps []string, missing int) {
	header.Set("X-Stamps", strings.Join(stamps, ","))
	header.Set("X-Missing", fmt.Sprint(missing))
}
func (dialect) ComeBack(header http.Header, after time.Duration) {
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

// directoryStub answers routers with what a test set.
type directoryStub struct {
	mutex sync.Mutex
	reply directory.FollowReply
	// book holds the requests that end servers; refuses makes orders about them fail,
	// refusesReports just reports.
	book           quarantine.Book
	refuses        bool
	refusesReports bool
	orders         []quarantine.Order
	// ledger is what tenants spend; nil while no leader is reached. metered are those whose
	// requests each need a token.
	ledger  *quota.Ledger
	metered []string
	// down has the directory answer routers' calls for news with a failure.
	down bool
	// observed is what the router told last of roll-outs.
	observed directory.RolloutReport
}

func (d *directoryStub) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == directory.PathQuarantine {
		d.serveOrders(writer, request)
		return
	}
	if request.URL.Path == directory.PathRollouts {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.observed = directory.RolloutReport{}
		_ = json.NewDecoder(request.Body).Decode(&d.observed)
		return
	}
	if request.URL.Path == directory.PathQuota {
		d.serveQuota(writer, request)
		return
	}
	var asked directory.FollowRequest
	_ = json.NewDecoder(request.Body).Decode(&asked)
	d.mutex.Lock()
	if d.down {
		d.mutex.Unlock()
		http.Error(writer, "down", http.StatusServiceUnavailable)
		return
	}
	reply := d.reply
	reply.Quarantine, reply.QuarantineEntries = d.book.Revision, d.book.Entries()
	if len(d.metered) > 0 {
		reply.Metered, reply.MeteredDigest = d.metered, 1
	}
	d.mutex.Unlock()
	reply.RouterCount = max(1, reply.RouterCount)
	if reply.Version <= asked.Version {
		reply.Version, reply.Document = 0, nil
		time.Sleep(20 * time.Millisecond)
	}
	_ = json.NewEncoder(writer).Encode(reply)
}

// serveQuota takes in what a router spent and wants.
func (d *directoryStub) serveQuota(writer http.ResponseWriter, request *http.Request) {
	var told quota.Message
	_ = json.NewDecoder(request.Body).Decode(&told)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.ledger == nil {
		http.Error(writer, "no leader", http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(writer).Encode(d.ledger.Take(time.Now(), told))
}

// serveOrders carries out orders about requests that end servers.
func (d *directoryStub) serveOrders(writer http.ResponseWriter, request *http.Request) {
	var asked directory.QuarantineOrders
	_ = json.NewDecoder(request.Body).Decode(&asked)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	reports := slices.ContainsFunc(asked.Orders, func(o quarantine.Order) bool { return o.Kind == quarantine.Report })
	if d.refuses || d.refusesReports && reports {
		http.Error(writer, "no leader", http.StatusServiceUnavailable)
		return
	}
	var reply directory.QuarantineReply
	for _, order := range asked.Orders {
		reply.Outcomes = append(reply.Outcomes, d.book.Apply(order))
	}
	d.orders = append(d.orders, asked.Orders...)
	reply.Revision = d.book.Revision
	_ = json.NewEncoder(writer).Encode(reply)
}

// give carries out orders of a test's own.
func (d *directoryStub) give(orders ...quarantine.Order) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, order := range orders {
		d.book.Apply(order)
	}
}

// records returns the requests that end servers.
func (d *directoryStub) records() []quarantine.Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.book.Records)
}

// addServer makes the stub tell of a server.
func (d *directoryStub) addServer(id, service, zone, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.reply.Instances = append(d.reply.Instances, registry.Instance{
		ID: id, Service: service, Address: address, Zone: zone, Slots: 2, State: registry.Ready,
	})
}

// site is a router between a directory and servers of one test.
type site struct {
	// logged is what the router logged.
	logged    *logtest.Hook
	t         testing.TB
	directory *directoryStub
	router    *gateway.Gateway
	address   string
	stop      context.CancelFunc
	done      chan error
	// ended is closed once the router has ended, and calls nobody any more.
	ended chan struct{}
}

func startSite(t testing.TB, document *routing.Document, servers map[string]http.HandlerFunc) *site {
	return startSiteWithin(t, 0, document, servers)
}

// startSiteWithin is startSite with a time within which keys that were taken away have to be
// refused.
func startSiteWithin(t testing.TB, revokeWithin time.Duration, document *routing.Document, servers map[string]http.HandlerFunc) *site {
	stub := &directoryStub{}
	node := serve(t, stub)
	s := &site{t: t, directory: stub}
	for service, handler := range servers {
		stub.addServer("i-"+service, service, "", serve(t, handler))
	}
	stub.reply.Source, stub.reply.Whole, stub.reply.Nodes = "stub", true, []string{node}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s.logged = logtest.NewLocal(logger)
	s.router = gateway.New(gateway.Config{
		Name: "router", Zone: "a", Seeds: []string{node}, Grace: 3 * time.Second, Budget: scatter.BudgetLimits{Ratio: 1, Slack: 100},
		ParseDocument: parseDocument, Dialect: dialect{}, Codec: dialect{}, RevokeWithin: revokeWithin,
	}, gateway.Environment{Logger: logger, Registerer: prometheus.NewRegistry()})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s.run(listener, nil)
	if document != nil {
		s.install(document)
	}
	return s
}

// run runs the router until its test ends.
func (s *site) run(clients, others net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	s.address, s.stop = clients.Addr().String(), cancel
	s.done, s.ended = make(chan error, 1), make(chan struct{})
	go func() {
		s.done <- s.router.Run(ctx, clients, others)
		close(s.ended)
	}()
	s.t.Cleanup(func() { s.end(clients) })
}

// end ends the router at once and waits for it. A planned stop goes on calling the directory
// for as long as it takes, at a port that the next test's stand-ins may have by then.
func (s *site) end(listener net.Listener) {
	_ = listener.Close() // It is closed already where the test stopped the router.
	<-s.ended
	s.stop()
}

func parseDocument(text []byte) (*routing.Document, error) {
	parsed := &routing.Document{}
	return parsed, json.Unmarshal(text, parsed)
}

func serve(t testing.TB, handler http.Handler) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// prepare makes the directory tell of a document.
func (s *site) prepare(document *routing.Document) {
	text, err := json.Marshal(document)
	require.NoError(s.t, err)
	s.directory.mutex.Lock()
	defer s.directory.mutex.Unlock()
	s.directory.reply.Version, s.directory.reply.Document = document.Version, pack(s.t, text)
}

// install puts a document in force and waits until it is.
func (s *site) install(document *routing.Document) {
	s.prepare(document)
	require.Eventually(s.t, func() bool { return s.router.Version() == document.Version }, 10*time.Second, time.Millisecond)
}

func pack(t testing.TB, text []byte) directory.PackedDocument {
	packed, err := directory.PackDocument(text)
	require.NoError(t, err)
	return packed
}

type answer struct {
	status int
	header http.Header
	body   string
}

func (s *site) ask(method, path string, body io.Reader) answer {
	s.t.Helper()
	return s.askWith(nil, method, path, body)
}

// askWith is ask with headers beside.
func (s *site) askWith(headers http.Header, method, path string, body io.Reader) answer {
	s.t.Helper()
	request, err := http.NewRequest(method, "http://"+s.address+path, body)
	require.NoError(s.t, err)
	request.Host = "site"
	request.Header.Set("X-Id", "r-1")
	request.Header.Set("X-Left", "3s")
	maps.Copy(request.Header, headers)
	response, err := http.DefaultClient.Do(request)
	require.NoError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return answer{status: response.StatusCode, header: response.Header, body: string(read)}
}

func echo(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	writer.Header().Set("X-Id", request.Header.Get("X-Id"))
	writer.Header().Set("X-Stamp", "of-"+request.Header.Get("X-Meant"))
	writer.Header().Set("X-Own", "kept")
	_, _ = fmt.Fprintf(writer, "%s %s %s %s", request.Method, request.RequestURI, request.Header.Get("X-Client"), body)
}

func oneRoute(version uint64, service string) *routing.Document {
	return &routing.Document{
		Version:  version,
		Services: []routing.Service{{Name: "s"}, {Name: "t"}},
		Routes: []routing.Route{{
			Name: "r", Host: "site", Prefix: "/a/", Repeatable: true, Timeout: 2 * time.Second, MaxAttempts: 2,
			Targets: []routing.Target{{Service: service, Weight: 1}},
		}},
		Limits: routing.Limits{BodyBytes: 1000},
	}
}

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": echo})
	got := s.ask(http.MethodPost, "/a/b%2Fc?x=%20y", strings.NewReader("the body"))
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "POST /a/b%2Fc?x=%20y  the body", got.body)
	require.Equal(t, "of-i-s", got.header.Get("X-Stamp"))
	require.Equal(t, "kept", got.header.Get("X-Own"))

	chunked := s.ask(http.MethodPost, "/a/b", io.MultiReader(strings.NewReader("in "), strings.NewReader("chunks")))
	require.Equal(t, "POST /a/b  in chunks", chunked.body)
}

func TestUnknownRouteAndLongBodyAreRefused(t *testing.T) {
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": echo})
	require.Equal(t, http.StatusNotFound, s.ask(http.MethodGet, "/other/", nil).status)
	require.Equal(t, http.StatusRequestEntityTooLarge, s.ask(http.MethodPost, "/a/", bytes.NewReader(make([]byte, 1001))).status)
}

func TestWithoutADocumentNothingIsDenied(t *testing.T) {
	s := startSite(t, nil, nil)
	require.False(t, s.router.Ready())
	got := s.ask(http.MethodGet, "/a/", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// TestRequestBeforeTheFirstDocumentIsToldWhenToComeBack has a request meet a router
// that has just started: it is refused while there is still no document, and is served
// when it comes back as told.
func TestRequestBeforeTheFirstDocumentIsToldWhenToComeBack(t *testing.T) {
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": echo})
	refused := s.ask(http.MethodGet, "/a/", nil)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Zero(t, s.router.Version(), "it was held until there was a document")
	after, err := time.ParseDuration(refused.header.Get("Retry-After"))
	require.NoError(t, err)
	require.GreaterOrEqual(t, after, 250*time.Millisecond)
	require.LessOrEqual(t, after, 350*time.Millisecond)
	s.install(oneRoute(1, "s"))
	time.Sleep(after)
	require.Equal(t, http.StatusOK, s.ask(http.MethodGet, "/a/", nil).status)
}

func TestNewerDocumentTakesForceAndAnOlderOneNever(t *testing.T) {
	s := startSite(t, oneRoute(5, "s"), map[string]http.HandlerFunc{"s": echo, "t": echo})
	require.Equal(t, "of-i-s", s.ask(http.MethodGet, "/a/", nil).header.Get("X-Stamp"))
	s.install(oneRoute(6, "t"))
	require.Equal(t, "of-i-t", s.ask(http.MethodGet, "/a/", nil).header.Get("X-Stamp"))
	text, err := json.Marshal(oneRoute(4, "s"))
	require.NoError(t, err)
	s.directory.mutex.Lock()
	s.directory.reply.Version, s.directory.reply.Document = 4, pack(t, text)
	s.directory.mutex.Unlock()
	time.Sleep(150 * time.Millisecond)
	require.EqualValues(t, 6, s.router.Version())
	require.Equal(t, "of-i-t", s.ask(http.MethodGet, "/a/", nil).header.Get("X-Stamp"))
}

func TestFailureStatusFollowsTheVerdict(t *testing.T) {
	refuse := func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	broken := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	silent := func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }
	for want, handler := range map[int]http.HandlerFunc{
		http.StatusServiceUnavailable: refuse, http.StatusBadGateway: broken, http.StatusGatewayTimeout: silent,
	} {
		document := oneRoute(1, "s")
		document.Routes[0].Timeout = 300 * time.Millisecond
		s := startSite(t, document, map[string]http.HandlerFunc{"s": handler})
		got := s.ask(http.MethodGet, "/a/", nil)
		require.Equal(t, want, got.status)
		require.Equal(t, want == http.StatusServiceUnavailable, got.header.Get("Retry-After") != "")
	}
}

func TestClientThatLeavesEndsTheWorkAtTheServer(t *testing.T) {
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
		require.Fail(t, "the server goes on for a client that left")
	}
}

func TestPlannedStopAnswersWhatWasRead(t *testing.T) {
	var served atomic.Int64
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(500 * time.Millisecond)
		echo(writer, request)
	}})
	statuses := make(chan int, 64)
	var clients sync.WaitGroup
	ask := func() {
		clients.Go(func() {
			statuses <- s.ask(http.MethodGet, "/a/", nil).status
			served.Add(1)
		})
	}
	for range 4 {
		ask()
	}
	time.Sleep(50 * time.Millisecond)
	s.stop()
	require.Eventually(t, func() bool { return !s.router.Ready() }, time.Second, time.Millisecond)
	for range 4 {
		ask()
	}
	clients.Wait()
	close(statuses)
	for status := range statuses {
		require.Equal(t, http.StatusOK, status)
	}
	require.EqualValues(t, 8, served.Load())
	require.NoError(t, <-s.done)
}

// TestARouterThatCannotServeEndsWhatItRuns takes a router's listener away: once it has said why it
// ends, nothing of it calls the directory any more.
func TestARouterThatCannotServeEndsWhatItRuns(t *testing.T) {
	var calls atomic.Int64
	node := serve(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_ = json.NewEncoder(writer).Encode(directory.FollowReply{Source: "stub", Whole: true, RouterCount: 1})
	}))
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	router := gateway.New(gateway.Config{
		Name: "router", Seeds: []string{node}, Grace: time.Second, Dialect: dialect{}, Codec: dialect{}, ParseDocument: parseDocument,
	}, gateway.Environment{Logger: logger, Registerer: prometheus.NewRegistry()})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
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
