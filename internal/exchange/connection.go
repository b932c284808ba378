package exchange

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// connection is a connection to an instance. One attempt uses it at a time.
type connection struct {
	net.Conn
	// raw gives access to the file descriptor of the connection; nil if there is none.
	raw    syscall.RawConn
	reader *bufio.Reader
	// idleUntil is when the server may close it; zero if it announced no time.
	idleUntil time.Time
	// hasReplied says that it has carried a reply; bytesRead counts the bytes received.
	hasReplied bool
	bytesRead  int
	// idleSince is when the last attempt on it ended.
	idleSince time.Time
	carried   carriedRequests
	// headEnd is the value of bytesRead at which the head of a reply is too large; 0 for none.
	headEnd int
}

const readBufferBytes = 4 << 10

func newConnection(dialed net.Conn) *connection {
	wrapped := &connection{Conn: dialed}
	if raw, ok := dialed.(syscall.Conn); ok {
		// An error here means that the connection is closed, which shows when it is used.
		wrapped.raw, _ = raw.SyscallConn()
	}
	wrapped.reader = bufio.NewReaderSize(wrapped, readBufferBytes)
	return wrapped
}

// Read counts the bytes received.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.headEnd > 0 && c.bytesRead >= c.headEnd {
		return 0, errHeadTooLarge
	}
	count, err := c.Conn.Read(buffer)
	c.bytesRead += count
	return count, err
}

// limitHead bounds the head of the next reply.
func (c *connection) limitHead() { c.headEnd = c.bytesRead + maxReplyHeadBytes }

// Idle time of connections whose server announced none, and the safety margin that is
// subtracted from an announced one.
const (
	defaultIdleTime = 20 * time.Second
	idleMargin      = 300 * time.Millisecond
	idleShare       = 0.2
)

// usable reports whether a kept connection may carry another request: its idle time is not
// over, and neither EOF nor unexpected bytes are pending on it.
func (c *connection) usable(now time.Time) bool {
	return c.withinIdleTime(now) && c.reader.Buffered() == 0 && c.isQuiet()
}

// withinIdleTime reports whether the idle time is not over.
func (c *connection) withinIdleTime(now time.Time) bool {
	if c.idleUntil.IsZero() {
		return now.Sub(c.idleSince) <= defaultIdleTime
	}
	return now.Before(c.idleUntil)
}

// isQuiet checks, without blocking, that nothing was received since the last reply: neither
// EOF nor bytes that belong to no request.
func (c *connection) isQuiet() bool {
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, _, received := syscall.Recvfrom(int(descriptor), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = received == syscall.EAGAIN || received == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// updateIdleTime records the idle time that a reply announced.
func (c *connection) updateIdleTime(now time.Time, header map[string][]string) {
	c.idleSince, c.idleUntil = now, time.Time{}
	for _, value := range header["Keep-Alive"] {
		if idle, ok := keepAliveTimeout(value); ok {
			margin := max(idleMargin, time.Duration(idleShare*float64(idle)))
			c.idleUntil = now.Add(max(0, idle-margin))
		}
	}
}

// keepAliveTimeout reads the parameter "timeout" of a Keep-Alive header, in
// seconds.
func keepAliveTimeout(value string) (time.Duration, bool) {
	for parameter := range strings.SplitSeq(value, ",") {
		name, text, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(text))
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
