package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/gateway"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
)

// site is a router with the directory and the servers of a test.
type site struct {
	// logged captures the router's log.
	logged    *logtest.Hook
	t         testing.TB
	directory *directoryStub
	router    *gateway.Gateway
	address   string
	stop      context.CancelFunc
	done      chan error
	// ended is closed once the router has stopped and makes no more calls.
	ended chan struct{}
}

func startSite(t testing.TB, document *routing.Document, servers map[string]http.HandlerFunc) *site {
	return startSiteWithin(t, 0, document, servers)
}

// startSiteWithin is startSite with a value for Config.RevokeWithin.
func startSiteWithin(t testing.TB, revokeWithin time.Duration, document *routing.Document, servers map[string]http.HandlerFunc) *site {
	return startConfiguredSite(t, func(config *gateway.Config) { config.RevokeWithin = revokeWithin }, document, servers)
}

// startConfiguredSite is startSite with a changed configuration of the router.
func startConfiguredSite(t testing.TB, change func(*gateway.Config), document *routing.Document, servers map[string]http.HandlerFunc) *site {
	return startSiteOn(t, listenLocal(t), change, document, servers)
}

// startSiteOn is startConfiguredSite with the listener for clients.
func startSiteOn(t testing.TB, clients net.Listener, change func(*gateway.Config), document *routing.Document, servers map[string]http.HandlerFunc) *site {
	stub := &directoryStub{}
	node := serve(t, stub)
	s := &site{t: t, directory: stub}
	for service, handler := range servers {
		stub.addServer("i-"+service, service, "", serve(t, handler))
	}
	stub.mutex.Lock()
	stub.reply.Source, stub.reply.Complete, stub.reply.Nodes = "stub", true, []string{node}
	stub.mutex.Unlock()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s.logged = logtest.NewLocal(logger)
	config := gateway.Config{
		Name: "router", Zone: "a", Seeds: []string{node}, Grace: 3 * time.Second, Budget: scatter.BudgetLimits{Ratio: 1, Slack: 100},
		ParseDocument: parseDocument, Dialect: dialect{}, Codec: dialect{},
	}
	change(&config)
	s.router = gateway.New(config, gateway.Environment{Logger: logger, Registerer: prometheus.NewRegistry()})
	s.run(clients, nil)
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

// end stops the router at once and waits for it. During a planned stop it would keep calling
// the directory, at a port that the servers of the next test may have by then.
func (s *site) end(listener net.Listener) {
	_ = listener.Close() // Already closed if the test has stopped the router.
	<-s.ended
	s.stop()
}

func parseDocument(text []byte) (*routing.Document, error) {
	parsed := &routing.Document{}
	return parsed, json.Unmarshal(text, parsed)
}

// listenLocal listens at an address that no other process and no later test uses, so that
// calls of a router that is still running reach no other test.
func listenLocal(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(t, err)
	return listener
}

func serve(t testing.TB, handler http.Handler) string {
	listener := listenLocal(t)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// publish sets the document in the directory's replies.
func (s *site) publish(document *routing.Document) {
	text, err := json.Marshal(document)
	require.NoError(s.t, err)
	s.directory.mutex.Lock()
	defer s.directory.mutex.Unlock()
	s.directory.reply.Version, s.directory.reply.Document = document.Version, pack(s.t, text)
}

// install publishes a document and waits until it is active.
func (s *site) install(document *routing.Document) {
	s.publish(document)
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

func (s *site) send(method, path string, body io.Reader) answer {
	s.t.Helper()
	return s.sendWith(nil, method, path, body)
}

// sendWith is send with additional headers.
func (s *site) sendWith(headers http.Header, method, path string, body io.Reader) answer {
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
