package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Sizes of the case. The share of answers that a second one follows is the dose of the site
// file for `garble`, how "extra late".
const (
	bookingServers = 6
	bookingRate    = 60.0
	burstTimes     = 1.7
	surplusShare   = 0.05
	bookingTime    = 60 * time.Second
	burstEach      = 6 * time.Second
	burstFor       = 3 * time.Second
)

// surplus plays servers that now and then send a second, late answer after a whole one, in the
// place of the next one due, while many users come at once by turns. The requests may not be
// repeated. Full servers turn requests away, as always.
func surplus(s *site) bool {
	s.startDirectories(5, 2)
	s.startGateways("silom", "silom", "bangna", "bangna", "bangna", "lat", "thon", "thon")
	var servers []*server
	var routes, services []map[string]any
	host := "desks.example"
	for _, name := range []string{"booking", "billing"} {
		of := &service{name: name, slots: 2, queue: 2, reply: records(20), work: func(string) time.Duration { return around(120*time.Millisecond, 0.5) }}
		for number := range bookingServers {
			servers = append(servers, s.startServer(of, s.nextAddress(), []string{"silom", "bangna", "lat", "thon"}[number%4]))
		}
		routes = append(routes, map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "type": "non_idempotent",
			"timeout_ms": 6000, "target_ms": 800, "priority": 1, "backend": name, "max_attempts": 1,
		})
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false})
	}
	s.configure(map[string]any{
		"version": 3, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.awaitReady()
	time.Sleep(2 * time.Second)
	if s.trouble {
		for _, each := range servers {
			each.setGarbles(surplusShare)
		}
		s.record.say("the servers now send a second, late answer after %.0f in 100 answers", 100*surplusShare)
	}
	users := &clients{site: s}
	began := time.Now()
	rate := func() float64 {
		if time.Since(began)%burstEach < burstFor {
			return bookingRate * burstTimes
		}
		return bookingRate
	}
	var asking sync.WaitGroup
	for _, name := range []string{"booking", "billing"} {
		asking.Add(1)
		go users.load(&class{
			name: name, method: "POST", host: host, body: []byte("one seat"), deadline: 6 * time.Second, retries: 1,
			path: func() string { return fmt.Sprintf("/%s/%06x", name, rand.Uint32N(1<<24)) },
		}, rate, began.Add(bookingTime), &asking)
	}
	time.Sleep(bookingTime)
	asking.Wait()
	time.Sleep(7 * time.Second)
	return s.judgeRuns()
}

// judgeRuns looks for requests that may not be repeated and have run more than once, and for
// those that were answered with a promise that they have not run, and have. The former decide.
func (s *site) judgeRuns() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	twice, refused, turned := 0, 0, 0
	for _, sent := range s.asks {
		if sent.class.idempotent {
			continue
		}
		if len(sent.runs) > 1 {
			twice++
			s.record.note("TWICE: %s ran at %v; its client got %d", sent.id, sent.runs, sent.status)
		}
		promise := sent.status == 408 || sent.status == 421 || sent.status == 429 || sent.status == 503
		if promise {
			turned++
		}
		if promise && len(sent.runs) > 0 {
			refused++
			s.record.note("REFUSED: %s was answered %d, and ran at %v", sent.id, sent.status, sent.runs)
		}
	}
	s.record.say("%d client attempts, %d of them refused; %d requests that may not be repeated ran more than once, %d ran although the answer promised that they had not", len(s.asks), turned, twice, refused)
	return twice > 0
}
