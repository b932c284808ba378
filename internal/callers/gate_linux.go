package callers

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// refuseHandshakes makes the kernel drop the packets that begin a connection to
// a listener. Handshakes under way go on. Who is dropped tries again after a
// second, when the listener is closed, and is refused. Best effort: without the
// filter a connection may be reset that was made in the moment of closing.
func refuseHandshakes(listener uintptr) {
	const (
		flagsOffset = 13 // in the TCP header
		flagSYN     = 0x02
		pass        = 0xffff
		drop        = 0
	)
	// A classic BPF program (McCanne and Jacobson, "The BSD packet filter",
	// 1993) sees a packet from its TCP header on.
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: flagSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: drop},
		{Code: unix.BPF_RET | unix.BPF_K, K: pass},
	}
	_ = unix.SetsockoptSockFprog(int(listener), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}

// handshakesOpen counts the handshakes under way at a listener's address, of which the last
// packet has not come. It is known only where the system tells (proc_net_tcp(5)).
func handshakesOpen(address net.Addr) (open int, known bool) {
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
			continue // Without IPv6 there is one table, in some surroundings none.
		}
		known = true
		port := fmt.Sprintf(":%04X", listener.Port)
		for lines := bufio.NewScanner(file); lines.Scan(); {
			fields := strings.Fields(lines.Text())
			if len(fields) > fieldState && fields[fieldState] == stateHandshake && strings.HasSuffix(fields[fieldLocal], port) {
				open++
			}
		}
		_ = file.Close()
	}
	return open, known
}
