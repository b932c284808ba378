package callers

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/wait"
)

// maxBacklog limits the connections that are accepted during the drain. It is
// the default limit of a listener's accept queue on Linux.
const maxBacklog = 4096

// Time limits for pending handshakes once the listener drops new ones.
const (
	// minHandshakeWait is the time to complete them where the system does not report how many
	// are pending, and the minimum wait otherwise.
	minHandshakeWait = 50 * time.Millisecond
	// maxHandshakeWait limits the further wait for them, within the limit of the stop; a
	// connection still in its handshake is then reset. A lost handshake packet is retransmitted
	// after a second, and again later (RFC 6298, section 2).
	maxHandshakeWait = 4 * time.Second
	// handshakePollInterval is the minimum pause between two counts. The pause also lasts at least
	// as long as the last count, which reads a table of all connections of the machine.
	handshakePollInterval = 10 * time.Millisecond
)

// tcpListener is the part of a TCP listener that a drainableListener uses.
type tcpListener interface {
	net.Listener
	SetDeadline(time.Time) error
	SyscallConn() (syscall.RawConn, error)
}

// drainableListener is a listener that can be closed without resetting the
// connections that the kernel has established but that are not accepted yet.
// Closing a TCP listener resets those.
type drainableListener struct {
	tcpListener
	// acceptCalls receives a value for each call of Accept, acceptResults
	// carries the call's result.
	acceptCalls   chan struct{}
	acceptResults chan acceptResult
	// draining is set by drain, to the context that limits it; drained is closed once the
	// server has accepted the backlog.
	draining atomic.Pointer[context.Context]
	drained  chan struct{}
	closed   chan struct{}
	close    func() error
}

type acceptResult struct {
	connection net.Conn
	err        error
}

// newDrainableListener wraps a TCP listener and starts to accept connections.
func newDrainableListener(listener tcpListener) *drainableListener {
	drainable := &drainableListener{
		tcpListener: listener,

		acceptCalls:   make(chan struct{}),
		acceptResults: make(chan acceptResult),
		drained:       make(chan struct{}),
		closed:        make(chan struct{}),
	}
	drainable.close = sync.OnceValue(func() error {
		close(drainable.closed)
		if err := listener.Close(); !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil // already closed by drain
	})
	go drainable.run()
	return drainable
}

// run accepts connections until the listener is drained or closed.
func (g *drainableListener) run() {
	defer close(g.drained)
	for g.draining.Load() == nil {
		connection, err := g.tcpListener.Accept()
		if err != nil && g.draining.Load() != nil {
			break
		}
		if !g.deliver(acceptResult{connection: connection, err: err}) {
			return
		}
	}
	for _, connection := range g.acceptBacklog() {
		if !g.deliver(acceptResult{connection: connection}) {
			return
		}
	}
	// The next Accept call shows that the server handles the last connection.
	g.awaitAcceptCall()
}

// acceptBacklog drops new handshakes, accepts the connections in the backlog,
// and closes the listener immediately afterwards.
func (g *drainableListener) acceptBacklog() []net.Conn {
	var descriptors []int
	if raw, err := g.SyscallConn(); err == nil {
		_ = raw.Control(dropNewHandshakes)
		awaitHandshakes(*g.draining.Load(), g.Addr())
		_ = raw.Control(func(listener uintptr) {
			for len(descriptors) < maxBacklog {
				descriptor, _, err := syscall.Accept(int(listener))
				if err != nil {
					return
				}
				descriptors = append(descriptors, descriptor)
			}
		})
	}
	_ = g.tcpListener.Close()
	connections := make([]net.Conn, 0, len(descriptors))
	for _, descriptor := range descriptors {
		syscall.CloseOnExec(descriptor)
		file := os.NewFile(uintptr(descriptor), "caller")
		if connection, err := net.FileConn(file); err == nil {
			connections = append(connections, connection)
		}
		_ = file.Close()
	}
	return connections
}

// awaitHandshakes waits until no handshake is pending at an address, at most for
// minHandshakeWait and maxHandshakeWait together.
func awaitHandshakes(ctx context.Context, address net.Addr) {
	ctx, cancel := context.WithTimeout(ctx, minHandshakeWait+maxHandshakeWait)
	defer cancel()
	wait.For(ctx, minHandshakeWait)
	for ctx.Err() == nil {
		started := time.Now()
		if pending, known := countHandshakes(address); !known || pending == 0 {
			return
		}
		wait.For(ctx, max(handshakePollInterval, time.Since(started)))
	}
}

// awaitAcceptCall waits for a call of Accept and returns true, or returns false
// once the listener is closed. By the time of the call, the server handles the
// connection before.
func (g *drainableListener) awaitAcceptCall() bool {
	select {
	case <-g.acceptCalls:
		return true
	case <-g.closed:
		return false
	}
}

// deliver passes a connection to the next call of Accept. It returns false once
// the listener is closed.
func (g *drainableListener) deliver(result acceptResult) bool {
	if g.awaitAcceptCall() {
		select {
		case g.acceptResults <- result:
			return true
		case <-g.closed:
		}
	}
	if result.connection != nil {
		_ = result.connection.Close()
	}
	return false
}

// Accept implements net.Listener.
func (g *drainableListener) Accept() (net.Conn, error) {
	select {
	case g.acceptCalls <- struct{}{}:
	case <-g.closed:
		return nil, net.ErrClosed
	}
	select {
	case result := <-g.acceptResults:
		return result.connection, result.err
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *drainableListener) Close() error { return g.close() }

// drain accepts the connections established so far, delivers them to the server
// and prevents new ones. The context limits the wait for pending handshakes.
func (g *drainableListener) drain(ctx context.Context) {
	g.draining.Store(&ctx)
	_ = g.SetDeadline(time.Unix(1, 0)) // interrupts Accept in run
	<-g.drained
}
