package gateway_test

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

	"github.com/martenstage/martenstage/internal/gateway"
)

// slowReadListener accepts connections whose reads return their bytes late, as in a process
// that waits for the processor.
type slowReadListener struct {
	net.Listener
	delay time.Duration
	// unanswered counts the connections that were closed after a whole request was read from
	// them and before it was answered.
	unanswered atomic.Int64
}

func (l *slowReadListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowReadConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

// slowReadConn is a connection that knows whether what was read from it has been answered.
type slowReadConn struct {
	*net.TCPConn
	listener *slowReadListener
	mutex    sync.Mutex
	read     []byte
	closed   bool
}

func (c *slowReadConn) Read(into []byte) (int, error) {
	count, err := c.TCPConn.Read(into)
	c.mutex.Lock()
	c.read = append(c.read, into[:count]...)
	c.mutex.Unlock()
	time.Sleep(c.listener.delay)
	return count, err
}

func (c *slowReadConn) Write(from []byte) (int, error) {
	count, err := c.TCPConn.Write(from)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.read = nil
	return count, err
}

func (c *slowReadConn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.closed && bytes.Contains(c.read, []byte("\r\n\r\n")) {
		c.listener.unanswered.Add(1)
	}
	c.closed = true
	return c.TCPConn.Close()
}

// sendUntilClosed sends one request after the other on a connection, with a pause between them,
// until that is closed.
func sendUntilClosed(t *testing.T, address, request string, pause time.Duration) {
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := io.WriteString(conn, request); err != nil {
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

// TestPlannedStopClosesNoConnectionWithARequestRead guards against a connection that is taken
// for idle while its next request is read.
func TestPlannedStopClosesNoConnectionWithARequestRead(t *testing.T) {
	const clients = 60
	listener := &slowReadListener{Listener: listenLocal(t), delay: 20 * time.Millisecond}
	s := startSiteOn(t, listener, func(config *gateway.Config) { config.Grace = 2 * time.Second }, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": echo})
	var sending sync.WaitGroup
	for number := range clients {
		// Different pauses spread the clients over the stages of an exchange.
		pause := time.Duration(number) * time.Millisecond / 4
		sending.Go(func() { sendUntilClosed(t, s.address, wholeRequest, pause) })
	}
	s.stop()
	require.NoError(t, <-s.done)
	sending.Wait()
	require.Zero(t, listener.unanswered.Load(), "connections closed with a whole request read")
}
