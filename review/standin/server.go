package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// service is a group of servers that do the same work.
type service struct {
	name  string
	slots int
	queue int
	// work returns how long a request of a path takes.
	work func(path string) time.Duration
	// reply returns the body of an answer.
	reply func(path string) []byte
}

// server stands for one server of a service, from its start to its end.
type server struct {
	site    *site
	service *service
	id      string
	address string
	zone    string
	// slowness multiplies the work; 1 as usual.
	slowness atomic.Uint64
	// slowed is set once the server has been slow.
	slowed atomic.Bool
	// garbles is the share of answers after which a second, late one follows.
	garbles atomic.Uint64

	mutex    sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	waiting  []chan struct{}
	down     bool
	seq      uint64
	stop     chan struct{}
	// born is when the server started, in Unix milliseconds, if it keeps its id over restarts.
	born int64
	// arrivals are the times at which requests reached it, without those answered 421.
	arrivals []time.Time
}

func (s *site) startServer(of *service, address, zone string) *server {
	started := &server{site: s, service: of, id: s.newID("i-"), address: address, zone: zone, conns: map[net.Conn]bool{}, stop: make(chan struct{})}
	started.setSlowness(1)
	started.listen()
	go started.beat()
	s.serversMutex.Lock()
	s.servers = append(s.servers, started)
	s.serversMutex.Unlock()
	return started
}

func (v *server) listen() {
	listener, err := net.Listen("tcp4", v.address)
	if err != nil {
		v.site.fail("server %s: %v", v.id, err)
	}
	v.mutex.Lock()
	v.listener = listener
	v.mutex.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			v.mutex.Lock()
			if v.down {
				v.mutex.Unlock()
				_ = conn.Close()
				return
			}
			v.conns[conn] = true
			v.mutex.Unlock()
			go v.serve(conn)
		}
	}()
}

func (v *server) setSlowness(times float64) {
	v.slowness.Store(math.Float64bits(times))
	if times > 1 {
		v.slowed.Store(true)
	}
}

func (v *server) setGarbles(share float64) { v.garbles.Store(math.Float64bits(share)) }

// crash ends the server: its connections are reset, and it says nothing.
func (v *server) crash() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.down {
		return
	}
	v.down = true
	close(v.stop)
	_ = v.listener.Close()
	for conn := range v.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	v.site.record.note("server %s of %s at %s crashes", v.id, v.service.name, v.address)
}

// beat sends heartbeats.
func (v *server) beat() {
	interval := v.site.heartbeat
	first := time.Duration(rand.Int64N(int64(interval / 4)))
	for timer := time.NewTimer(first); ; timer.Reset(interval) {
		select {
		case <-v.stop:
			timer.Stop()
			return
		case <-timer.C:
			v.seq++
			beat := map[string]any{
				"backend": v.service.name, "addr": v.address, "zone": v.zone, "version": "v1", "slots": v.service.slots,
				"state": "ready", "warmup_left_ms": 0, "seq": v.seq,
			}
			if v.born > 0 {
				beat["born"] = v.born
			}
			body, _ := json.Marshal(beat)
			go v.site.callControl("POST", "/-/instances/"+v.id+"/heartbeat", body, 2)
		}
	}
}

// idleTime is how long a connection may rest.
const idleTime = 20 * time.Second

func (v *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		v.mutex.Lock()
		delete(v.conns, conn)
		v.mutex.Unlock()
	}()
	reader := bufio.NewReader(conn)
	// surplus is a second answer that comes in the place of the next one due.
	var surplus []byte
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTime))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		arrived := time.Now()
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if len(surplus) > 0 {
			v.site.record.note("server %s sends a surplus second answer in the place of the next one, %s", v.id, firstLine(surplus))
			if _, err := conn.Write(surplus); err != nil {
				return
			}
			surplus = nil
		}
		gone, cancel := context.WithCancel(context.Background())
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			if _, err := reader.Peek(1); err != nil {
				cancel()
			}
		}()
		answer := v.handle(gone, request, body, arrived)
		cancel()
		if answer == nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if rand.Float64() < math.Float64frombits(v.garbles.Load()) {
			surplus = answer
		}
		<-closed
	}
}

func firstLine(text []byte) string {
	line, _, _ := strings.Cut(string(text), "\r\n")
	return line
}

// handle returns the answer to a request; nil if its connection was closed.
func (v *server) handle(gone context.Context, request *http.Request, body []byte, arrived time.Time) []byte {
	id := request.Header.Get("X-Request-Id")
	if request.URL.Path == "/health" {
		return v.answer(200, id, "", nil, map[string]string{"X-Instance-Id": v.id})
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != v.id {
		return v.answer(421, id, "", nil, nil)
	}
	notRun := map[string]string{"X-Not-Executed": "1"}
	if id == "" {
		return v.answer(400, id, "", nil, notRun)
	}
	deadline := arrived.Add(30 * time.Second)
	if ms, err := strconv.Atoi(request.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	v.site.seen(id, request, v, false)
	v.mutex.Lock()
	v.arrivals = append(v.arrivals, arrived)
	v.mutex.Unlock()
	if !v.takeSlot(gone, deadline) {
		if gone.Err() != nil {
			return nil
		}
		v.site.record.note("server %s turns %s away: it has not run", v.id, id)
		return v.answer(503, id, "", nil, notRun)
	}
	defer v.freeSlot()
	v.site.seen(id, request, v, true)
	v.site.record.note("server %s of %s runs %s %s %s, %d ms left", v.id, v.service.name, id, request.Method, request.URL.Path, time.Until(deadline).Milliseconds())
	took := time.Duration(float64(v.service.work(request.URL.Path)) * math.Float64frombits(v.slowness.Load()))
	end := time.NewTimer(min(took, time.Until(deadline)))
	defer end.Stop()
	select {
	case <-gone.Done():
		return nil
	case <-v.stop:
		return nil
	case <-end.C:
	}
	stamp := v.id + "." + id
	if time.Now().After(deadline) && arrived.Add(took).After(deadline) {
		return v.answer(504, id, stamp, nil, nil)
	}
	return v.answer(200, id, stamp, v.service.reply(request.URL.Path), nil)
}

// takeSlot waits for a slot until a deadline. It returns false if the server is full, the
// deadline passes or the connection is closed.
func (v *server) takeSlot(gone context.Context, deadline time.Time) bool {
	v.mutex.Lock()
	if v.running < v.service.slots {
		v.running++
		v.mutex.Unlock()
		return true
	}
	if len(v.waiting) >= v.service.queue {
		v.mutex.Unlock()
		return false
	}
	turn := make(chan struct{})
	v.waiting = append(v.waiting, turn)
	v.mutex.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-turn:
		return true
	case <-timer.C:
	case <-gone.Done():
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for position, waiting := range v.waiting {
		if waiting == turn {
			v.waiting = append(v.waiting[:position:position], v.waiting[position+1:]...)
			return false
		}
	}
	// The slot was given just now: it goes to the next one.
	v.passOn()
	return false
}

func (v *server) freeSlot() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.passOn()
}

// passOn gives a slot to the next waiting request. The caller holds the mutex.
func (v *server) passOn() {
	if len(v.waiting) == 0 {
		v.running--
		return
	}
	close(v.waiting[0])
	v.waiting = v.waiting[1:]
}

func (v *server) answer(status int, id, stamp string, body []byte, more map[string]string) []byte {
	v.mutex.Lock()
	load := fmt.Sprintf("%d,%d,%d", v.running, len(v.waiting), v.service.slots)
	v.mutex.Unlock()
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	fmt.Fprintf(&text, "X-Request-Id: %s\r\n", id)
	if stamp != "" {
		fmt.Fprintf(&text, "X-Server-Stamp: %s\r\n", stamp)
	}
	for name, value := range more {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&text, "X-Server-Load: %s\r\nKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n", load, int(idleTime.Seconds()), len(body))
	text.Write(body)
	return text.Bytes()
}

// records returns the body of a part: a number of records of 16 bytes in no order.
func records(count int) func(string) []byte {
	return func(string) []byte {
		var body []byte
		for range count {
			body = binary.BigEndian.AppendUint64(body, rand.Uint64())
			body = binary.BigEndian.AppendUint64(body, rand.Uint64())
		}
		return body
	}
}

// around draws a time of work with a given mean.
func around(mean time.Duration, spread float64) time.Duration {
	drawn := float64(mean) * math.Exp(spread*rand.NormFloat64()-spread*spread/2)
	return time.Duration(min(drawn, 6*float64(mean)))
}
