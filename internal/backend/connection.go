package backend

import (
	"bufio"
	"context"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// errUnwritten is the cause of an exchange that ended before a byte of its
// request was handed to the socket.
var errUnwritten = errors.New("nothing of the request was written")

// link is one HTTP/1.1 connection. It carries one exchange at a time, writes
// each request with one call and never writes one again, so it knows exactly
// whether any byte of a request may have left. That knowledge is what makes the
// verdict "not run" provable. net/http reads the replies.
type link struct {
	socket net.Conn
	reader *bufio.Reader
	// headLeft is how many more bytes may be read before the head of the
	// reply must be whole; what follows is bounded by the reader of the body.
	headLeft int64
	// raw is the descriptor under the socket, nil if it has none. Peek is
	// readOne, alive and stray are its results; they are kept here so that the
	// look at an idle connection allocates nothing.
	raw   syscall.RawConn
	peek  func(descriptor uintptr) bool
	alive bool
	stray [1]byte
	// interrupted is set once an exchange was given up; the socket has no
	// further use then.
	interrupted atomic.Bool
}

const (
	// readBuffer holds a reply of a few kilobytes.
	readBuffer = 4 << 10
	// maxHead bounds the head of a reply, in bytes.
	maxHead = 64 << 10
)

var errHeadTooLong = errors.Newf("the head of the reply is longer than %d bytes", maxHead)

// newLink returns a link over an open socket.
func newLink(socket net.Conn) *link {
	created := &link{socket: socket}
	created.reader = bufio.NewReaderSize(created, readBuffer)
	if conn, ok := socket.(syscall.Conn); ok {
		if raw, err := conn.SyscallConn(); err == nil {
			created.raw, created.peek = raw, created.readOne
		}
	}
	return created
}

// Read implements io.Reader for the buffered reader.
func (l *link) Read(buffer []byte) (int, error) {
	if l.headLeft <= 0 {
		return 0, errHeadTooLong
	}
	read, err := l.socket.Read(buffer)
	l.headLeft -= int64(read)
	return read, err
}

// close ends the connection.
func (l *link) close() { _ = l.socket.Close() }

// usable reports whether an idle connection can carry another request: the
// server has neither closed it nor sent what nobody asked for. It reads
// without waiting, since nothing else reads an idle connection.
func (l *link) usable() bool {
	if l.interrupted.Load() || l.reader.Buffered() > 0 {
		return false
	}
	if l.raw == nil {
		return true
	}
	return l.raw.Read(l.peek) == nil && l.alive
}

// readOne reads a byte that should not be there, without waiting.
func (l *link) readOne(descriptor uintptr) bool {
	_, err := syscall.Read(int(descriptor), l.stray[:])
	l.alive = err == syscall.EAGAIN
	return true
}

// exchange is a request that was written and whose reply is being read.
type exchange struct {
	link     *link
	response *http.Response
	// release ends the watch over the caller's context.
	release func() bool
	// whole is false when the request could not be written to its end.
	whole bool
}

// begin writes a request and reads the head of its reply. Ending the context
// interrupts it, until the exchange is finished. The error errUnwritten
// proves that no byte of the request has left and none will.
func (l *link) begin(ctx context.Context, request []byte) (exchange, error) {
	begun := exchange{link: l, release: context.AfterFunc(ctx, l.interrupt), whole: true}
	if ctx.Err() != nil || l.interrupted.Load() {
		begun.release()
		return begun, errUnwritten
	}
	_, writeErr := l.socket.Write(request)
	begun.whole = writeErr == nil
	var err error
	// The reply may have come although the request was not taken to its end.
	begun.response, err = l.readHead()
	if err == nil {
		return begun, nil
	}
	begun.release()
	if writeErr != nil {
		return begun, writeErr
	}
	return begun, err
}

// readHead reads the head of the next final reply.
func (l *link) readHead() (*http.Response, error) {
	l.headLeft = maxHead
	for {
		response, err := http.ReadResponse(l.reader, nil)
		if err != nil || response.StatusCode >= http.StatusOK {
			l.headLeft = math.MaxInt64
			return response, err
		}
	}
}

// finish ends the exchange after its body was read, whole or not, and reports
// whether the connection can carry another one.
func (e *exchange) finish(wasRead bool) bool {
	_ = e.response.Body.Close()
	return e.release() && wasRead && e.whole && !e.response.Close
}

// interrupt makes every read and write on the connection fail.
func (l *link) interrupt() {
	l.interrupted.Store(true)
	_ = l.socket.SetDeadline(time.Unix(1, 0))
}
