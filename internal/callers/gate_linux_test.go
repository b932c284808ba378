package callers

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// droppingDialer connects with a socket that drops all incoming packets until
// stopDropping is called.
type droppingDialer struct {
	net.Dialer
	socket chan syscall.RawConn
}

func newDroppingDialer(t *testing.T) *droppingDialer {
	dialer := &droppingDialer{socket: make(chan syscall.RawConn, 1)}
	dialer.Control = func(_, _ string, socket syscall.RawConn) error {
		drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
		var failed error
		err := socket.Control(func(descriptor uintptr) {
			failed = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
		})
		require.NoError(t, err)
		dialer.socket <- socket
		return failed
	}
	return dialer
}

func (d *droppingDialer) stopDropping(t *testing.T) {
	var failed error
	require.NoError(t, (<-d.socket).Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	}))
	require.NoError(t, failed)
}

// TestHandshakeWithLostPacketsIsNotReset drops the first two SYN-ACKs of a caller's handshake,
// sent immediately and after a second, while the router's planned stop closes the listener. The
// third one arrives, and the caller gets a reply that its request was not run. If the listener
// closed earlier, the connection would be reset, and the caller couldn't know that its request
// was never read.
func TestHandshakeWithLostPacketsIsNotReset(t *testing.T) {
	const firstRetransmission = time.Second // RFC 6298, section 2.1
	s := newTestRouter(t, time.Millisecond, StopConfig{Limit: time.Minute})
	dialer := newDroppingDialer(t)
	client := http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	answered := make(chan error, 1)
	go func() {
		response, err := client.Post("http://"+s.address+"/v1/routes/find/query", "application/json", http.NoBody)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		answered <- err
	}()
	listener, err := net.ResolveTCPAddr("tcp4", s.address)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		pending, known := countHandshakes(listener)
		return known && pending == 1
	}, 10*time.Second, time.Millisecond)
	s.stop()
	time.Sleep(firstRetransmission + firstRetransmission/2)
	dialer.stopDropping(t)
	require.NoError(t, <-answered)
	require.NoError(t, <-s.stopResult)
}

// BenchmarkCountHandshakes counts the pending handshakes of a listener among 2,000 established
// connections, each of which has two entries in the system's table.
func BenchmarkCountHandshakes(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { _ = listener.Close() }()
	for range 2000 {
		caller, err := net.Dial("tcp4", listener.Addr().String())
		require.NoError(b, err)
		defer func() { _ = caller.Close() }()
		accepted, err := listener.Accept()
		require.NoError(b, err)
		defer func() { _ = accepted.Close() }()
	}
	for b.Loop() {
		countHandshakes(listener.Addr())
	}
}
