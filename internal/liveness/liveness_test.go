package liveness_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/martenstage/martenstage/internal/liveness"
)

func TestDialerSetsTheUserTimeout(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	dialer := net.Dialer{Control: liveness.LimitUnacknowledged(1500 * time.Millisecond)}
	conn, err := dialer.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var bound int
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		bound, err = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	require.Equal(t, 1500, bound)
}
