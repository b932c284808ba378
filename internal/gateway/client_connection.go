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

// clientConnection is what a router knows of the connection of a client.
type clientConnection struct {
	conn net.Conn
	// served counts the requests that came over it.
	served atomic.Int64
	// reading says that the header of a request is on its way; since is from when
	// on, or from when on there is no request, as a duration of clientConnections.
	reading atomic.Bool
	since   atomic.Int64
}

type clientConnectionKey struct{}

// clientConnections are the open connections of clients. It is safe for
// concurrent use.
type clientConnections struct {
	// started is what durations count from: it holds the steady clock's reading, so
	// that a step of the time of day closes nothing.
	started time.Time
	mutex   sync.Mutex
	open    map[net.Conn]*clientConnection
	// closed counts the connections that were ended for what limit.
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

// begin lets handlers find the connection of a request.
func (c *clientConnections) begin(ctx context.Context, conn net.Conn) context.Context {
	began := &clientConnection{conn: conn}
	began.since.Store(int64(steadyclock.Since(c.started)))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open[conn] = began
	return context.WithValue(ctx, clientConnectionKey{}, began)
}

// change follows the states of a connection, as net/http tells them.
func (c *clientConnections) change(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	changed, known := c.open[conn]
	if !known {
		return
	}
	switch state {
	case http.StateActive, http.StateIdle:
		changed.since.Store(int64(steadyclock.Since(c.started)))
		changed.reading.Store(state == http.StateActive)
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	case http.StateNew:
	}
}

// busy is the time of a connection on which a request is served.
const busy = 0

// serving says that the header of a request is whole.
func (c *clientConnection) serving() {
	c.reading.Store(false)
	c.since.Store(busy)
}

// enforce closes the connections that take longer than the limits allow: for a
// header once its first byte is in, or without any request.
func (c *clientConnections) enforce(now time.Time, limits routing.Limits) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn, checked := range c.open {
		since := checked.since.Load()
		if since == busy {
			continue
		}
		limit, name := limits.IdleTime, "idle_time"
		if checked.reading.Load() {
			limit, name = limits.HeaderTime, "header_time"
		}
		if limit > 0 && now.Sub(c.started)-time.Duration(since) > limit {
			c.closed.WithLabelValues(name).Inc()
			_ = conn.Close()
		}
	}
}

// headerBytes is about how many bytes a request's header had on the wire.
func headerBytes(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(": \r\n") + len(value)
		}
	}
	return size
}

// unknownRoundTrip is taken where the system does not tell the round trip.
const unknownRoundTrip = 6 * time.Millisecond

// away returns how long before a request came in its client began to wait, and
// how long the answer takes: half a round trip each, and a whole one more for the
// first request of a connection, which the client had to open.
func (c *clientConnection) away() time.Duration {
	roundTrip := roundTripOf(c.conn)
	if c.served.Add(1) == 1 {
		return 2 * roundTrip
	}
	return roundTrip
}

// roundTripOf returns the kernel's estimate of a connection's round trip.
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
