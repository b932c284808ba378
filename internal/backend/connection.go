package backend

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Write states of a connection, for the request that holds it.
const (
	writeNone   uint32 = iota // nothing of the request was handed to the socket
	writeBegun                // at least one write was attempted
	writeSealed               // nothing was, and nothing ever will be
)

var errSealed = errors.New("connection is sealed: its request was given up before the first write")

// connection is a socket that knows whether any byte of the current request
// may have left. That knowledge is what makes the verdict "not run" provable.
type connection struct {
	net.Conn
	state atomic.Uint32
}

// Write implements io.Writer.
func (c *connection) Write(data []byte) (int, error) {
	// The state changes before the socket is touched, so a failed write counts
	// as begun: the kernel may have sent part of it.
	if !c.state.CompareAndSwap(writeNone, writeBegun) && c.state.Load() == writeSealed {
		return 0, errSealed
	}
	return c.Conn.Write(data)
}

// begin starts a request on the connection.
func (c *connection) begin() { c.state.Store(writeNone) }

// seal reports whether nothing of the request was written, and in that case
// makes sure that nothing will be: the transport writes from a goroutine of
// its own, which may come late.
func (c *connection) seal() bool {
	return c.state.CompareAndSwap(writeNone, writeSealed) || c.state.Load() == writeSealed
}

// link is one HTTP/1.1 client connection with the socket under it. It carries
// one request at a time and never sends one again.
type link struct {
	client *http.ClientConn
	socket *connection
}

// close ends the connection.
func (l *link) close() { _ = l.client.Close() }

// usable reports whether the connection can carry another request.
func (l *link) usable() bool { return l.client.Err() == nil }
