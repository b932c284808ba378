package callers

import (
	"net/http"
	"time"

	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Time limits for stalled callers. A stalled caller holds a connection and a
// goroutine, and a planned stop would wait for it up to the stop's limit.
const (
	// bodyTimeout limits reading a body if the caller set no deadline.
	bodyTimeout = 10 * time.Second
	// minBodyTimeout applies to every body, so that one that arrived with the
	// headers is read regardless of the deadline.
	minBodyTimeout = 100 * time.Millisecond
	// writeTimeout limits how long a caller may take to receive the next
	// writeChunk bytes of a reply.
	writeTimeout = 10 * time.Second
	writeChunk   = 64 << 10
)

// setBodyDeadline limits reading the body to the deadline of the request, or to
// bodyTimeout. Writers without a connection, as in tests, have no limit.
func setBodyDeadline(writer http.ResponseWriter, now, deadline time.Time) {
	deadlineLimit := now.Add(bodyTimeout)
	if !deadline.IsZero() && deadline.Before(deadlineLimit) {
		deadlineLimit = deadline
	}
	if minLimit := steadyclock.Now().Add(minBodyTimeout); deadlineLimit.Before(minLimit) {
		deadlineLimit = minLimit
	}
	_ = http.NewResponseController(writer).SetReadDeadline(steadyclock.RuntimeDeadline(deadlineLimit))
}

// clearBodyDeadline removes the read deadline, so that the server can continue
// to watch the connection and notice when the caller closes it.
func clearBodyDeadline(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
}

// limitWrites sets a separate write deadline for the end of each reply, which
// net/http sends after the handler has returned. It first clears the deadline of
// the previous reply on the connection, which a slow handler could exceed.
func limitWrites(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		controller := http.NewResponseController(writer)
		_ = controller.SetWriteDeadline(time.Time{})
		handler.ServeHTTP(writer, request)
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	})
}

// writeInChunks sends a document with a time limit for each chunk: a caller may
// read slowly, but must not stall.
func writeInChunks(writer http.ResponseWriter, document []byte) error {
	controller := http.NewResponseController(writer)
	for len(document) > 0 {
		size := min(len(document), writeChunk)
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := writer.Write(document[:size]); err != nil {
			return err
		}
		document = document[size:]
	}
	return nil
}
