package callers

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// dropNewHandshakes makes the kernel drop SYN packets to a listener. Pending
// handshakes continue. A client whose SYN was dropped retransmits it after a
// second, when the listener is closed, and its connection is refused. This is
// best effort: without the filter, a connection established while the listener
// is being closed may be reset.
func dropNewHandshakes(listener uintptr) {
	const (
		flagsOffset = 13 // in the TCP header
		flagSYN     = 0x02
		pass        = 0xffff
		drop        = 0
	)
	// A classic BPF program (McCanne and Jacobson, "The BSD packet filter",
	// 1993); on a TCP socket, offset 0 is the start of the TCP header.
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: flagSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: drop},
		{Code: unix.BPF_RET | unix.BPF_K, K: pass},
	}
	_ = unix.SetsockoptSockFprog(int(listener), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}

// countHandshakes counts the pending handshakes at a listener's address, whose final ACK has not
// arrived. The count is known only where the system reports it (proc_net_tcp(5)).
func countHandshakes(address net.Addr) (pending int, known bool) {
	const (
		fieldLocal, fieldState = 1, 3
		stateHandshake         = "03"
	)
	listener, ok := address.(*net.TCPAddr)
	if !ok {
		return 0, false
	}
	for _, table := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		file, err := os.Open(table)
		if err != nil {
			continue // The second table needs IPv6; some environments have neither.
		}
		known = true
		port := fmt.Sprintf(":%04X", listener.Port)
		for lines := bufio.NewScanner(file); lines.Scan(); {
			fields := strings.Fields(lines.Text())
			if len(fields) > fieldState && fields[fieldState] == stateHandshake && strings.HasSuffix(fields[fieldLocal], port) {
				pending++
			}
		}
		_ = file.Close()
	}
	return pending, known
}
