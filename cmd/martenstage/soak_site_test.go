package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/proof/testaddress"
)

// Size of the site of a soak.
const (
	soakCopies = 2
	// soakGrace is the routers' stop limit.
	soakGrace = 3 * time.Second
	// soakKillGrace is what a stop may take longer before it counts as hung.
	soakKillGrace = 2 * time.Second
)

// soakProcess is one process of the system, which can be started again.
type soakProcess struct {
	name      string
	arguments []string
	log       *os.File
	mutex     sync.Mutex
	command   *exec.Cmd
	ended     chan struct{}
	// starts counts the incarnations.
	starts atomic.Int64
	// logged is the size of the log when the newest one began.
	logged atomic.Int64
	// begun is when the newest one began; ending is set while a fault ends it, and ownEnd says
	// how one ended otherwise; nil for none.
	begun  atomic.Int64
	ending atomic.Bool
	ownEnd atomic.Pointer[string]
	// hungUp is when the last SIGHUP was sent, Unix ns; 0 for never.
	hungUp atomic.Int64
	// taken is held by the fault that ends or freezes it, so that no two do at a time.
	taken sync.Mutex
}

// take keeps other faults from ending or freezing processes, which are named in one order,
// until release is called.
func take(processes ...*soakProcess) (release func()) {
	for _, process := range processes {
		process.taken.Lock()
	}
	return func() {
		for _, process := range processes {
			process.taken.Unlock()
		}
	}
}

// buildSoakProgram builds the program with faults of disks.
var buildSoakProgram = sync.OnceValues(func() (program string, err error) {
	program = filepath.Join(buildFolder, "martenstage-storagefaults")
	output, err := exec.Command("go", "build", "-tags", "storagefaults", "-o", program, ".").CombinedOutput()
	return program, errors.Wrapf(err, "go build: %s", output)
})

func (p *soakProcess) start(t testing.TB) {
	program, err := buildSoakProgram()
	require.NoError(t, err)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.logged.Store(p.logSize(t))
	p.command = exec.Command(program, p.arguments...)
	p.command.Env = append(os.Environ(), "MARTENSTAGE_STORAGE_FAULTS="+p.diskFaults())
	p.command.Stdout, p.command.Stderr = p.log, p.log
	require.NoError(t, p.command.Start())
	p.starts.Add(1)
	p.begun.Store(time.Now().UnixNano())
	p.ending.Store(false)
	p.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait() // The state tells how it ended.
		if !p.ending.Load() {
			how := fmt.Sprintf("%s, %s after its start, last hung up %s after it", command.ProcessState,
				time.Since(time.Unix(0, p.begun.Load())), time.Duration(p.hungUp.Load()-p.begun.Load()))
			p.ownEnd.Store(&how)
		}
		close(ended)
	}(p.command, p.ended)
}

func (p *soakProcess) logSize(t testing.TB) int64 {
	info, err := p.log.Stat()
	require.NoError(t, err)
	return info.Size()
}

// hasLogged reports whether the process has written a line since its start.
func (p *soakProcess) hasLogged() bool {
	info, err := p.log.Stat()
	return err == nil && info.Size() > p.logged.Load()
}

// diskFaults is the file that says what is wrong with the process's disk.
func (p *soakProcess) diskFaults() string { return p.log.Name() + ".disk" }

// signal sends a signal to the process that this one started.
func (p *soakProcess) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_ = p.command.Process.Signal(signal)
}

// kill ends the process at once and waits for it.
func (p *soakProcess) kill() {
	p.ending.Store(true)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// stop ends it as planned; whether it did so within a time. If not, its log tells where it hangs.
func (p *soakProcess) stop(within time.Duration) bool {
	p.ending.Store(true)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		p.dumpStacks()
		p.kill()
		return false
	}
}

// dumpStacks has the process write the stacks of its goroutines to its log and end.
func (p *soakProcess) dumpStacks() {
	p.signal(syscall.SIGQUIT)
	select {
	case <-p.ended:
	case <-time.After(soakKillGrace):
	}
}

// soakSite is real processes with stand-ins of servers, clients and operator.
type soakSite struct {
	t       testing.TB
	folder  string
	control []string
	clients []string
	nodes   []*soakProcess
	routers []*soakProcess
	records soakRecords
	mutex   sync.Mutex
	servers map[string][]*soakServer
	started int
	acked   atomic.Int64
	// ackTimes is when each version was acknowledged.
	ackTimes sync.Map
	// storage is held by a fault of one disk until the group is whole again: with another disk lost
	// meanwhile it would have lost more than it has to bear.
	storage sync.Mutex
	// proposed is the highest version that the operator sent.
	proposed atomic.Int64
	// document is that of all versions.
	document string
}

func startSoakSite(t *testing.T) *soakSite {
	site := &soakSite{t: t, folder: t.TempDir(), document: soakDocument, servers: map[string][]*soakServer{}, records: soakRecords{reached: map[string]bool{}}}
	peers := testaddress.List(*soakNodes)
	var seeds []string
	for _, peer := range peers {
		seeds = append(slices.Clone(seeds), "--seed", peer)
	}
	for index := range *soakNodes {
		control := testaddress.Next().String()
		site.control = append(site.control, control)
		site.nodes = append(site.nodes, site.process(fmt.Sprint("d", index), "directory",
			append(slices.Clone(seeds), "--control-listen", control, "--peer-listen", peers[index], "--bootstrap",
				"--data-folder", site.dataFolder(index), "--losses", "1", "--heartbeat-interval", soakHeartbeat.String())...))
	}
	for index := range *soakRouters {
		clients := testaddress.Next().String()
		site.clients = append(site.clients, clients)
		site.routers = append(site.routers, site.process(fmt.Sprint("g", index), "gateway",
			append(slices.Clone(seeds), "--zone", fmt.Sprint("z", index), "--clients-listen", clients, "--ready-listen", testaddress.Next().String(),
				"--peer-listen", testaddress.Next().String(), "--stop-limit", soakGrace.String(),
				"--extra-ratio", fmt.Sprint(soakRatio), "--extra-slack", fmt.Sprint(soakSlack), "--extra-window", soakWindow.String())...))
	}
	for _, process := range append(site.nodes, site.routers...) {
		process.start(t)
	}
	t.Cleanup(func() {
		site.close()
		if t.Failed() {
			site.keepLogs()
		}
	})
	for _, service := range soakShards {
		for range soakCopies {
			site.addServer(service)
		}
	}
	if *soakLanes > soakDemandLane {
		for range soakCopies {
			site.addServer(soakDemandService)
		}
	}
	return site
}

func (s *soakSite) dataFolder(index int) string {
	return filepath.Join(s.folder, fmt.Sprint("data-", index))
}

func (s *soakSite) process(name, role string, arguments ...string) *soakProcess {
	log, err := os.Create(filepath.Join(s.folder, name+".log"))
	require.NoError(s.t, err)
	return &soakProcess{name: name, log: log, arguments: append([]string{role, "--name", name}, arguments...)}
}

func (s *soakSite) close() {
	for _, process := range append(s.nodes, s.routers...) {
		process.kill()
		_ = process.log.Close()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, servers := range s.servers {
		for _, server := range servers {
			server.stop()
		}
	}
}

// nextNumber returns that of a new server.
func (s *soakSite) nextNumber() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.started++
	return s.started - 1
}

func (s *soakSite) addServer(service string) {
	added := s.startServer(service, s.nextNumber())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.servers[service] = append(s.servers[service], added)
}

// takeServer removes the oldest server of a service from the list and returns it.
func (s *soakSite) takeServer(service string) *soakServer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := s.servers[service][0]
	s.servers[service] = s.servers[service][1:]
	return taken
}

// server returns one of the servers of a service.
func (s *soakSite) server(service string, pick int) *soakServer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	servers := s.servers[service]
	return servers[pick%len(servers)]
}

// allServers returns the servers of a service.
func (s *soakSite) allServers(service string) []*soakServer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.servers[service])
}

const soakDocument = `{"version":%[1]d,"routes":[
 {"name":"sweep","host":"h","path_prefix":"/sweep/","type":"idempotent","timeout_ms":1200,"target_ms":100,"gather":["a","b","c"],"max_attempts":2,"limit":3,"min_ratio":0.3},
 {"name":"look","host":"h","path_prefix":"/look/","type":"idempotent","timeout_ms":1200,"target_ms":100,"backend":"a","max_attempts":2},
 {"name":"once","host":"h","path_prefix":"/once/","type":"non_idempotent","timeout_ms":1200,"target_ms":100,"backend":"b","max_attempts":2},
 {"name":"version","host":"h","path_prefix":"/version/%[1]d/","type":"idempotent","timeout_ms":1200,"target_ms":100,"backend":"c","max_attempts":2}],
 "services":[{"name":"a","health_path":"/health","max_conns":40},{"name":"b","health_path":"/health","max_conns":40},{"name":"c","health_path":"/health","max_conns":40}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

var soakOperator = &http.Client{Timeout: 2 * time.Second}

// putNext gives the next version to the nodes, from one on, until one takes it or
// each was asked. An order without an answer may be in force or not.
func (s *soakSite) putNext(first int) bool {
	version := s.proposed.Add(1)
	body := withDemand(fmt.Sprintf(s.document, version))
	for offset := range *soakNodes {
		node := s.control[(first+offset)%*soakNodes]
		response, err := soakOperator.Post("http://"+node+"/-/config/put", "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			s.ackTimes.Store(version, time.Now())
			s.acked.Store(version)
			return true
		}
	}
	return false
}

// ackedAt returns when a version was acknowledged; the present for one that was not.
func (s *soakSite) ackedAt(version int64) time.Time {
	if at, known := s.ackTimes.Load(version); known {
		return at.(time.Time)
	}
	return time.Now()
}

// read asks a node for the newest document and notes the version that it gave.
func (s *soakSite) read(node int) (version int, ok bool) {
	acked := int(s.acked.Load())
	response, err := soakOperator.Get("http://" + s.control[node] + "/-/config/get")
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, false
	}
	if _, err := fmt.Sscanf(string(bytes.TrimSpace(text)), `{"version":%d,`, &version); err != nil {
		require.NoError(s.t, err, "a document that is not the operator's: %.80s", text)
	}
	s.records.note(func(records *soakRecords) { records.reads = append(records.reads, soakRead{version, acked}) })
	return version, true
}
