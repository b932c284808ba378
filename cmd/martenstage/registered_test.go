package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/gateway"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/settings"
	"github.com/martenstage/martenstage/internal/trace"
)

// registeredSite is directory nodes, routers and servers of one test, with the
// commands' own wiring.
type registeredSite struct {
	// key is that of the clients; version is that of servers that start from now on.
	key     string
	version string
	t       *testing.T
	log     *logBuffer
	control []string
	// peers are the peer addresses of the nodes.
	peers    []string
	stops    []func()
	gateways []string
	servers  map[string]*registeredServer
}

// logBuffer collects the log lines of all processes.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

func (s *registeredSite) process(role string) *registeredProcess {
	registry := metrics.NewRegistry(role)
	sink := logging.NewSink(s.log, registry)
	logger, err := logging.New(sink, "info")
	require.NoError(s.t, err)
	return &registeredProcess{logger: logger, registry: registry, sink: sink}
}

// run runs a command until stop is called.
func (s *registeredSite) run(process *registeredProcess, run func(context.Context, *registeredProcess) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx, process) }()
	var once sync.Once
	return func() {
		once.Do(func() {
			cancel()
			<-done
			process.close()
		})
	}
}

func startRegisteredSite(t *testing.T, nodes, gateways int) *registeredSite {
	site := &registeredSite{t: t, log: &logBuffer{}, servers: map[string]*registeredServer{}}
	peers := testaddress.List(nodes)
	site.peers = peers
	for index := range nodes {
		control := testaddress.Next().String()
		command := &directoryCommand{Options: directory.Options{}}
		require.NoError(t, settings.Fill(map[string]any{
			"name": fmt.Sprint("d", index), "control-listen": control, "peer-listen": peers[index], "seeds": peers,
			"data-folder": t.TempDir(), "bootstrap": true, "losses": (nodes - 1) / 2, "heartbeat-interval": "200ms",
		}, &command.Options))
		site.control = append(site.control, control)
		site.stops = append(site.stops, site.run(site.process("directory"), command.run))
	}
	for index := range gateways {
		clients := testaddress.Next().String()
		command := &gatewayCommand{Options: gateway.Options{}}
		require.NoError(t, settings.Fill(map[string]any{
			"name": fmt.Sprint("g", index), "zone": fmt.Sprint("z", index), "clients-listen": clients, "seeds": peers,
			"ready-listen": testaddress.Next().String(), "peer-listen": testaddress.Next().String(), "stop-limit": "2s",
		}, &command.Options))
		site.gateways = append(site.gateways, clients)
		site.stops = append(site.stops, site.run(site.process("gateway"), command.run))
	}
	t.Cleanup(func() {
		for _, server := range site.servers {
			server.stop()
		}
		for _, stop := range site.stops {
			stop()
		}
	})
	return site
}

// registeredServer is a server that announces itself and answers by a script.
type registeredServer struct {
	site    *registeredSite
	id      string
	service string
	zone    string
	version string
	state   atomic.Pointer[string]
	answer  atomic.Pointer[http.HandlerFunc]
	served  atomic.Int64
	cancel  context.CancelFunc
	server  *http.Server
}

func (s *registeredSite) serve(id, service, zone string) {
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(s.t, err)
	s.servers[id] = s.serveAt(listener, id, service, zone)
}

// serveAt runs a server at a listener.
func (s *registeredSite) serveAt(listener net.Listener, id, service, zone string) *registeredServer {
	ctx, cancel := context.WithCancel(context.Background())
	started := &registeredServer{site: s, id: id, service: service, zone: zone, version: s.version, cancel: cancel}
	started.say("ready")
	started.script(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, strings.Repeat(id[len(id)-1:], 16))
	})
	started.server = &http.Server{Handler: started}
	go func() { _ = started.server.Serve(listener) }()
	go started.announce(ctx, listener.Addr().String())
	return started
}

func (r *registeredServer) say(state string)               { r.state.Store(&state) }
func (r *registeredServer) script(answer http.HandlerFunc) { r.answer.Store(&answer) }

func (r *registeredServer) stop() {
	r.cancel()
	_ = r.server.Close()
}

// ServeHTTP answers as the platform's servers do.
func (r *registeredServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Header.Get("X-Expect-Instance") != r.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.served.Add(1)
	writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	writer.Header().Set("X-Server-Stamp", "stamp-"+r.id)
	(*r.answer.Load())(writer, request)
}

func (r *registeredServer) announce(ctx context.Context, address string) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"backend": r.service, "addr": address, "zone": r.zone, "version": r.version, "slots": 2, "state": *r.state.Load(), "seq": sequence,
		})
		for _, node := range r.site.control {
			response, err := http.Post("http://"+node+"/-/instances/"+r.id+"/heartbeat", "application/json", bytes.NewReader(body))
			if err == nil {
				_ = response.Body.Close()
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

const registeredDocument = `{"version":%d,"routes":[
 {"name":"sweep","host":"h","path_prefix":"/sweep/","type":"idempotent","timeout_ms":1000,"target_ms":200,"gather":["a","b"],"max_attempts":2,"limit":2,"min_ratio":0.5},
 {"name":"look","host":"h","path_prefix":"/look/","type":"idempotent","timeout_ms":600,"target_ms":200,"backend":"a","max_attempts":2}],
 "services":[{"name":"a","health_path":"/health","max_conns":20},{"name":"b","health_path":"/health","max_conns":20}],"limits":{}}`

// put gives the operator's document to whichever node takes it.
func (s *registeredSite) put(version int) { s.putText(fmt.Sprintf(registeredDocument, version)) }

func (s *registeredSite) putText(document string) {
	require.Eventually(s.t, func() bool {
		for _, node := range s.control {
			response, err := http.Post("http://"+node+"/-/config/put", "application/json", strings.NewReader(document))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					return true
				}
			}
		}
		return false
	}, 20*time.Second, 50*time.Millisecond)
}

type clientAnswer struct {
	status int
	header http.Header
	body   string
}

func (s *registeredSite) ask(gateway int, path, id string) clientAnswer {
	request, err := http.NewRequest(http.MethodGet, "http://"+s.gateways[gateway]+path, nil)
	require.NoError(s.t, err)
	request.Host = "h"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "2000")
	if s.key != "" {
		request.Header.Set("Authorization", "Token "+s.key)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return clientAnswer{response.StatusCode, response.Header, string(body)}
}

// whole waits until every router answers sweeps whole.
func (s *registeredSite) whole() {
	for index := range s.gateways {
		require.Eventually(s.t, func() bool {
			got := s.ask(index, "/sweep/x", "warm")
			return got.status == http.StatusOK && got.header.Get("X-Missing-Parts") == ""
		}, 20*time.Second, 20*time.Millisecond)
	}
}

// explained waits until what `martenstage explain` shows of a request holds all
// the given texts: lines of several processes come in as they are written.
func (s *registeredSite) explained(request string, wanted ...string) {
	s.t.Helper()
	var shown []string
	missing := func() []string {
		lines, _, err := trace.Read("all", strings.NewReader(s.log.String()))
		require.NoError(s.t, err)
		shown = nil
		for _, line := range trace.Explain(lines, request, time.Minute) {
			shown = append(shown, line.Text)
		}
		text := strings.Join(shown, "\n")
		return lo.Reject(wanted, func(want string, _ int) bool { return strings.Contains(text, want) })
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if len(missing()) == 0 {
			return
		}
	}
	require.Empty(s.t, missing(), strings.Join(shown, "\n"))
}

func newRegisteredSite(t *testing.T) *registeredSite {
	site := startRegisteredSite(t, 3, 2)
	site.serve("i-a1", "a", "z0")
	site.serve("i-b2", "b", "z1")
	site.put(1)
	site.whole()
	return site
}

func TestRegisteredSiteServesFromEndToEnd(t *testing.T) {
	site := newRegisteredSite(t)
	sweep := site.ask(0, "/sweep/x", "r1")
	require.Equal(t, strings.Repeat("2", 16)+strings.Repeat("1", 16), sweep.body)
	require.ElementsMatch(t, []string{"stamp-i-a1", "stamp-i-b2"}, strings.Split(sweep.header.Get("X-Part-Stamps"), ", "))
	look := site.ask(1, "/look/x", "r2")
	require.Equal(t, "stamp-i-a1", look.header.Get("X-Server-Stamp"))
	// A router calls a route unknown once its document was confirmed lately, and refuses before:
	// 404 is final to clients, while one that can't be sure of the newest document answers 503.
	require.Eventually(t, func() bool {
		status := site.ask(0, "/none/", "r3").status
		require.Contains(t, []int{http.StatusNotFound, http.StatusServiceUnavailable}, status)
		return status == http.StatusNotFound
	}, 20*time.Second, 20*time.Millisecond)

	// A server that says it leaves gets nothing more once its replacement is there.
	site.serve("i-a3", "a", "z1")
	site.servers["i-a1"].say("draining")
	require.Eventually(t, func() bool {
		before := site.servers["i-a1"].served.Load()
		for range 5 {
			site.ask(0, "/look/x", "r4")
			site.ask(1, "/look/x", "r4")
		}
		return site.servers["i-a1"].served.Load() == before
	}, 20*time.Second, 20*time.Millisecond)

	// One of three control nodes is lost; changes still come into force.
	site.stops[0]()
	site.put(2)
	site.whole()
}

func TestOperationsPageFindsTheShardThatIsMissing(t *testing.T) {
	site := newRegisteredSite(t)
	site.servers["i-b2"].script(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
	require.Equal(t, "1", site.ask(0, "/sweep/x", "partial-1").header.Get("X-Missing-Parts"))
	site.explained("partial-1", "missing=1", "msg=part_missing", "service=b", "sent i-b2")
}

func TestOperationsPageFindsWhyARequestWasRefused(t *testing.T) {
	site := newRegisteredSite(t)
	site.servers["i-a1"].script(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	got := site.ask(0, "/look/x", "refused-1")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	site.explained("refused-1", "verdict=not_run", "ended i-a1 refused")
}

func TestOperationsPageFindsTheServerThatNeverAnswered(t *testing.T) {
	site := newRegisteredSite(t)
	// The control group has lost its leader and its quorum: what routers know goes
	// on to hold, and the logs still tell.
	site.stops[0]()
	site.stops[1]()
	site.servers["i-a1"].script(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
	require.Equal(t, http.StatusGatewayTimeout, site.ask(0, "/look/x", "silent-1").status)
	site.explained("silent-1", "reason=timeout", "verdict=may_have_run", "sent i-a1")
	for index := range site.gateways {
		require.Eventually(t, func() bool { return site.reportsLostDirectory(fmt.Sprint("g", index)) }, 10*time.Second, 20*time.Millisecond)
	}
}

// reportsLostDirectory reports whether a router's log says that its directory node is down, or
// that no node has a newer state.
func (s *registeredSite) reportsLostDirectory(router string) bool {
	for line := range strings.Lines(s.log.String()) {
		if strings.Contains(line, "node="+router) && (strings.Contains(line, "msg=directory_lost") || strings.Contains(line, "directory_stale")) {
			return true
		}
	}
	return false
}

func TestReaderOfTheLogThatStallsBlocksNothing(t *testing.T) {
	shut, open := io.Pipe()
	t.Cleanup(func() { _ = shut.Close() })
	sink := logging.NewSink(open, prometheus.NewRegistry())
	logger, err := logging.New(sink, "info")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		for range 20_000 {
			logger.Info("a line that nobody reads")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		require.Fail(t, "a log that is not read blocks its writers")
	}
}
