package exchange

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// connection is one connection to one instance. One attempt uses it at a time.
type connection struct {
	net.Conn
	// raw is that of the connection; nil if it has none.
	raw    syscall.RawConn
	reader *bufio.Reader
	// idleUntil is when the server may close it; zero if it did not say.
	idleUntil time.Time
	// proved says that it has carried an answer; read counts the bytes that came.
	proved bool
	read   int
	// idleSince is when the last exchange ended.
	idleSince time.Time
}

const readBufferBytes = 4 << 10

func newConnection(dialed net.Conn) *connection {
	made := &connection{Conn: dialed}
	if raw, ok := dialed.(syscall.Conn); ok {
		// One that is closed already shows when it is used.
		made.raw, _ = raw.SyscallConn()
	}
	made.reader = bufio.NewReaderSize(made, readBufferBytes)
	return made
}

// Read counts the bytes that came.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.read += count
	return count, err
}

// Idle times of connections whose server did not say when it closes them, and
// what is kept from the time that it did say.
const (
	defaultIdleTime = 20 * time.Second
	idleMargin      = 300 * time.Millisecond
	idleShare       = 0.2
)

// usable reports whether a kept connection may carry another request: its idle
// time is not over, and neither an end nor stray bytes wait in it.
func (c *connection) usable(now time.Time) bool {
	return c.current(now) && c.reader.Buffered() == 0 && c.quiet()
}

// current reports whether the idle time is not over.
func (c *connection) current(now time.Time) bool {
	if c.idleUntil.IsZero() {
		return now.Sub(c.idleSince) <= defaultIdleTime
	}
	return now.Before(c.idleUntil)
}

// quiet looks, without waiting, whether anything came in since the last answer:
// the end of the connection or bytes that belong to no request.
func (c *connection) quiet() bool {
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

// keep notes the idle time that an answer promised.
func (c *connection) keep(now time.Time, header map[string][]string) {
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
