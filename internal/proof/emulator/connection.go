package emulator

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/backendapi"
)

var errReset = errors.New("connection reset by a fault")

// listener accepts the connections of one server and enforces its limit.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the limit. One over the limit is
// closed unread, as a full server would do.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.server.open.Add(1)
		if open > int64(l.server.connectionLimit()) {
			l.server.open.Add(-1)
			l.server.counters.connectionsRefused.Add(1)
			_ = accepted.Close()
			continue
		}
		l.server.counters.connections.Add(1)
		// Only this goroutine accepts, so nobody else raises the peak.
		l.server.counters.peakConnections.Store(max(open, l.server.counters.peakConnections.Load()))
		return newConnection(accepted, l.server), nil
	}
}

// queryPrefix begins a request that a reset fault may hit. Health probes share
// the connection's server but not its faults.
const queryPrefix = "POST " + backendapi.PathQuery

// noReset is the write budget of a connection without a reset fault.
const noReset = -1

// connection is one accepted connection with the faults of its server: set-up
// cost, freezing, and resets at an exact byte.
type connection struct {
	net.Conn
	server    *Server
	isSetUp   bool
	closeOnce sync.Once
	closed    chan struct{}
	// wrote tells the reader that a reply began, so the next byte read begins
	// a request.
	wrote atomic.Bool
	// prefix, received and number describe the request being read; only the
	// reader uses them.
	prefix   []byte
	received int
	number   int64
	// writeBudget is how many more bytes of the reply are written before the
	// reset; noReset for none.
	writeBudget atomic.Int64
}

func newConnection(accepted net.Conn, server *Server) *connection {
	made := &connection{Conn: accepted, server: server, closed: make(chan struct{}),
		prefix: make([]byte, 0, len(queryPrefix))}
	made.writeBudget.Store(noReset)
	server.track(made)
	return made
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	if !c.isSetUp {
		c.isSetUp = true
		c.sleep(c.server.fleet.config.ConnectionSetup)
	}
	count, err := c.Conn.Read(buffer)
	c.server.waitWhilePaused(c.closed)
	if count > 0 && c.isCutRequest(buffer[:count]) {
		c.reset()
		return 0, errReset
	}
	return count, err
}

// isCutRequest follows the request being read and reports whether a reset
// fault ends it here. It waits for the whole prefix, since the calls besides
// the query begin alike.
func (c *connection) isCutRequest(data []byte) bool {
	if c.wrote.Swap(false) {
		c.prefix, c.received = c.prefix[:0], 0
	}
	c.received += len(data)
	if missing := cap(c.prefix) - len(c.prefix); missing > 0 {
		c.prefix = append(c.prefix, data[:min(missing, len(data))]...)
		c.number = c.server.requestNumber.Add(1)
	}
	active := c.server.conditions.Load()
	if !active.has(FaultResetRequest) || string(c.prefix) != queryPrefix {
		return false
	}
	key := c.server.name + " " + strconv.FormatInt(c.number, 10)
	fault := active.hit(FaultResetRequest, c.server.fleet.config.Model.Seed, key)
	return fault != nil && c.received > fault.Byte
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	c.server.waitWhilePaused(c.closed)
	c.wrote.Store(true)
	budget := c.writeBudget.Load()
	if budget == noReset {
		return c.Conn.Write(data)
	}
	if int64(len(data)) <= budget {
		c.writeBudget.Add(-int64(len(data)))
		return c.Conn.Write(data)
	}
	count, _ := c.Conn.Write(data[:budget])
	c.reset()
	return count, errReset
}

// resetAfter resets the connection after so many more bytes written; noReset
// takes that back.
func (c *connection) resetAfter(count int64) { c.writeBudget.Store(count) }

// reset closes the connection so that the peer sees a reset.
func (c *connection) reset() {
	if plain, ok := c.Conn.(*net.TCPConn); ok {
		_ = plain.SetLinger(0)
	}
	_ = c.Close()
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.server.untrack(c)
		c.server.open.Add(-1)
	})
	return c.Conn.Close()
}

func (c *connection) sleep(duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
}

type connectionKey struct{}

// withConnection is an http.Server.ConnContext that lets handlers reach the
// connection of their request.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

func connectionOf(ctx context.Context) *connection {
	found, _ := ctx.Value(connectionKey{}).(*connection)
	return found
}
