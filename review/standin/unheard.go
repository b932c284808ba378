package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Sizes of the case.
const (
	steadyServers   = 6
	restartingOnes  = 4
	lookupRate      = 60.0
	drainTime       = 3 * time.Second
	beatDelay       = 3 * time.Second
	leavesAfter     = 1500 * time.Millisecond
	servesLonger    = 7 * time.Second
	downTime        = time.Second
	betweenRestarts = 6 * time.Second
)

// restarting is a server that keeps its id over restarts.
type restarting struct {
	site    *site
	service *service
	id      string
	address string
	zone    string
}

// start starts the server anew; its heartbeats are left to the caller.
func (r *restarting) start() *server {
	started := &server{site: r.site, service: r.service, id: r.id, address: r.address, zone: r.zone, conns: map[net.Conn]bool{}, stop: make(chan struct{}), born: time.Now().UnixMilli()}
	started.setSlowness(1)
	started.listen()
	r.site.record.note("server %s starts, born %d", r.id, started.born)
	return started
}

// heartbeat sends a heartbeat that arrives after a delay.
func (v *server) heartbeat(sequence int, delay time.Duration) {
	body, _ := json.Marshal(map[string]any{
		"backend": v.service.name, "addr": v.address, "zone": v.zone, "version": "v1", "slots": v.service.slots,
		"state": "ready", "warmup_left_ms": 0, "seq": sequence, "born": v.born,
	})
	v.site.record.note("server %s, born %d, sends heartbeat %d, which arrives %.1f s later", v.id, v.born, sequence, delay.Seconds())
	time.AfterFunc(delay, func() {
		status, _ := v.site.callControl("POST", "/-/instances/"+v.id+"/heartbeat", body, 2)
		v.site.record.note("heartbeat %d of server %s, born %d, gets %d", sequence, v.id, v.born, status)
	})
}

// unheard plays servers that restart under their ids and soon leave again, without having said
// that they drain. The heartbeats of the second start arrive late.
func unheard(s *site) bool {
	s.startDirectories(5, 2)
	s.startGateways("silom", "bangna")
	lookups := &service{name: "lookup", slots: 2, queue: 8, reply: records(20), work: func(string) time.Duration { return around(60*time.Millisecond, 0.5) }}
	for number := range steadyServers {
		s.startServer(lookups, s.nextAddress(), []string{"silom", "bangna"}[number%2])
	}
	var keeping []*restarting
	var first []*server
	for number := range restartingOnes {
		kept := &restarting{site: s, service: lookups, id: s.newID("i-"), address: s.nextAddress(), zone: []string{"silom", "bangna"}[number%2]}
		keeping = append(keeping, kept)
		begun := kept.start()
		first = append(first, begun)
		go begun.beat()
	}
	host := "desks.example"
	s.configure(map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "lookup", "host": host, "path_prefix": "/lookup/", "type": "idempotent", "timeout_ms": 6000, "target_ms": 400, "priority": 1, "backend": "lookup", "max_attempts": 2},
		},
		"services": []map[string]any{{"name": "lookup", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.awaitReady()
	time.Sleep(2 * time.Second)
	users := &clients{site: s}
	until := time.Now().Add(restartingOnes*betweenRestarts + drainTime + servesLonger)
	var asking sync.WaitGroup
	asking.Add(1)
	go users.load(&class{
		name: "lookup", method: "GET", host: host, idempotent: true, deadline: 6 * time.Second, retries: 1,
		path: func() string { return fmt.Sprintf("/lookup/%06x", rand.Uint32N(1<<24)) },
	}, func() float64 { return lookupRate }, until, &asking)
	delay := beatDelay
	if !s.trouble {
		delay = 0
	}
	var leaving sync.WaitGroup
	broken := make(chan int, restartingOnes)
	for number, kept := range keeping {
		time.Sleep(betweenRestarts - downTime - leavesAfter)
		first[number].crash()
		time.Sleep(downTime)
		second := kept.start()
		second.heartbeat(1, delay)
		time.Sleep(leavesAfter)
		leaving.Go(func() { broken <- s.leave(second) })
	}
	leaving.Wait()
	asking.Wait()
	late := 0
	for range keeping {
		late += <-broken
	}
	s.record.say("%d client attempts; %d requests reached a server later than %.0f s after the acknowledgement that it is gone", len(s.asks), late, drainTime.Seconds())
	return late > 0
}

// leave sends the deregistration of a server until it is acknowledged, and counts the requests
// that reach it later than drainTime after that. The server serves for some seconds more and ends.
func (s *site) leave(leaving *server) (late int) {
	status, _ := s.callControl("POST", "/-/instances/"+leaving.id+"/deregister", nil, 2)
	acknowledged := time.Now()
	s.record.note("deregistration of server %s gets %d", leaving.id, status)
	time.Sleep(drainTime + servesLonger)
	leaving.crash()
	if status != http.StatusOK {
		return 0
	}
	leaving.mutex.Lock()
	defer leaving.mutex.Unlock()
	for _, at := range leaving.arrivals {
		if at.Sub(acknowledged) > drainTime {
			late++
		}
	}
	if late > 0 {
		s.record.note("DRAIN: %d requests reached server %s, born %d, later than %.0f s after the acknowledgement; the last of them %.2f s after it",
			late, leaving.id, leaving.born, drainTime.Seconds(), leaving.arrivals[len(leaving.arrivals)-1].Sub(acknowledged).Seconds())
	}
	return late
}
