// Package testlink stands as a network between two processes under test, and
// cuts it: silently, as a network does that drops packets, or by resets.
package testlink

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/proof/testaddress"
)

// Link takes TCP connections and passes their bytes to a target and back.
type Link struct {
	listener net.Listener
	target   string
	silent   atomic.Bool
	// replyLimit is -1 for none.
	replyLimit atomic.Int64

	mutex sync.Mutex
	open  []*net.TCPConn
}

// New returns a link to a target address. It ends with the test.
func New(t testing.TB, target string) *Link {
	t.Helper()
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(t, err)
	created := &Link{listener: listener, target: target}
	created.replyLimit.Store(-1)
	go created.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		created.Reset()
	})
	return created
}

// Address is where the link takes connections.
func (l *Link) Address() netip.AddrPort { return netip.MustParseAddrPort(l.listener.Addr().String()) }

// Silence loses all bytes from now on, or no more. Connections are still taken.
// Those that lost bytes are of no use afterwards; Reset ends them.
func (l *Link) Silence(silent bool) { l.silent.Store(silent) }

// LimitReplies makes each new connection break after so many bytes from the
// target.
func (l *Link) LimitReplies(bytes int64) { l.replyLimit.Store(bytes) }

// Close ends the listener and resets all connections: nothing listens at the address any
// more.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Reset()
}

// Reset ends all connections without a farewell.
func (l *Link) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, connection := range l.open {
		reset(connection)
	}
	l.open = nil
}

func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", l.target)
		if err != nil {
			reset(near.(*net.TCPConn))
			continue
		}
		ends := []*net.TCPConn{near.(*net.TCPConn), far.(*net.TCPConn)}
		l.mutex.Lock()
		l.open = append(l.open, ends...)
		l.mutex.Unlock()
		go l.pass(ends[0], ends[1], -1)
		go l.pass(ends[1], ends[0], l.replyLimit.Load())
	}
}

// pass copies until a connection ends, or limit bytes were copied unless it is
// negative.
func (l *Link) pass(from, to *net.TCPConn, limit int64) {
	defer reset(from)
	defer reset(to)
	const size = 16 << 10
	buffer := make([]byte, size)
	limited := limit >= 0
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if l.silent.Load() {
			continue
		}
		last := limited && int64(count) >= limit
		if last {
			count = int(limit)
		}
		limit -= int64(count)
		if _, err := to.Write(buffer[:count]); err != nil || last {
			return
		}
	}
}
