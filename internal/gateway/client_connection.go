package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"golang.org/x/sys/unix"

	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// clientConnection is the state of a client's connection.
type clientConnection struct {
	conn net.Conn
	// served counts the requests received on the connection.
	served atomic.Int64
	// reading reports whether a request header is being received. since is when that began or
	// when the connection became idle, as a duration since clientConnections.started.
	reading atomic.Bool
	since   atomic.Int64
}

type clientConnectionKey struct{}

// clientConnections tracks the open connections of clients. It is safe for concurrent use.
type clientConnections struct {
	// started is the reference of durations. It is a reading of the steady clock, so that a
	// step of the wall clock closes no connection.
	started time.Time
	mutex   sync.Mutex
	open    map[net.Conn]*clientConnection
	// closed counts the connections closed for exceeding a limit, by limit.
	closed *prometheus.CounterVec
}

func newClientConnections(registerer prometheus.Registerer) *clientConnections {
	return &clientConnections{
		started: steadyclock.Now(), open: make(map[net.Conn]*clientConnection),
		closed: promauto.With(registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_gateway_client_connections_closed_total", Help: "Connections of clients that were closed for a limit of the document.",
		}, []string{"limit"}),
	}
}

// begin registers a connection and adds it to the context of its requests.
func (c *clientConnections) begin(ctx context.Context, conn net.Conn) context.Context {
	opened := &clientConnection{conn: conn}
	opened.since.Store(int64(steadyclock.Since(c.started)))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open[conn] = opened
	return context.WithValue(ctx, clientConnectionKey{}, opened)
}

// setState follows the states of a connection that net/http reports.
func (c *clientConnections) setState(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	connection, known := c.open[conn]
	if !known {
		return
	}
	switch state {
	case http.StateActive, http.StateIdle:
		connection.since.Store(int64(steadyclock.Since(c.started)))
		connection.reading.Store(state == http.StateActive)
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	case http.StateNew:
	}
}

// requestInProgress is the value of since while a request is served.
const requestInProgress = 0

// headerComplete records that a request header was received completely.
func (c *clientConnection) headerComplete() {
	c.reading.Store(false)
	c.since.Store(requestInProgress)
}

// enforce closes the connections that exceed a time limit: for receiving a header, counted
// from its first byte, or for being idle.
func (c *clientConnections) enforce(now time.Time, limits routing.Limits) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn, tracked := range c.open {
		since := tracked.since.Load()
		if since == requestInProgress {
			continue
		}
		limit, name := limits.IdleTime, "idle_time"
		if tracked.reading.Load() {
			limit, name = limits.HeaderTime, "header_time"
		}
		if limit > 0 && now.Sub(c.started)-time.Duration(since) > limit {
			c.closed.WithLabelValues(name).Inc()
			_ = conn.Close()
		}
	}
}

// headerBytes returns the approximate size of a request's header on the wire.
func headerBytes(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(": \r\n") + len(value)
		}
	}
	return size
}

// unknownRoundTrip is assumed where the operating system does not report the round-trip time.
const unknownRoundTrip = 6 * time.Millisecond

// networkDelay returns the part of the client's waiting time that is spent on the network:
// half a round trip for the request and half for the response, and one more for the first
// request of a connection, since the client had to open it.
func (c *clientConnection) networkDelay() time.Duration {
	roundTrip := roundTripOf(c.conn)
	if c.served.Add(1) == 1 {
		return 2 * roundTrip
	}
	return roundTrip
}

// roundTripOf returns the kernel's estimate of a connection's round-trip time.
func roundTripOf(conn net.Conn) time.Duration {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return unknownRoundTrip
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return unknownRoundTrip
	}
	roundTrip := unknownRoundTrip
	_ = control.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Rtt > 0 {
			roundTrip = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return roundTrip
}
