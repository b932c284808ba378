// Package liveness bounds how long sent data on a TCP connection may stay unacknowledged. A
// connection may stop carrying data without a reset while new ones to the same address work;
// only the time that sent bytes stay unacknowledged reveals it.
package liveness

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LimitUnacknowledged returns a control function for a net.Dialer that makes a connection fail once sent
// bytes have stayed unacknowledged for the given time, in whole milliseconds
// (TCP_USER_TIMEOUT, RFC 5482). The peer's host acknowledges even while its process is busy or
// suspended. If the option can't be set, the dial fails.
func LimitUnacknowledged(silence time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var failure error
		err := conn.Control(func(descriptor uintptr) {
			failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}
