package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// site is a small deployment on loopback addresses that stand for machines.
type site struct {
	root      string
	program   string
	folder    string
	record    *record
	trouble   bool
	network   string
	control   []string
	gateways  []*gateway
	processes []*process
	heartbeat time.Duration

	serversMutex sync.Mutex
	servers      []*server
	host         byte

	mutex sync.Mutex
	// asks are the client attempts by their ids.
	asks map[string]*attempt
	// failed is set once the case could not run.
	failed atomic.Bool
}

// gateway is a machine that clients reach.
type gateway struct {
	*process
	zone    string
	address string
	ready   string
	// misses counts the questions in a row that got no 200.
	misses atomic.Int32
}

// Ports that all machines of a site share, as in a settings file of a deployment.
const (
	portFront   = 8104
	portControl = 8106
	portReady   = 8108
	portPeers   = 7380
	portMetrics = 19464
	portServers = 8080
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// fail ends the case as one that could not run.
func (s *site) fail(format string, arguments ...any) {
	if s.failed.Swap(true) {
		select {}
	}
	s.record.say("the case could not run: "+format, arguments...)
	s.end()
	os.Exit(exitNotRun)
}

// newSite finds free addresses.
func newSite(root, folder, recordPath string, trouble bool) *site {
	log, err := newRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	made := &site{
		root: root, program: filepath.Join(root, "target", "martenstage"), folder: folder, record: log, trouble: trouble,
		heartbeat: 1200 * time.Millisecond, host: 100, asks: map[string]*attempt{},
	}
	for try := range 50 {
		candidate := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(250)+1)
		if free(candidate+"1", portControl, portPeers, portMetrics) && free(candidate+"21", portFront, portReady, portPeers, portMetrics) && free(candidate+"101", portServers) {
			made.network = candidate
			break
		}
		if try == 49 {
			made.fail("no free addresses")
		}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		made.fail("it was stopped")
	}()
	return made
}

func free(host string, ports ...int) bool {
	for _, port := range ports {
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// startDirectories starts the nodes of the core.
func (s *site) startDirectories(count, losses int) {
	var seeds []string
	for number := range count {
		s.control = append(s.control, fmt.Sprintf("%s%d:%d", s.network, number+1, portControl))
	}
	for _, address := range s.control[:min(3, count)] {
		seeds = append(seeds, fmt.Sprintf("%q", address))
	}
	for number := range count {
		ip := fmt.Sprintf("%s%d", s.network, number+1)
		data := filepath.Join(s.folder, fmt.Sprintf("data-%d", number+1))
		s.newProcess(fmt.Sprintf("core-%d", number+1), "directory", strings.Join([]string{
			fmt.Sprintf("name: \"core-%d\"", number+1),
			fmt.Sprintf("control-listen: \"%s:%d\"", ip, portControl),
			fmt.Sprintf("peer-listen: \"%s:%d\"", ip, portPeers),
			"seeds: [" + strings.Join(seeds, ", ") + "]",
			fmt.Sprintf("peer-port: %d", portPeers),
			fmt.Sprintf("data-folder: %q", data),
			"bootstrap: true",
			fmt.Sprintf("losses: %d", losses),
			"heartbeat-interval: 1200ms",
			"stop-limit: 6s",
			fmt.Sprintf("metrics-listen: \"%s:%d\"", ip, portMetrics),
		}, "\n")+"\n").start()
	}
}

// startGateways starts a router in each of the named zones.
func (s *site) startGateways(zones ...string) {
	var seeds []string
	for _, address := range s.control[:min(3, len(s.control))] {
		seeds = append(seeds, fmt.Sprintf("%q", address))
	}
	for number, zone := range zones {
		ip := fmt.Sprintf("%s%d", s.network, 21+number)
		name := fmt.Sprintf("front-%s-%d", zone, number+1)
		started := &gateway{zone: zone, address: fmt.Sprintf("%s:%d", ip, portFront), ready: fmt.Sprintf("%s:%d", ip, portReady)}
		started.process = s.newProcess(name, "gateway", strings.Join([]string{
			fmt.Sprintf("name: %q", name),
			fmt.Sprintf("zone: %q", zone),
			fmt.Sprintf("clients-listen: %q", started.address),
			fmt.Sprintf("ready-listen: %q", started.ready),
			"seeds: [" + strings.Join(seeds, ", ") + "]",
			fmt.Sprintf("peer-port: %d", portPeers),
			fmt.Sprintf("peer-listen: \"%s:%d\"", ip, portPeers),
			"stop-limit: 6s",
			"extra-ratio: 0.2",
			"extra-slack: 56",
			"extra-window: 10s",
			"revoke-within: 0ms",
			fmt.Sprintf("metrics-listen: \"%s:%d\"", ip, portMetrics),
		}, "\n")+"\n")
		started.misses.Store(2)
		started.start()
		s.gateways = append(s.gateways, started)
		go started.watch()
	}
}

// watch asks a gateway each second whether it is ready, as the platform does.
func (g *gateway) watch() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get("http://" + g.ready + "/-/ready")
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			g.misses.Store(0)
		} else {
			g.misses.Add(1)
		}
		time.Sleep(time.Second)
	}
}

// entry returns the gateway that the platform passes a new connection to.
func (s *site) entry() *gateway {
	var in []*gateway
	for _, each := range s.gateways {
		if each.misses.Load() < 2 {
			in = append(in, each)
		}
	}
	if len(in) == 0 {
		in = s.gateways
	}
	return in[rand.IntN(len(in))]
}

// nextAddress returns the address of a new server.
func (s *site) nextAddress() string {
	s.serversMutex.Lock()
	defer s.serversMutex.Unlock()
	s.host++
	return fmt.Sprintf("%s%d:%d", s.network, s.host, portServers)
}

func (s *site) newID(prefix string) string { return fmt.Sprintf("%s%08x", prefix, rand.Uint32()) }

// callControl calls nodes that serve control, one after the other, until one answers with a
// 2xx. It returns the status and the body of the last answer; 0 for none.
func (s *site) callControl(method, path string, body []byte, rounds int) (status int, answer []byte) {
	first := rand.IntN(len(s.control))
	for attempt := range rounds * len(s.control) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, method, "http://"+s.control[(first+attempt)%len(s.control)]+path, bytes.NewReader(body))
		if err != nil {
			cancel()
			return 0, nil
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := controlClient.Do(request)
		if err == nil {
			status = response.StatusCode
			answer, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		cancel()
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, answer
		}
		time.Sleep(time.Duration(20+10*attempt) * time.Millisecond)
	}
	return status, answer
}

var controlClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

// configure puts a configuration until it is acknowledged.
func (s *site) configure(document map[string]any) {
	body, err := json.Marshal(document)
	if err != nil {
		s.fail("%v", err)
	}
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); {
		status, answer := s.callControl("POST", "/-/config/put", body, 1)
		if status == http.StatusOK {
			s.record.note("configuration %v acknowledged", document["version"])
			return
		}
		if status >= 400 && status < 500 {
			s.fail("the configuration is refused: %d %s", status, answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.fail("the configuration is not acknowledged")
}

// awaitReady waits until all gateways are ready.
func (s *site) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, each := range s.gateways {
			ready = ready && each.misses.Load() == 0
		}
		if ready {
			s.record.say("all gateways are ready")
			return
		}
	}
	s.fail("the gateways do not become ready")
}

// end ends all processes and removes the folder.
func (s *site) end() {
	for _, each := range s.processes {
		each.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs:", s.folder)
	}
	s.record.close()
}

// seen records that a request has reached a server, or is run by it.
func (s *site) seen(id string, request *http.Request, at *server, run bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	asked, known := s.asks[id]
	if !known {
		s.record.note("server %s gets %s, which no client sent", at.id, id)
		return
	}
	if run {
		asked.runs = append(asked.runs, at.id)
		return
	}
	asked.arrivals = append(asked.arrivals, at)
}
