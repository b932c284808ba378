// Package testaddress hands out addresses to tests and benches that start
// servers which listen, end and listen again at the same address.
//
// A port that the kernel picked at 127.0.0.1 is free for anybody while its
// process is down: for another test that asks for any port, or for an outgoing
// connection. The process then can't listen when it is back. Listeners on any
// port and connections to loopback addresses use 127.0.0.1, so ports at another
// loopback address, below the range that the kernel picks from, are taken by
// nobody else.
package testaddress

import (
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	// firstPort is above the registered services that a machine may run, and
	// below the ports of outgoing connections on common systems.
	firstPort = 20000
	lastPort  = 32000
	// loopbackNetwork and firstBlock make 127.64.0.0, the first address used.
	loopbackNetwork = 127
	firstBlock      = 64
	blockMask       = 0x3f
)

var handedOut atomic.Uint32

// Next returns an address that no other call returned, in this process or in
// another one that runs now. Nothing listens there yet.
func Next() netip.AddrPort {
	port := firstPort + handedOut.Add(1)
	if port > lastPort {
		panic("testaddress: all ports are handed out")
	}
	return netip.AddrPortFrom(Host(), uint16(port))
}

// Host returns the host of all addresses that this process hands out, for
// certificates.
func Host() netip.Addr { return ofProcess(os.Getpid()) }

// List returns so many addresses as text.
func List(count int) []string {
	addresses := make([]string, count)
	for index := range addresses {
		addresses[index] = Next().String()
	}
	return addresses
}

// ofProcess returns a loopback address of a process's own. Process numbers
// have at most 22 bits, which is what 127.64.0.0 to 127.127.255.255 hold.
func ofProcess(process int) netip.Addr {
	return netip.AddrFrom4([4]byte{
		loopbackNetwork,
		firstBlock | byte(process>>16)&blockMask,
		byte(process >> 8),
		byte(process),
	})
}
