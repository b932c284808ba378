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

// deafDialer connects by a socket that takes no packet until it is told to hear.
type deafDialer struct {
	net.Dialer
	socket chan syscall.RawConn
}

func newDeafDialer(t *testing.T) *deafDialer {
	dialer := &deafDialer{socket: make(chan syscall.RawConn, 1)}
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

func (d *deafDialer) hear(t *testing.T) {
	var failed error
	require.NoError(t, (<-d.socket).Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	}))
	require.NoError(t, failed)
}

// TestAHandshakeThatLostPacketsIsNotReset has a caller hear nothing of its handshake while the
// router's stop closes the listener, until the router's kernel has sent its answer twice, at
// once and after a second. The third reaches the caller: it then has its connection, and
// is told that its request was not run. A listener that closes before resets it, and the caller
// can't know that nothing of its request was read.
func TestAHandshakeThatLostPacketsIsNotReset(t *testing.T) {
	const firstRepeat = time.Second // RFC 6298, section 2.1
	s := newSite(t, time.Millisecond, StopConfig{Limit: time.Minute})
	dialer := newDeafDialer(t)
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
		open, known := handshakesOpen(listener)
		return known && open == 1
	}, 10*time.Second, time.Millisecond)
	s.stop()
	time.Sleep(firstRepeat + firstRepeat/2)
	dialer.hear(t)
	require.NoError(t, <-answered)
	require.NoError(t, <-s.ended)
}

// BenchmarkHandshakesOpen counts the handshakes at a listener beside 2,000 connections, each of
// which has two entries in the system's table.
func BenchmarkHandshakesOpen(b *testing.B) {
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
		handshakesOpen(listener.Addr())
	}
}
