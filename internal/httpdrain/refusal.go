package httpdrain

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRefused is what reading a request's body returns if the connection has refused the request
// itself. The request has been answered.
var ErrRefused = errors.New("the request was refused while it was being read")

const (
	// refusalRetryAfter is when a client may try again that was refused for memory.
	refusalRetryAfter = time.Second
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = 100 * time.Millisecond
)

// refusalStatus returns the status for a request that is refused while it is being read. It has
// not run, which all of them but 431 promise.
func refusalStatus(cause Cause) int {
	switch cause {
	case CauseHeaderTime:
		return http.StatusRequestTimeout
	case CauseHeaderSize:
		return http.StatusRequestHeaderFieldsTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

// refuse answers the request that is being read, in place of net/http.
func (c *Conn) refuse(cause Cause) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refuseLocked(cause)
}

// refuseLocked is refuse with the mutex held.
func (c *Conn) refuseLocked(cause Cause) {
	c.setCause(cause)
	if c.refused || c.responding || c.phase != Receiving && !c.handlerReads {
		return
	}
	c.refused = true
	status := refusalStatus(cause)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", int(refusalRetryAfter.Seconds()))
	}
	text := fmt.Sprintf("%s\n", cause)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	// If this fails, the client has left or does not read.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), retry, len(text), text)
}
