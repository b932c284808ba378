package callers

import (
	"net/http"
	"time"

	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Bounds for callers that stall. A stalled caller holds a connection and a
// goroutine, and a planned stop would wait for it up to its limit.
const (
	// bodyLimit is how long a body may take when the caller named no deadline.
	bodyLimit = 10 * time.Second
	// leastBodyLimit is given to every body, so that one which came along with
	// the headers is read whatever the deadline.
	leastBodyLimit = 100 * time.Millisecond
	// writeLimit is how long a caller may take to accept the next writeStep
	// bytes of a reply.
	writeLimit = 10 * time.Second
	writeStep  = 64 << 10
)

// boundBody makes reading the body end at the deadline of the request, or
// after bodyLimit. Writers without a connection, as in tests, have no bound.
func boundBody(writer http.ResponseWriter, now, deadline time.Time) {
	limit := now.Add(bodyLimit)
	if !deadline.IsZero() && deadline.Before(limit) {
		limit = deadline
	}
	if least := steadyclock.Now().Add(leastBodyLimit); limit.Before(least) {
		limit = least
	}
	_ = http.NewResponseController(writer).SetReadDeadline(steadyclock.Runtime(limit))
}

// unboundBody lets the server go on watching the connection, by which it sees
// that a caller goes away.
func unboundBody(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
}

// boundWrites gives the end of each reply, which net/http sends after the
// handler has returned, a time limit of its own. The limit of the reply before
// on the same connection must not hold for a handler that takes long.
func boundWrites(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		controller := http.NewResponseController(writer)
		_ = controller.SetWriteDeadline(time.Time{})
		handler.ServeHTTP(writer, request)
		_ = controller.SetWriteDeadline(time.Now().Add(writeLimit))
	})
}

// writeSteadily sends a document to a caller who may be slow, but must not
// stand still.
func writeSteadily(writer http.ResponseWriter, document []byte) error {
	controller := http.NewResponseController(writer)
	for len(document) > 0 {
		step := min(len(document), writeStep)
		_ = controller.SetWriteDeadline(time.Now().Add(writeLimit))
		if _, err := writer.Write(document[:step]); err != nil {
			return err
		}
		document = document[step:]
	}
	return nil
}
