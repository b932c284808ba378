package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serverOptions describes one server: a back end that registers by heartbeat.
type serverOptions struct {
	ID        string        `json:"id"`
	Service   string        `json:"service"`
	Address   string        `json:"address"`
	Zone      string        `json:"zone"`
	Slots     int           `json:"slots"`
	Queue     int           `json:"queue"`
	Work      time.Duration `json:"work"`
	Spread    float64       `json:"spread"`
	Heartbeat time.Duration `json:"heartbeat"`
	Controls  []string      `json:"controls"`
}

// server answers requests as the pages say: some at a time, a few more queued, the others
// refused with X-Not-Executed.
type server struct {
	options serverOptions
	slots   chan struct{}
	waiting chan struct{}
	output  *json.Encoder
	mutex   sync.Mutex
	counter int
}

// note is a line that a server writes to its standard output.
type note struct {
	Event  string `json:"event"`
	Server string `json:"server"`
	ID     string `json:"id,omitempty"`
	Path   string `json:"path,omitempty"`
}

func runServer(options serverOptions) error {
	s := &server{
		options: options, slots: make(chan struct{}, options.Slots), waiting: make(chan struct{}, options.Queue),
		output: json.NewEncoder(os.Stdout),
	}
	listener, err := net.Listen("tcp4", options.Address)
	if err != nil {
		return err
	}
	go s.sendHeartbeats()
	// The harness ends this process with a signal; if the harness is gone, the pipe is closed.
	go func() {
		_, _ = io.Copy(io.Discard, bufio.NewReader(os.Stdin))
		os.Exit(0)
	}()
	return (&http.Server{Handler: s}).Serve(listener)
}

func (s *server) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second}
	node := rand.IntN(len(s.options.Controls))
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"backend": s.options.Service, "addr": s.options.Address, "zone": s.options.Zone, "version": "v1",
			"slots": s.options.Slots, "state": "ready", "warmup_left_ms": 0, "seq": sequence,
		})
		for range s.options.Controls {
			url := fmt.Sprintf("http://%s/-/instances/%s/heartbeat", s.options.Controls[node], s.options.ID)
			response, err := client.Post(url, "application/json", bytes.NewReader(body))
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode < 300 {
					break
				}
			}
			node = (node + 1) % len(s.options.Controls)
		}
		time.Sleep(s.options.Heartbeat)
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	id := request.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(s.slots), len(s.waiting), s.options.Slots))
	if request.URL.Path == "/health" {
		header.Set("X-Instance-Id", s.options.ID)
		return
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != s.options.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil || id == "" {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	left, err := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
	if err != nil {
		left = 30_000
	}
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(left)*time.Millisecond)
	defer cancel()
	if !s.begin(ctx) {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.tell(note{Event: "begin", Server: s.options.ID, ID: id, Path: request.Method + " " + request.URL.RequestURI()})
	select {
	case <-time.After(s.workTime()):
	case <-ctx.Done():
		header.Set("X-Server-Stamp", s.stamp(id))
		writer.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	s.tell(note{Event: "end", Server: s.options.ID, ID: id})
	header.Set("X-Server-Stamp", s.stamp(id))
	header.Set("Content-Type", "application/octet-stream")
	_, _ = fmt.Fprintf(writer, "%s %d", strings.Repeat("x", 600), len(body))
}

// begin waits for a slot.
func (s *server) begin(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	select {
	case s.waiting <- struct{}{}:
	default:
		return false
	}
	defer func() { <-s.waiting }()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *server) workTime() time.Duration {
	return time.Duration(float64(s.options.Work) * math.Exp(s.options.Spread*rand.NormFloat64()))
}

func (s *server) stamp(id string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counter++
	return fmt.Sprintf("%s.%s.%d", s.options.ID, id, s.counter)
}

func (s *server) tell(told note) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_ = s.output.Encode(told)
}
