//go:build !linux

package callers

import "net"

// dropNewHandshakes does nothing on this system: a connection established while
// the listener is being closed may be reset.
func dropNewHandshakes(uintptr) {}

// countHandshakes reports the count as unknown on this system.
func countHandshakes(net.Addr) (pending int, known bool) { return 0, false }
