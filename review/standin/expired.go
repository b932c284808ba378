package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of the case: a smaller deployment than khwantang-search, of the same kind.
const (
	shardCount   = 20
	slowShards   = 8
	slowTimes    = 12
	slowFor      = 8 * time.Second
	calmBefore   = 5 * time.Second
	spells       = 6
	usualBurst   = 1.7
	burstTime    = 4 * time.Second
	endsOfALoop  = 3
	listingsRate = 54.0
	picksRate    = 18.0
	remindsRate  = 18.0
)

// expired plays servers of many shards that turn slow, twice, while clients ask as always. Those
// whose request failed just before their deadline ask once more with the few milliseconds left.
func expired(s *site) bool {
	s.startDirectories(5, 2)
	s.startGateways("silom", "silom", "bangna", "bangna", "bangna", "lat", "thon", "thon")
	var shards []string
	var services []map[string]any
	var finders [][]*server
	for number := range shardCount {
		shard := &service{name: fmt.Sprintf("seat%02d", number), slots: 2, queue: 12, reply: records(60), work: func(path string) time.Duration {
			if strings.HasPrefix(path, "/list/") {
				return around(28*time.Millisecond, 0.35)
			}
			return around(9*time.Millisecond, 0.35)
		}}
		shards = append(shards, shard.name)
		services = append(services, map[string]any{"name": shard.name, "health_path": "/health", "max_conns": 26, "protocol": "h1", "tls": false})
		finders = append(finders, []*server{s.startServer(shard, s.nextAddress(), "silom"), s.startServer(shard, s.nextAddress(), "bangna")})
	}
	reminders := &service{name: "notify", slots: 2, queue: 8, reply: records(300), work: func(string) time.Duration { return around(220*time.Millisecond, 0.5) }}
	services = append(services, map[string]any{"name": reminders.name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false})
	for number := range 20 {
		s.startServer(reminders, s.nextAddress(), []string{"silom", "bangna", "lat", "thon"}[number%4])
	}
	host := "desks.example"
	s.configure(map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "list", "host": host, "path_prefix": "/list/", "type": "idempotent", "timeout_ms": 2000, "target_ms": 200, "priority": 1, "gather": shards, "max_attempts": 2, "limit": 50, "min_ratio": 0.89},
			{"name": "pick", "host": host, "path_prefix": "/pick/", "type": "idempotent", "timeout_ms": 800, "target_ms": 80, "priority": 2, "gather": shards, "max_attempts": 2, "limit": 5, "min_ratio": 0.75},
			{"name": "remind", "host": host, "path_prefix": "/remind/", "type": "idempotent", "timeout_ms": 8000, "target_ms": 800, "priority": 2, "backend": "notify", "max_attempts": 2},
		},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.awaitReady()
	time.Sleep(2 * time.Second)

	path := func(prefix string) func() string {
		return func() string { return fmt.Sprintf("/%s/%06x", prefix, rand.Uint32N(1<<24)) }
	}
	list := &class{name: "floor-listing", method: "GET", host: host, path: path("list"), idempotent: true, deadline: 2 * time.Second, retries: 1}
	pick := &class{name: "quick-pick", method: "GET", host: host, path: path("pick"), idempotent: true, deadline: 800 * time.Millisecond, retries: 1}
	remind := &class{name: "reminder-send", method: "GET", host: host, path: path("remind"), idempotent: true, deadline: 8 * time.Second, retries: 1}
	users := &clients{site: s}
	until := time.Now().Add(spells * (calmBefore + slowFor))
	var pressing atomic.Bool
	var asking sync.WaitGroup
	for _, each := range []struct {
		kind *class
		rate float64
	}{{list, listingsRate}, {pick, picksRate}, {remind, remindsRate}} {
		asking.Add(1)
		go users.load(each.kind, func() float64 {
			if pressing.Load() {
				return each.rate * usualBurst
			}
			return each.rate
		}, until, &asking)
	}
	turn := func(times float64) {
		if !s.trouble {
			return
		}
		for _, pair := range finders[:slowShards] {
			for _, each := range pair {
				each.setSlowness(times)
			}
		}
		s.record.say("the servers of %d shards now take %.0f times as long as usual", slowShards, times)
	}
	for range spells {
		time.Sleep(calmBefore)
		turn(slowTimes)
		pressing.Store(s.trouble)
		time.Sleep(burstTime)
		pressing.Store(false)
		time.Sleep(slowFor - burstTime)
		turn(1)
	}
	asking.Wait()
	time.Sleep(500 * time.Millisecond)
	return s.judgeEnds()
}

// judgeEnds counts the machines on which processes ended by themselves three times or more. No
// signal was sent to any process, and none of the machines and links was disturbed. It counts the
// requests, too, that a gateway had read from a kept connection and passed on to a server that was
// never slow, and whose connection ended without an answer.
func (s *site) judgeEnds() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	cuts, closed := 0, 0
	for _, sent := range s.asks {
		if !sent.closed || !sent.written {
			continue
		}
		closed++
		sound := false
		for _, at := range sent.arrivals {
			sound = sound || !at.slowed.Load()
		}
		if sent.kept && sound {
			cuts++
			s.record.note("cut: %s (%s) from a kept connection of %s had reached a server that was never slow", sent.id, sent.class.name, sent.gateway.name)
		}
	}
	ends, looping := 0, 0
	for _, each := range s.processes {
		count, reasons := each.ends()
		ends += count
		if count >= endsOfALoop {
			looping++
		}
		for _, reason := range reasons {
			s.record.note("%s ended by itself: %s", each.name, reason)
		}
	}
	allowed := max(2, (len(s.processes)+9)/10)
	s.record.say("%d client attempts; %d connections ended without an answer, %d of them from kept connections with the request passed on to a server that was never slow", len(s.asks), closed, cuts)
	s.record.say("processes ended by themselves %d times, three times or more on %d of %d machines (%d break Fault)", ends, looping, len(s.processes), allowed)
	return looping >= allowed
}
