package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// clientConnection is what a router knows of the connection of a client.
type clientConnection struct {
	conn net.Conn
	// served counts the requests that came over it.
	served atomic.Int64
}

type clientConnectionKey struct{}

// withConnection lets handlers find the connection of a request.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnectionKey{}, &clientConnection{conn: conn})
}

// unknownRoundTrip is taken where the system does not tell the round trip.
const unknownRoundTrip = 6 * time.Millisecond

// away returns how long before a request came in its client began to wait, and
// how long the answer takes: half a round trip each, and a whole one more for the
// first request of a connection, which the client had to open.
func (c *clientConnection) away() time.Duration {
	roundTrip := roundTripOf(c.conn)
	if c.served.Add(1) == 1 {
		return 2 * roundTrip
	}
	return roundTrip
}

// roundTripOf returns the kernel's estimate of a connection's round trip.
func roundTripOf(conn net.Conn) time.Duration {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return unknownRoundTrip
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return unknownRoundTrip
	}
	roundTrip := unknownRoundTrip
	_ = control.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Rtt > 0 {
			roundTrip = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return roundTrip
}
