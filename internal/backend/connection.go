package backend

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Write states of a socket, for the request that currently uses it.
const (
	writeNone    uint32 = iota // no byte of the request was passed to the socket
	writeStarted               // at least one write was attempted
	writeSealed                // nothing was written, and writes fail from now on
)

var errSealed = errors.New("connection is sealed: its request was given up before the first write")

// trackedSocket records whether any byte of the current request may have been
// sent. The verdict "not run" relies on this record.
type trackedSocket struct {
	net.Conn
	state atomic.Uint32
}

// Write implements io.Writer.
func (c *trackedSocket) Write(data []byte) (int, error) {
	// The state changes before the write, so a failed write counts as started:
	// the kernel may have sent part of it.
	if !c.state.CompareAndSwap(writeNone, writeStarted) && c.state.Load() == writeSealed {
		return 0, errSealed
	}
	return c.Conn.Write(data)
}

// beginRequest resets the write state for a new request.
func (c *trackedSocket) beginRequest() { c.state.Store(writeNone) }

// sealUnwritten reports whether no byte of the request was written, and if so
// makes later writes fail: the transport writes from its own goroutine, which
// may run after the request was abandoned.
func (c *trackedSocket) sealUnwritten() bool {
	return c.state.CompareAndSwap(writeNone, writeSealed) || c.state.Load() == writeSealed
}

// clientConnection is an HTTP/1.1 client connection and its underlying socket.
// It carries one request at a time and never resends one.
type clientConnection struct {
	client *http.ClientConn
	socket *trackedSocket
}

// close closes the connection.
func (l *clientConnection) close() { _ = l.client.Close() }

// usable reports whether the connection can carry another request.
func (l *clientConnection) usable() bool { return l.client.Err() == nil }
