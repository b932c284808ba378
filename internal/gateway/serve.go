package gateway

import (
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// exchangeState is what is known of one request while it is served.
type exchangeState struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time
	id      string
	route   *routing.Route
	version uint64
	// tenant is who sends the request; nil where that is not known or not asked for.
	tenant *routing.Tenant
	// confirmed is what is known of the document that the request is served by.
	confirmed confirmation
	// tried says that a server has just answered the request, which was suspected to end its
	// servers.
	tried bool
	// told is what the log says of an answer put together from slices.
	told gatherTold
}

// ServeHTTP serves one request of a client.
func (g *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	state := &exchangeState{gateway: g, writer: writer, request: request, arrived: steadyclock.Now(), id: g.config.Dialect.RequestID(request.Header)}
	if connection, ok := state.connection(); ok {
		connection.serving()
	}
	if g.closing.Load() || g.reach.isolated.Load() {
		writer.Header().Set("Connection", "close")
	}
	// Before the table is read: one that is put in force between the two is newer.
	state.confirmed = g.confirmation()
	table := state.awaitTable()
	if table == nil {
		state.refuse(http.StatusServiceUnavailable, verdict.ReasonNoLease, state.comeBack())
		return
	}
	state.version = table.Document().Version
	if limit := table.Document().Limits.HeaderBytes; limit > 0 && headerBytes(request) > limit {
		state.refuse(http.StatusRequestHeaderFieldsTooLarge, verdict.ReasonHeaderTooLarge, 0)
		return
	}
	state.route = table.Find(request.Host, pathOf(state.target()))
	if state.route == nil {
		state.refuseUnknown(http.StatusNotFound, verdict.ReasonUnknownRoute)
		return
	}
	if !state.identify(table) {
		return
	}
	if g.inFlight.Add(1) > maxInFlight {
		g.inFlight.Add(-1)
		state.refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, state.comeBack())
		return
	}
	defer g.inFlight.Add(-1)
	state.serve(table)
}

// comeBack is after how long a request that this router can't serve now may come
// back.
func (s *exchangeState) comeBack() time.Duration {
	return startRetry + time.Duration(float64(startSpread)*float64(xxhash.Sum64String(s.id))/math.MaxUint64)
}

// awaitTable returns the table of the document in force. A router that has just
// started waits a moment for its first one.
func (s *exchangeState) awaitTable() *routing.Table {
	if table := s.gateway.table.Load(); table != nil {
		return table
	}
	patience := time.NewTimer(min(s.remaining(), startPatience))
	defer patience.Stop()
	select {
	case <-s.gateway.known:
	case <-patience.C:
	case <-s.request.Context().Done():
	}
	return s.gateway.table.Load()
}

// remaining is how long the client waits from the arrival of its request.
func (s *exchangeState) remaining() time.Duration {
	remaining, given := s.gateway.config.Dialect.Remaining(s.request.Header)
	if !given {
		return defaultDeadline
	}
	return max(0, remaining-answerMargin)
}

// target is the path and query as the client sent them.
func (s *exchangeState) target() string {
	if target := s.request.RequestURI; len(target) > 0 && target[0] == '/' {
		return target
	}
	return s.request.URL.RequestURI()
}

func (s *exchangeState) serve(table *routing.Table) {
	body, status := s.readBody(table.Document().Limits.BodyBytes)
	if status != 0 {
		s.refuse(status, verdict.ReasonBodyTooLarge, 0)
		return
	}
	passed := newFingerprinted(&message.Request{
		Method: s.request.Method, Target: s.target(), Host: s.request.Host,
		Header: s.passedHeaders(table), Body: body, ID: s.id, Tenant: s.tenantName(),
	})
	if s.refuseIsolated() || s.refuseOverQuota() || !s.identifyAgain(table) || !s.guard(passed) {
		return
	}
	if s.route.Gathers() {
		s.serveGather(passed)
		return
	}
	s.serveSingle(passed)
}

// serveSingle answers a request that goes to one service.
func (s *exchangeState) serveSingle(passed *fingerprinted) {
	arriving := submitted{
		arrived: s.arrival(), request: passed, evidence: s.evidence(),
		id: make(chan scatter.RequestID, 1), answer: make(chan scatter.Result, 1),
	}
	s.gateway.loop.requests <- arriving
	select {
	case result := <-arriving.answer:
		if result.Reply == nil {
			s.fail(result)
			return
		}
		s.writeReply(result)
	case <-s.request.Context().Done():
		s.gateway.loop.events <- scatter.Abandoned{Request: <-arriving.id}
		s.tell("client_gone", 0, scatter.Result{})
	}
}

// readBody reads the whole body; status is 0 or the refusal.
func (s *exchangeState) readBody(limit int64) (body []byte, status int) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(s.writer, s.request.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// arrival sets the time that bounds the request and the service that it goes to.
func (s *exchangeState) arrival() scatter.Arrived {
	held := min(s.remaining(), s.route.Timeout)
	arrived := scatter.Arrived{
		Route: s.route, Services: s.route.Shards, Deadline: s.arrived.Add(held), Due: s.cut(),
	}
	if !s.route.Gathers() {
		arrived.Services = []string{s.route.ServiceOf(s.id)}
	}
	return arrived
}

// away is how much of the client's waiting is spent outside of this router.
func (s *exchangeState) away() time.Duration {
	connection, ok := s.connection()
	if !ok {
		return unknownRoundTrip
	}
	return connection.away()
}

// connection returns what is known of the client's connection.
func (s *exchangeState) connection() (*clientConnection, bool) {
	connection, ok := s.request.Context().Value(clientConnectionKey{}).(*clientConnection)
	return connection, ok
}

// writeReply passes the answer of a server on unchanged.
func (s *exchangeState) writeReply(result scatter.Result) {
	reply := result.Reply
	header := s.writer.Header()
	for name, values := range passedOn(reply.Header) {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		// Nil keeps net/http from guessing one.
		header["Content-Type"] = nil
	}
	s.write(reply.Status, reply.Body)
	s.tell("answered", reply.Status, result)
}

func (s *exchangeState) write(status int, body []byte) {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		s.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	s.writer.WriteHeader(status)
	_, _ = s.writer.Write(body)
}

// fail answers a request that brought nothing. Only one that provably has not
// run is refused with 503; the others have a status that promises nothing.
func (s *exchangeState) fail(result scatter.Result) {
	if result.Reason == verdict.ReasonQuarantined {
		s.refuseQuarantined(result)
		return
	}
	status := http.StatusBadGateway
	switch {
	case result.Verdict == verdict.NotRun:
		status = http.StatusServiceUnavailable
	case result.Reason == verdict.ReasonTimeout:
		status = http.StatusGatewayTimeout
	}
	s.writeFailure(status, result.Reason, result.RetryAfter)
	s.tell("failed", status, result)
}

// refuse answers a request that was not passed on at all.
func (s *exchangeState) refuse(status int, reason verdict.Reason, after time.Duration) {
	s.writeFailure(status, reason, after)
	s.tell("refused", status, scatter.Result{Verdict: verdict.NotRun, Reason: reason, RetryAfter: after})
}

func (s *exchangeState) writeFailure(status int, reason verdict.Reason, after time.Duration) {
	if after > 0 {
		s.gateway.config.Dialect.ComeBack(s.writer.Header(), after)
	}
	s.writeFailureText(status, string(reason))
}

func (s *exchangeState) writeFailureText(status int, text string) {
	s.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.write(status, slices.Concat([]byte(text), []byte("\n")))
}
