package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes; each machine has its own loopback address.
const (
	controlPort = 8106
	clientPort  = 8104
	readyPort   = 8108
	peerPort    = 7380
	metricsPort = 19464
	serverPort  = 8326
)

// coreNodes is the number of directory nodes; the first three are the seeds.
const coreNodes = 5

// process is a started process with what it writes.
type process struct {
	name    string
	command *exec.Cmd
	stdin   io.WriteCloser
	done    chan struct{}
}

// signal sends a signal; the process may have ended.
func (p *process) signal(number syscall.Signal) { _ = p.command.Process.Signal(number) }

// site runs the program's processes on one machine, on loopback addresses that stand for machines.
type site struct {
	program  string
	folder   string
	network  string
	record   *record
	controls []string
	fronts   []string
	mutex    sync.Mutex
	started  []*process
	notes    chan note
	// roles are the processes of the program, which may be killed and started again.
	roles []*role
}

// role is one process of the program: what starts it again with its settings.
type role struct {
	kind, name string
	settings   map[string]any
	process    *process
}

// newSite chooses a network of free addresses and a temporary folder.
func newSite(program string, record *record) (*site, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{program: program, folder: folder, record: record, notes: make(chan note, 1<<16)}
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d", 40+rand.IntN(150), rand.IntN(250))
		if s.networkIsFree() {
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free addresses")
}

func (s *site) networkIsFree() bool {
	for _, port := range []int{controlPort, clientPort, readyPort, peerPort, metricsPort, serverPort} {
		for _, machine := range []int{1, 2, 3, 4, 5, 11, 12, 13, 21, 22, 23} {
			listener, err := net.Listen("tcp4", s.address(machine, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (s *site) address(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", s.network, machine, port)
}

// start starts a process. Its output goes to a file in the folder, or to lines.
func (s *site) start(name string, lines func(string), path string, arguments ...string) (*process, error) {
	command := exec.Command(path, arguments...)
	stdin, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command.Stderr = log
	var stdout io.ReadCloser
	if lines == nil {
		command.Stdout = log
	} else if stdout, err = command.StdoutPipe(); err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	started := &process{name: name, command: command, stdin: stdin, done: make(chan struct{})}
	s.mutex.Lock()
	s.started = append(s.started, started)
	s.mutex.Unlock()
	go func() {
		if stdout != nil {
			scanner := bufio.NewScanner(stdout)
			for scanner.Scan() {
				lines(scanner.Text())
			}
		}
		_ = command.Wait()
		_ = log.Close()
		close(started.done)
	}()
	return started, nil
}

// stop ends all processes that were started.
func (s *site) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, started := range s.started {
		_ = started.stdin.Close()
		started.signal(syscall.SIGCONT)
		started.signal(syscall.SIGKILL)
	}
	for _, started := range s.started {
		<-started.done
	}
	_ = os.RemoveAll(s.folder)
}

// startCore starts five directory nodes, and startFronts routers, with the settings that the
// templates of the deploy file give them.
func (s *site) startCore() error {
	for machine := 1; machine <= coreNodes; machine++ {
		s.controls = append(s.controls, s.address(machine, controlPort))
	}
	seeds := s.controls[:3]
	for machine := 1; machine <= coreNodes; machine++ {
		name := fmt.Sprintf("core-%d", machine)
		settings := map[string]any{
			"name": name, "control-listen": s.address(machine, controlPort), "peer-listen": s.address(machine, peerPort),
			"seeds": seeds, "peer-port": peerPort, "data-folder": filepath.Join(s.folder, name), "bootstrap": true, "losses": 2,
			"heartbeat-interval": "1200ms", "stop-limit": "6s", "metrics-listen": s.address(machine, metricsPort),
		}
		if err := s.startRole("directory", name, settings); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) startFronts(zones []string) error {
	for index, zone := range zones {
		machine, name := 11+index, fmt.Sprintf("front-%d", index+1)
		settings := map[string]any{
			"name": name, "zone": zone, "clients-listen": s.address(machine, clientPort), "ready-listen": s.address(machine, readyPort),
			"seeds": s.controls[:3], "peer-port": peerPort, "stop-limit": "6s", "extra-ratio": 0.2, "extra-slack": 56,
			"peer-listen": s.address(machine, peerPort), "extra-window": "10s", "metrics-listen": s.address(machine, metricsPort),
			"revoke-within": "0ms",
		}
		if err := s.startRole("gateway", name, settings); err != nil {
			return err
		}
		s.fronts = append(s.fronts, s.address(machine, clientPort))
	}
	return nil
}

// startRole starts a process of the program.
func (s *site) startRole(kind, name string, settings map[string]any) error {
	started := &role{kind: kind, name: name, settings: settings}
	s.roles = append(s.roles, started)
	return s.startAgain(started)
}

// startAgain writes the settings, which are YAML since JSON is, and starts the process.
func (s *site) startAgain(r *role) error {
	text, err := json.Marshal(r.settings)
	if err != nil {
		return err
	}
	path := filepath.Join(s.folder, r.name+".yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	r.process, err = s.start(r.name, nil, s.program, r.kind, "--settings", path)
	return err
}

// killAll kills all processes of the program at once and starts them again after a pause, with
// their data folders as they were.
func (s *site) killAll(pause time.Duration) error {
	for _, r := range s.roles {
		r.process.signal(syscall.SIGKILL)
	}
	s.record.add("all processes of the program are killed")
	for _, r := range s.roles {
		<-r.process.done
	}
	time.Sleep(pause)
	for _, r := range s.roles {
		if _, given := r.settings["bootstrap"]; given {
			r.settings["bootstrap"] = false
		}
		if err := s.startAgain(r); err != nil {
			return err
		}
	}
	s.record.add("all processes of the program are started again")
	return nil
}

// startServer starts one server in a process of its own.
func (s *site) startServer(options serverOptions) (*process, error) {
	options.Controls, options.Heartbeat = s.controls, 1200*time.Millisecond
	text, err := json.Marshal(options)
	if err != nil {
		return nil, err
	}
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return s.start(options.ID, func(line string) {
		var told note
		if json.Unmarshal([]byte(line), &told) != nil {
			return
		}
		s.record.add("server %s %s %s %s", told.Server, told.Event, told.ID, told.Path)
		select {
		case s.notes <- told:
		default:
		}
	}, own, "server", string(text))
}

// put sends a configuration to any node until it is acknowledged.
func (s *site) put(text string, within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end, node := time.Now().Add(within), 0; time.Now().Before(end); node++ {
		response, err := client.Post("http://"+s.controls[node%len(s.controls)]+"/-/config/put", "application/json", strings.NewReader(text))
		if err == nil {
			answer, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.record.add("operator: configuration acknowledged by %s", s.controls[node%len(s.controls)])
				return nil
			}
			err = fmt.Errorf("%d %s", response.StatusCode, bytes.TrimSpace(answer))
		}
		s.record.add("operator: configuration not acknowledged: %v", err)
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged")
}

// awaitReady waits until all routers say that they are ready.
func (s *site) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for index := range s.fronts {
			response, err := client.Get("http://" + s.address(11+index, readyPort) + "/-/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.fronts) {
			return nil
		}
	}
	return fmt.Errorf("the routers are not ready")
}
