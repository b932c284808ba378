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

// maxBacklog bounds the connections that are taken in at the end. It is what
// Linux lets wait on one listener by default.
const maxBacklog = 4096

// Times of handshakes that are under way when a listener begins no new ones.
const (
	// handshakeTime is how long they may take to end where the system does not tell how many
	// there are, and the least time otherwise.
	handshakeTime = 50 * time.Millisecond
	// handshakeLimit is how long they are waited for, within the limit of the stop: who has
	// not ended one by then is reset. A packet of it that is lost is sent again after a second,
	// and again after that (RFC 6298, section 2).
	handshakeLimit = 4 * time.Second
	// handshakePoll is the least pause between two counts of them; as long as a count took, at
	// least, since the table that is read holds all connections of the machine.
	handshakePoll = 10 * time.Millisecond
)

// rawListener is what a gate needs of a TCP listener.
type rawListener interface {
	net.Listener
	SetDeadline(time.Time) error
	SyscallConn() (syscall.RawConn, error)
}

// gate is a listener that can be closed without a reset to connections that
// the kernel has completed and nobody has accepted yet: closing a TCP listener
// resets those.
type gate struct {
	rawListener
	// wanted is sent to whenever the server asks for a connection, arrived when
	// it is given one.
	wanted  chan struct{}
	arrived chan accepted
	// draining is set by drain, with the time that bounds it; drained is closed once the
	// backlog is taken.
	draining atomic.Pointer[context.Context]
	drained  chan struct{}
	closed   chan struct{}
	close    func() error
}

type accepted struct {
	connection net.Conn
	err        error
}

// newGate returns a gate over a TCP listener and begins to accept.
func newGate(listener rawListener) *gate {
	created := &gate{
		rawListener: listener,

		wanted:  make(chan struct{}),
		arrived: make(chan accepted),
		drained: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	created.close = sync.OnceValue(func() error {
		close(created.closed)
		if err := listener.Close(); !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil // drain closed it
	})
	go created.run()
	return created
}

// run accepts until the gate is drained or closed.
func (g *gate) run() {
	defer close(g.drained)
	for g.draining.Load() == nil {
		connection, err := g.rawListener.Accept()
		if err != nil && g.draining.Load() != nil {
			break
		}
		if !g.hand(accepted{connection: connection, err: err}) {
			return
		}
	}
	for _, connection := range g.takeBacklog() {
		if !g.hand(accepted{connection: connection}) {
			return
		}
	}
	// The server has the last one in its care when it asks for another.
	g.await()
}

// takeBacklog begins no new connections, accepts those that wait, and closes
// the listener right after.
func (g *gate) takeBacklog() []net.Conn {
	var descriptors []int
	if raw, err := g.SyscallConn(); err == nil {
		_ = raw.Control(refuseHandshakes)
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
	_ = g.rawListener.Close()
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

// awaitHandshakes returns once no handshake is under way at an address any more, or after the
// limit of those.
func awaitHandshakes(ctx context.Context, address net.Addr) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTime+handshakeLimit)
	defer cancel()
	wait.For(ctx, handshakeTime)
	for ctx.Err() == nil {
		began := time.Now()
		if open, known := handshakesOpen(address); !known || open == 0 {
			return
		}
		wait.For(ctx, max(handshakePoll, time.Since(began)))
	}
}

// await returns when the server asks for a connection, by when it has taken
// the one before into its care, or when the gate is closed.
func (g *gate) await() bool {
	select {
	case <-g.wanted:
		return true
	case <-g.closed:
		return false
	}
}

// hand gives a connection to the server. It returns false once the gate is
// closed.
func (g *gate) hand(one accepted) bool {
	if g.await() {
		select {
		case g.arrived <- one:
			return true
		case <-g.closed:
		}
	}
	if one.connection != nil {
		_ = one.connection.Close()
	}
	return false
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	select {
	case g.wanted <- struct{}{}:
	case <-g.closed:
		return nil, net.ErrClosed
	}
	select {
	case one := <-g.arrived:
		return one.connection, one.err
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *gate) Close() error { return g.close() }

// drain takes in the connections that were completed so far, hands them to the
// server, and lets nobody connect any more. The context bounds what it waits for.
func (g *gate) drain(ctx context.Context) {
	g.draining.Store(&ctx)
	_ = g.SetDeadline(time.Unix(1, 0)) // wakes run
	<-g.drained
}
