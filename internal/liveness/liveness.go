// Package liveness bounds how long a TCP connection may be silent. A connection may stop
// carrying anything without a reset, while new ones to the same address work: nothing but
// the time that sent bytes stay unacknowledged shows it.
package liveness

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bound returns the control function of a net.Dialer that ends a connection with an error
// once bytes that were sent stayed unacknowledged for a time (TCP_USER_TIMEOUT, RFC 5482),
// in whole milliseconds. The machine of the other side acknowledges also while its process
// is busy or stands still. A failure to set it fails the dial.
func Bound(silence time.Duration) func(network, address string, conn syscall.RawConn) error {
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
