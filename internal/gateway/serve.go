package gateway

import (
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/httpdrain"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// exchangeState is the state of a client's request while it is served.
type exchangeState struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time
	id      string
	route   *routing.Route
	version uint64
	// tenant is the sender of the request; nil if it is unknown or not required.
	tenant *routing.Tenant
	// confirmed is the confirmation of the document by which the request is served.
	confirmed confirmation
	// tried is set if a server has just answered a trial of the request, which was suspected
	// of crashing servers.
	tried bool
	// trialRan is set if that was this request, which has thus run.
	trialRan bool
	// refusal tells why admission refused the request; nil if it did not.
	refusal *admissionRefusal
	// gathered describes the response in the log if it was gathered from slices.
	gathered gatherSummary
}

// ServeHTTP serves a client's request.
func (g *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	state := &exchangeState{gateway: g, writer: writer, request: request, arrived: steadyclock.Now(), id: g.config.Dialect.RequestID(request.Header)}
	if g.isolation.isolated.Load() {
		writer.Header().Set("Connection", "close")
	}
	// Read before the table, so that a document installed in between is newer than its
	// confirmation.
	state.confirmed = g.confirmation()
	table := state.awaitTable()
	if table == nil {
		state.refuse(http.StatusServiceUnavailable, verdict.ReasonNoLease, state.retryAfter())
		return
	}
	state.version = table.Document().Version
	state.route = table.Find(request.Host, pathOf(state.target()))
	if state.route == nil {
		state.refuseUnknown(http.StatusNotFound, verdict.ReasonUnknownRoute)
		return
	}
	if !state.identify(table) {
		return
	}
	if state.refuseWithoutServers() {
		return
	}
	body, received := state.receiveBody(table.Document().Limits.BodyBytes)
	if !received {
		return
	}
	// Counted only now: a request whose body has not arrived takes no place of others.
	if g.inFlight.Add(1) > maxInFlight {
		g.inFlight.Add(-1)
		state.refuse(http.StatusServiceUnavailable, verdict.ReasonOverloaded, state.retryAfter())
		return
	}
	defer g.inFlight.Add(-1)
	state.serve(table, body)
}

// retryAfter returns after how long a client may retry a request that this router can't serve
// now.
func (s *exchangeState) retryAfter() time.Duration {
	return retryDelay + time.Duration(float64(retrySpread)*float64(xxhash.Sum64String(s.id))/math.MaxUint64)
}

// awaitTable returns the table of the active document. A router that has just started waits
// briefly for its first document.
func (s *exchangeState) awaitTable() *routing.Table {
	if table := s.gateway.table.Load(); table != nil {
		return table
	}
	s.awaitFirst(s.gateway.documentKnown)
	return s.gateway.table.Load()
}

// awaitFirst waits briefly until something that a router lacks after its start is known.
func (s *exchangeState) awaitFirst(known <-chan struct{}) {
	timeout := time.NewTimer(min(s.remaining(), firstDocumentTimeout))
	defer timeout.Stop()
	select {
	case <-known:
	case <-timeout.C:
	case <-s.request.Context().Done():
	}
}

// refuseWithoutServers refuses a request if the router has no table of servers, as just after
// its start. It returns true if it has.
func (s *exchangeState) refuseWithoutServers() bool {
	if s.gateway.knowsServers() {
		return false
	}
	s.awaitFirst(s.gateway.serversKnown)
	if s.gateway.knowsServers() {
		return false
	}
	s.refuse(http.StatusServiceUnavailable, verdict.ReasonNoLease, s.retryAfter())
	return true
}

// remaining returns how long the client waits, counted from the arrival of its request.
func (s *exchangeState) remaining() time.Duration {
	remaining, given := s.gateway.config.Dialect.Remaining(s.request.Header)
	if !given {
		return defaultDeadline
	}
	return max(0, remaining-answerMargin)
}

// target returns the path and query as the client sent them.
func (s *exchangeState) target() string {
	if target := s.request.RequestURI; len(target) > 0 && target[0] == '/' {
		return target
	}
	return s.request.URL.RequestURI()
}

func (s *exchangeState) serve(table *routing.Table, body []byte) {
	forwarded := newFingerprinted(&message.Request{
		Method: s.request.Method, Target: s.target(), Host: s.request.Host,
		Header: s.forwardedHeaders(table), Body: body, ID: s.id, Tenant: s.tenantName(),
	})
	// Checked twice: the body may take long to arrive, and admission may wait.
	if s.refuseLate() || !s.admit(table, forwarded) || s.refuseLate() {
		return
	}
	if s.route.Gathers() {
		s.serveGather(forwarded)
		return
	}
	s.serveSingle(forwarded)
}

// serveSingle answers a request that is sent to one service.
func (s *exchangeState) serveSingle(forwarded *fingerprinted) {
	incoming := submission{
		arrived: s.arrival(), request: forwarded, evidence: s.evidence(),
		id: make(chan scatter.RequestID, 1), answer: make(chan scatter.Result, 1),
	}
	s.gateway.loop.requests <- incoming
	select {
	case result := <-incoming.answer:
		if result.Reply == nil {
			s.fail(result)
			return
		}
		s.writeReply(result)
	case <-s.request.Context().Done():
		s.gateway.loop.events <- scatter.Abandoned{Request: <-incoming.id}
		s.recordOutcome("client_gone", 0, scatter.Result{})
	}
}

// receiveBody reads the complete body, until the deadline of the request. It reports whether it did;
// otherwise the request is refused.
func (s *exchangeState) receiveBody(limit int64) ([]byte, bool) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if s.request.Body != http.NoBody {
		// Fails only for a writer without a connection.
		_ = http.NewResponseController(s.writer).SetReadDeadline(steadyclock.RuntimeDeadline(s.deadline()))
	}
	body, err := io.ReadAll(http.MaxBytesReader(s.writer, s.request.Body, limit))
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &large):
		s.refuse(http.StatusRequestEntityTooLarge, verdict.ReasonBodyTooLarge, 0)
	case errors.Is(err, httpdrain.ErrRefused):
		s.recordOutcome("refused", http.StatusServiceUnavailable, scatter.Result{Verdict: verdict.NotRun, Reason: verdict.ReasonOverloaded})
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.writer.Header().Set("Connection", "close")
		s.refuse(http.StatusServiceUnavailable, verdict.ReasonDeadlinePassed, 0)
	default:
		s.refuse(http.StatusBadRequest, verdict.ReasonBadRequest, 0)
	}
	return nil, false
}

// ownDeadline returns the latest time for the answer by the client and the route.
func (s *exchangeState) ownDeadline() time.Time {
	return s.arrived.Add(min(s.remaining(), s.route.Timeout))
}

// deadline returns the latest time for the answer.
func (s *exchangeState) deadline() time.Time {
	deadline := s.ownDeadline()
	if answersBy := s.gateway.stop.answersBy.Load(); answersBy != nil && answersBy.Before(deadline) {
		return *answersBy
	}
	return deadline
}

// refuseLate refuses a request whose answer would come too late, before anything is sent for it
// but a trial. It reports whether it did.
func (s *exchangeState) refuseLate() bool { return s.refuseExpired() || s.refuseStopping() }

// refuseExpired refuses a request whose deadline has passed, before anything is sent for it but
// a trial. It reports whether it did.
func (s *exchangeState) refuseExpired() bool {
	if steadyclock.Now().Before(s.deadline()) {
		return false
	}
	if s.trialRan {
		s.fail(scatter.Result{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonTimeout})
		return true
	}
	// Without a delay: the client has no time left in which this request could be retried, and
	// nothing here speaks against its next one.
	s.refuse(http.StatusServiceUnavailable, verdict.ReasonDeadlinePassed, 0)
	return true
}

// arrival returns the engine's event of the request, with its deadline and services.
func (s *exchangeState) arrival() scatter.Arrived {
	arrived := scatter.Arrived{
		Route: s.route, Services: s.route.Shards, Deadline: s.deadline(), Due: s.cutoff(),
	}
	if !s.route.Gathers() {
		arrived.Services = []string{s.route.ServiceOf(s.id)}
	}
	return arrived
}

// networkDelay returns the part of the client's waiting time that is spent outside this
// router.
func (s *exchangeState) networkDelay() time.Duration {
	conn, ok := httpdrain.ConnOf(s.request.Context())
	if !ok {
		return unknownRoundTrip
	}
	return networkDelayOf(conn)
}

// writeReply forwards a server's response unchanged.
func (s *exchangeState) writeReply(result scatter.Result) {
	reply := result.Reply
	header := s.writer.Header()
	for name, values := range endToEndHeaders(reply.Header) {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		// Nil stops net/http from detecting a type.
		header["Content-Type"] = nil
	}
	s.write(reply.Status, reply.Body)
	s.recordOutcome("answered", reply.Status, result)
}

func (s *exchangeState) write(status int, body []byte) {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		s.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if conn, ok := httpdrain.ConnOf(s.request.Context()); ok {
		conn.Server().PrepareResponse(s.writer.Header())
	}
	s.writer.WriteHeader(status)
	_, _ = s.writer.Write(body)
}

// fail answers a request that got no response. Only a request that certainly has not run gets
// status 503; other statuses leave open whether it has run.
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
	s.recordOutcome("failed", status, result)
}

// refuse answers a request that was not sent to any server.
func (s *exchangeState) refuse(status int, reason verdict.Reason, after time.Duration) {
	s.writeFailure(status, reason, after)
	s.recordOutcome("refused", status, scatter.Result{Verdict: verdict.NotRun, Reason: reason, RetryAfter: after})
}

func (s *exchangeState) writeFailure(status int, reason verdict.Reason, after time.Duration) {
	if after > 0 {
		s.gateway.config.Dialect.SetRetryAfter(s.writer.Header(), after)
	}
	s.writeFailureText(status, string(reason))
}

func (s *exchangeState) writeFailureText(status int, text string) {
	s.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.write(status, slices.Concat([]byte(text), []byte("\n")))
}
