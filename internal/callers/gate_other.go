//go:build !linux

package callers

import "net"

// refuseHandshakes does nothing here: a connection may be reset that is made in
// the moment of closing.
func refuseHandshakes(uintptr) {}

// handshakesOpen does not know here.
func handshakesOpen(net.Addr) (open int, known bool) { return 0, false }
