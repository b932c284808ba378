// Package slowread has connections of tests whose reads return late, as in a process that waits for
// the processor, and clients that keep using their connections until those are closed.
package slowread

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Listener is a TCP listener that accepts connections whose reads return their bytes late, as in a process
// that waits for the processor.
type Listener struct {
	net.Listener
	// Delay is how much later a read returns than its bytes arrive.
	Delay time.Duration
	// unanswered counts the connections that were closed after a whole request was read from
	// them and before it was answered.
	unanswered atomic.Int64
}

// Unanswered returns the number of such connections.
func (l *Listener) Unanswered() int64 { return l.unanswered.Load() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{TCPConn: accepted.(*net.TCPConn), listener: l}, nil
}

// conn is a connection that knows whether what was read from it has been answered.
type conn struct {
	*net.TCPConn
	listener *Listener
	mutex    sync.Mutex
	read     []byte
	closed   bool
}

// Read implements net.Conn.
func (c *conn) Read(into []byte) (int, error) {
	count, err := c.TCPConn.Read(into)
	c.mutex.Lock()
	c.read = append(c.read, into[:count]...)
	c.mutex.Unlock()
	time.Sleep(c.listener.Delay)
	return count, err
}

// Write implements net.Conn.
func (c *conn) Write(from []byte) (int, error) {
	count, err := c.TCPConn.Write(from)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.read = nil
	return count, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.closed && bytes.Contains(c.read, []byte("\r\n\r\n")) {
		c.listener.unanswered.Add(1)
	}
	c.closed = true
	return c.TCPConn.Close()
}

// SendUntilClosed starts clients that each send a request over and over on one connection. Their
// pauses differ, which spreads them over the stages of an exchange. The group ends with the last
// connection.
func SendUntilClosed(t testing.TB, address, request string, clients int) *sync.WaitGroup {
	var sending sync.WaitGroup
	for number := range clients {
		pause := time.Duration(number) * time.Millisecond
		sending.Go(func() { sendUntilClosed(t, address, request, pause) })
	}
	return &sending
}

// sendUntilClosed sends one request after the other on a connection, with a pause between them,
// until that is closed.
func sendUntilClosed(t testing.TB, address, request string, pause time.Duration) {
	opened, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = opened.Close() }()
	reader := bufio.NewReader(opened)
	for {
		if _, err := io.WriteString(opened, request); err != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		if err != nil || response.Close {
			return
		}
		time.Sleep(pause)
	}
}
