package httpdrain

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Conn is a connection of a Server. Its methods are safe for concurrent use.
type Conn struct {
	net.Conn
	server *Server
	// served counts the requests that have reached the handler.
	served atomic.Int64

	mutex sync.Mutex
	phase Phase
	// since is when the phase began.
	since      time.Time
	unanswered int64
	head       headScanner
	cause      Cause
	closed     bool
	// complete is set once the current request has been read. responding is set once bytes of
	// its response have been written, refused once the connection has written a refusal itself
	// and drops what net/http writes.
	complete   bool
	responding bool
	refused    bool
	// handlerReads is set while the handler reads the body. Only then can a request that has
	// reached its handler be refused: the handler may have acted on what it has read before.
	handlerReads bool
	// deadline is the read deadline that net/http has set. interrupt is why it is replaced by
	// one that has passed; empty if it is not. ending is why the connection ends once it
	// waits; empty if it does not.
	deadline  time.Time
	interrupt Cause
	ending    Cause
}

type connKey struct{}

// ConnOf returns the connection of a request that a Server serves.
func ConnOf(ctx context.Context) (*Conn, bool) {
	conn, ok := ctx.Value(connKey{}).(*Conn)
	return conn, ok
}

// Served returns the number of requests that have reached the handler on the connection,
// including a current one.
func (c *Conn) Served() int64 { return c.served.Load() }

// Server returns the server of the connection.
func (c *Conn) Server() *Server { return c.server }

// SyscallConn implements syscall.Conn, if the accepted connection does.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.Newf("%T has no descriptor", c.Conn)
}

// CloseWrite closes the sending side, if the accepted connection can. net/http does so before it
// closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if c.makesRoom() {
		return c.Close()
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read implements net.Conn.
func (c *Conn) Read(into []byte) (int, error) {
	for {
		if c.isRefused() {
			return 0, errRefused
		}
		count, err := c.Conn.Read(into)
		count, err, again := c.evaluateRead(into, count, err)
		if count > 0 && !c.accept(into[:count]) {
			return 0, errRefused
		}
		if !again {
			return count, err
		}
	}
}

// errRefused ends the reading of a request that the connection has refused itself. net/http writes
// no response for a net.OpError.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: ErrRefused}

// isRefused reports whether the connection has refused a request, after which it reads no further.
func (c *Conn) isRefused() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.refused
}

// evaluateRead records the outcome of a read. It returns again if the read was interrupted, but a
// request has begun in the meantime.
func (c *Conn) evaluateRead(into []byte, count int, err error) (_ int, _ error, again bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if count > 0 {
		c.recordBytes(count)
		return count, err, false
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.setCause(CauseClient)
		return count, err, false
	}
	passed := c.deadlinePassed()
	switch {
	case passed && c.phase == Receiving:
		c.refuseLocked(CauseHeaderTime)
		return 0, errRefused, false
	case passed || c.interrupt == "":
		return count, err, false
	case c.phase == Opened || c.phase == Waiting:
		// A deadline that has passed ends a read even if bytes have arrived.
		if count = c.readAvailable(into); count > 0 {
			c.recordBytes(count)
			return count, nil, false
		}
		c.setCause(c.interrupt)
		return 0, io.EOF, false
	case c.phase == Receiving || c.evicted() && c.handlerReads:
		c.refuseLocked(c.interrupt)
		return 0, errRefused, false
	case c.evicted() && !c.complete:
		// net/http reads the rest of a body that the handler has left.
		return 0, errRefused, false
	default:
		c.restoreDeadline()
		return 0, nil, true
	}
}

// recordBytes records bytes that were read. The mutex is held.
func (c *Conn) recordBytes(count int) {
	c.unanswered += int64(count)
	if c.closed {
		// The connection was closed under this read, when it seemed to have nothing to read.
		c.phase = Receiving
		c.server.report(c.closedRecord())
		return
	}
	if c.phase == Opened || c.phase == Waiting || c.phase == Answered {
		c.enter(Receiving)
		c.head, c.complete, c.responding = headScanner{}, false, false
		c.restoreDeadline()
	}
}

// readAvailable reads what the kernel holds for the connection, without waiting.
func (c *Conn) readAvailable(into []byte) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	_ = raw.Control(func(descriptor uintptr) {
		for {
			count, err = unix.Read(int(descriptor), into)
			if !errors.Is(err, unix.EINTR) {
				return
			}
		}
	})
	return max(0, count)
}

// SetReadDeadline implements net.Conn. net/http calls it once when it starts to wait for a request
// and again when it has the first bytes, which it may have buffered earlier.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = deadline
	switch c.phase {
	case Answered:
		c.enter(Waiting)
		c.interruptFor(c.ending)
	case Waiting:
		c.enter(Receiving)
		c.head, c.complete, c.responding = headScanner{}, false, false
		c.interrupt = ""
	case Opened, Receiving, Serving, Handled:
	}
	if c.interrupt != "" {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(deadline time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// Write implements net.Conn.
func (c *Conn) Write(from []byte) (int, error) {
	if c.isRefused() {
		return len(from), nil
	}
	c.mutex.Lock()
	c.responding = true
	c.mutex.Unlock()
	count, err := c.Conn.Write(from)
	if err != nil {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.setCause(CauseWrite)
	}
	return count, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mutex.Lock()
	first := !c.closed
	c.closed = true
	c.setCause(CauseServer)
	record := c.closedRecord()
	c.mutex.Unlock()
	err := c.Conn.Close()
	if first {
		c.release()
		c.server.forget(c)
		c.server.report(record)
	}
	return err
}

// closedRecord describes the closed connection. The mutex is held.
func (c *Conn) closedRecord() Closed {
	return Closed{Cause: c.cause, Phase: c.phase, Unanswered: c.unanswered, Refused: c.refused, Remote: c.RemoteAddr().String()}
}

// begin records that a handler has received a request.
func (c *Conn) begin() {
	c.served.Add(1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.enter(Serving)
	if !c.evicted() {
		c.restoreDeadline()
	}
}

// read records that the current request has been read completely: it is not refused for its memory
// any more.
func (c *Conn) read() {
	c.mutex.Lock()
	c.complete = true
	if c.evicted() {
		c.restoreDeadline()
	}
	c.mutex.Unlock()
	if intake := c.server.config.Intake; intake != nil {
		intake.completed(c)
	}
}

func (c *Conn) setHandlerReads(reads bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.handlerReads = reads
}

// handled records that the handler has returned.
func (c *Conn) handled() {
	c.mutex.Lock()
	c.enter(Handled)
	refused := c.refused
	c.mutex.Unlock()
	if refused {
		c.release()
	}
}

// answered records that a response is complete.
func (c *Conn) answered() {
	c.mutex.Lock()
	c.enter(Answered)
	c.unanswered = 0
	c.mutex.Unlock()
	c.release()
}

// release gives back the memory of the current request.
func (c *Conn) release() {
	if intake := c.server.config.Intake; intake != nil {
		intake.release(c)
	}
}

// end has the connection end as soon as it waits for a request.
func (c *Conn) end(cause Cause) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ending = cause
	if c.phase == Opened || c.phase == Waiting {
		c.interruptFor(cause)
	}
}

// enforce ends the connection if it exceeds a limit.
func (c *Conn) enforce(now time.Time, limits Limits) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	lasted := now.Sub(c.since)
	switch c.phase {
	case Opened, Waiting:
		if limits.Idle > 0 && lasted > limits.Idle {
			c.interruptFor(CauseIdleTime)
		}
	case Receiving:
		if limits.Header > 0 && lasted > limits.Header {
			c.interruptFor(CauseHeaderTime)
		}
	case Serving, Handled, Answered:
	}
}

// enter begins a phase. The mutex is held.
func (c *Conn) enter(next Phase) {
	c.phase, c.since = next, steadyclock.Now()
}

// setCause records the first cause of the close. The mutex is held.
func (c *Conn) setCause(cause Cause) {
	if c.cause == "" {
		c.cause = cause
	}
}

// pastDeadline is a read deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// interruptFor ends the pending or the next read. The mutex is held.
func (c *Conn) interruptFor(cause Cause) {
	if cause == "" || c.interrupt != "" {
		return
	}
	c.interrupt = cause
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// restoreDeadline revokes an interruption. The mutex is held.
func (c *Conn) restoreDeadline() {
	if c.interrupt == "" {
		return
	}
	c.interrupt = ""
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// deadlinePassed reports whether the deadline that net/http has set has passed. The mutex is held.
func (c *Conn) deadlinePassed() bool {
	return !c.deadline.IsZero() && time.Until(c.deadline) <= 0
}

// isNew reports whether the connection was opened less than age ago and has received nothing.
func (c *Conn) isNew(now time.Time, age time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.phase == Opened && now.Sub(c.since) < age
}

// closeFor closes a connection that net/http does not know.
func (c *Conn) closeFor(cause Cause) {
	c.mutex.Lock()
	c.setCause(cause)
	c.mutex.Unlock()
	_ = c.Close()
}

// closeAtLimit records that the connection is cut because the time for the stop ran out.
func (c *Conn) closeAtLimit() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setCause(CauseStopLimit)
}
