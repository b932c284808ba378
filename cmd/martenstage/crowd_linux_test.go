package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/proof/testaddress"
)

// Limits of the processes of a crowd's site, and the bounds that are checked.
const (
	crowdRouterMemory    = 96 << 20
	crowdDirectoryMemory = 128 << 20
	crowdDescriptors     = 256
	// crowdSpareDescriptors must be left while the crowd is there.
	crowdSpareDescriptors = 64
	// crowdTries is how often the ordinary client sends its request, crowdPause apart.
	crowdTries = 5
	crowdPause = 500 * time.Millisecond
)

const crowdDocument = `{"version":1,"routes":[
 {"name":"look","host":"h","path_prefix":"/look/","type":"idempotent","timeout_ms":20000,"target_ms":100,"backend":"a","max_attempts":2}],
 "services":[{"name":"a","health_path":"/health","max_conns":40}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":60000,"idle_timeout_ms":60000}}`

// crowdSite is a directory node and a router, each a process of its own with lowered limits, and a
// server that answers only what its path says.
type crowdSite struct {
	t         *testing.T
	node      *exec.Cmd
	router    *exec.Cmd
	control   string
	peers     string
	clients   string
	ready     string
	metrics   string
	logs      bytes.Buffer
	logsMutex sync.Mutex
}

func (s *crowdSite) Write(text []byte) (int, error) {
	s.logsMutex.Lock()
	defer s.logsMutex.Unlock()
	return s.logs.Write(text)
}

func startCrowdSite(t *testing.T) *crowdSite {
	address := func() string { return testaddress.Next().String() }
	s := &crowdSite{t: t, control: address(), peers: address(), clients: address(), ready: address(), metrics: address()}
	folder := t.TempDir()
	s.node = s.start("directory", "--name", "n1", "--control-listen", s.control, "--peer-listen", s.peers, "--seed", s.peers,
		"--data-folder", filepath.Join(folder, "data"), "--bootstrap", "--losses", "0", "--memory-limit", strconv.Itoa(crowdDirectoryMemory))
	s.router = s.start("gateway", "--name", "r1", "--clients-listen", s.clients, "--ready-listen", s.ready, "--metrics-listen", s.metrics,
		"--seed", s.peers, "--memory-limit", strconv.Itoa(crowdRouterMemory))
	t.Cleanup(func() {
		if t.Failed() {
			text := s.logs.String()
			t.Log(text[max(0, len(text)-4000):])
		}
	})
	s.startServer()
	require.Eventually(t, func() bool { return s.post("/-/config/put", crowdDocument) }, 30*time.Second, 50*time.Millisecond)
	require.Eventually(t, func() bool { return s.statusOf("/look/", nil) == http.StatusOK }, 30*time.Second, 50*time.Millisecond)
	return s
}

// start starts a process that may open few descriptors.
func (s *crowdSite) start(arguments ...string) *exec.Cmd {
	program, err := buildOnce()
	require.NoError(s.t, err)
	script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, crowdDescriptors)
	command := exec.Command("sh", append([]string{"-c", script, program}, arguments...)...)
	command.Stdout, command.Stderr = s, s
	require.NoError(s.t, command.Start())
	s.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

// startServer starts a server whose requests under /look/silent/ are never answered.
func (s *crowdSite) startServer() {
	ended := make(chan struct{})
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(s.t, err)
	server := &http.Server{MaxHeaderBytes: 1 << 20, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Server-Stamp", "stamp")
		writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		writer.Header().Set("X-Instance-Id", "i-a")
		if strings.HasPrefix(request.URL.Path, "/look/silent/") {
			<-ended
		}
	})}
	go func() { _ = server.Serve(listener) }()
	var beating sync.WaitGroup
	beating.Go(func() {
		for sequence := 1; ; sequence++ {
			s.post("/-/instances/i-a/heartbeat", fmt.Sprintf(
				`{"backend":"a","addr":%q,"zone":"default","version":"v1","slots":500,"state":"ready","warmup_left_ms":0,"seq":%d}`, listener.Addr(), sequence))
			select {
			case <-time.After(500 * time.Millisecond):
			case <-ended:
				return
			}
		}
	})
	s.t.Cleanup(func() {
		close(ended)
		beating.Wait()
		_ = server.Close()
	})
}

var crowdClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (s *crowdSite) post(path, body string) bool {
	response, err := crowdClient.Post("http://"+s.control+path, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// statusOf sends an ordinary request of a client and returns its status, 0 for none.
func (s *crowdSite) statusOf(path string, header http.Header) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+s.clients+path, nil)
	require.NoError(s.t, err)
	request.Host = "h"
	request.Header.Set("X-Request-Id", "ordinary")
	request.Header.Set("X-Deadline-Ms", "4000")
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := crowdClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// crowd opens connections that each send a text, and keeps them open until the test ends.
func (s *crowdSite) crowd(address string, count int, text []byte) {
	var sending sync.WaitGroup
	for range count {
		conn, err := net.DialTimeout("tcp4", address, 10*time.Second)
		if err != nil {
			continue // The process refuses further connections.
		}
		s.t.Cleanup(func() { _ = conn.Close() })
		sending.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
			_, _ = conn.Write(text)
		})
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	sending.Wait()
	// The process may still be reading.
	time.Sleep(time.Second)
}

// requireSound checks that both processes live within their limits and an ordinary request is
// answered.
func (s *crowdSite) requireSound() {
	s.t.Helper()
	s.requireWithin(s.router, crowdRouterMemory)
	s.requireWithin(s.node, crowdDirectoryMemory)
	status := 0
	for range crowdTries {
		if status = s.statusOf("/look/", nil); status == http.StatusOK {
			break
		}
		time.Sleep(crowdPause)
	}
	require.Equal(s.t, http.StatusOK, status, "an ordinary request")
	response, err := crowdClient.Get("http://" + s.control + "/-/config/get")
	require.NoError(s.t, err, "the operator reads the document")
	require.NoError(s.t, response.Body.Close())
	require.Equal(s.t, http.StatusOK, response.StatusCode)
	s.requireWithin(s.router, crowdRouterMemory)
	s.requireWithin(s.node, crowdDirectoryMemory)
}

var crowdPeak = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// requireWithin checks that a process lives and what it has taken.
func (s *crowdSite) requireWithin(process *exec.Cmd, memory int) {
	s.t.Helper()
	folder := filepath.Join("/proc", strconv.Itoa(process.Process.Pid))
	text, err := os.ReadFile(filepath.Join(folder, "status"))
	require.NoError(s.t, err)
	found := crowdPeak.FindSubmatch(text)
	require.NotNil(s.t, found, "the process has ended")
	peak, err := strconv.Atoi(string(found[1]))
	require.NoError(s.t, err)
	require.LessOrEqual(s.t, peak<<10, memory, "peak memory of %s, bytes", process.Args[4])
	open, err := os.ReadDir(filepath.Join(folder, "fd"))
	require.NoError(s.t, err)
	require.LessOrEqual(s.t, len(open), crowdDescriptors-crowdSpareDescriptors, "open descriptors of %s", process.Args[4])
	s.t.Logf("%s: peak %d MiB, %d descriptors", process.Args[4], peak>>10, len(open))
}

// distinctLines returns header lines of a few bytes with distinct names.
func distinctLines(count int, end string) string {
	var lines strings.Builder
	for number := range count {
		fmt.Fprintf(&lines, "a%03x%s\r\n", number, end)
	}
	return lines.String()
}

const crowdHead = "GET /look/silent/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 20000\r\n"

func postHead(length int) string {
	return fmt.Sprintf("POST /look/silent/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n", length)
}

func TestRouterOutlivesHeadsWithoutEnd(t *testing.T) {
	s := startCrowdSite(t)
	s.crowd(s.clients, 400, []byte(crowdHead+distinctLines(60<<10/7, ":")))
	s.requireSound()
}

func TestRouterOutlivesLegalHeadsOfManyLines(t *testing.T) {
	s := startCrowdSite(t)
	s.crowd(s.clients, 400, []byte(crowdHead+distinctLines(15<<10/8, ": ")+"\r\n"))
	s.requireSound()
}

func TestRouterOutlivesEmptyLinesWithoutEnd(t *testing.T) {
	s := startCrowdSite(t)
	s.crowd(s.clients, 400, bytes.Repeat([]byte("\r\n"), 32<<10))
	s.requireSound()
}

func TestRouterOutlivesLargeBodiesThatStopShort(t *testing.T) {
	s := startCrowdSite(t)
	s.crowd(s.clients, 400, append([]byte(postHead(262144)), make([]byte, 262143)...))
	s.requireSound()
}

func TestRouterServesBesideSmallBodiesThatStopShort(t *testing.T) {
	s := startCrowdSite(t)
	s.crowd(s.clients, 2100, append([]byte(postHead(1000)), make([]byte, 999)...))
	s.requireSound()
}

func TestRouterServesBesideIdleConnections(t *testing.T) {
	s := startCrowdSite(t)
	s.crowd(s.clients, 400, nil)
	s.requireSound()
}

func TestRouterOutlivesHeadsWithoutEndAtReadiness(t *testing.T) {
	s := startCrowdSite(t)
	s.crowd(s.ready, 400, []byte("GET /-/ready HTTP/1.1\r\nHost: h\r\n"+distinctLines(60<<10/7, ":")))
	s.requireSound()
}

func TestRouterOutlivesHeadsWithoutEndAtMetrics(t *testing.T) {
	s := startCrowdSite(t)
	s.crowd(s.metrics, 400, []byte("GET /metrics HTTP/1.1\r\nHost: h\r\n"+distinctLines(60<<10/7, ":")))
	s.requireSound()
}

func TestDirectoryOutlivesHeadsWithoutEnd(t *testing.T) {
	s := startCrowdSite(t)
	s.crowd(s.control, 400, []byte("POST /-/instances/x/heartbeat HTTP/1.1\r\nHost: h\r\n"+distinctLines(60<<10/7, ":")))
	s.requireSound()
}

func TestDirectoryOutlivesHeadsWithoutEndOfPeers(t *testing.T) {
	s := startCrowdSite(t)
	s.crowd(s.peers, 400, []byte("POST /directory/follow HTTP/1.1\r\nHost: h\r\n"+distinctLines(60<<10/7, ":")))
	s.requireSound()
}

func TestDirectoryOutlivesDocumentsThatStopShort(t *testing.T) {
	s := startCrowdSite(t)
	const size = 8 << 20
	head := fmt.Sprintf("POST /-/config/put HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	s.crowd(s.control, 40, append([]byte(head), bytes.Repeat([]byte{' '}, size-1)...))
	s.requireSound()
}

// TestSingleLegalRequestsAreServed checks that none of the limits meets a client that keeps within
// those of the document.
func TestSingleLegalRequestsAreServed(t *testing.T) {
	s := startCrowdSite(t)
	conn, err := net.Dial("tcp4", s.clients)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	head := "GET /look/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: legal\r\nX-Deadline-Ms: 10000\r\nConnection: close\r\n"
	head += distinctLines((16384-len(head)-2)/7, ":") + "\r\n"
	require.LessOrEqual(t, len(head), 16384)
	_, err = io.WriteString(conn, head)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.True(t, bytes.HasPrefix(answer, []byte("HTTP/1.1 200 ")), "%.200q", answer)
	body := append([]byte(strings.ReplaceAll(postHead(262144), "/silent", "")), make([]byte, 262144)...)
	second, err := net.Dial("tcp4", s.clients)
	require.NoError(t, err)
	defer func() { _ = second.Close() }()
	_, err = second.Write(body)
	require.NoError(t, err)
	status := make([]byte, len("HTTP/1.1 200 "))
	_, err = io.ReadFull(second, status)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200 ", string(status))
}
