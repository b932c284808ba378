package emulator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/proof/dataset"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/verdict"
)

const (
	// leastTimeout is the shortest time left for which work is begun.
	leastTimeout = time.Millisecond
	// retryAfterOverload is the hint given with a refusal for overload.
	retryAfterOverload = 50 * time.Millisecond
	// retryAfterWarming is the hint given while the index is being loaded.
	retryAfterWarming = 500 * time.Millisecond
)

// run is one query on its way through a server.
type run struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	query   query
	active  *conditions
	attempt *attempt
	body    []byte
	record  records.Execution
}

// serveQuery answers one query and records what became of it.
func (s *Server) serveQuery(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	parsed, err := parseQuery(request.Header)
	if err != nil {
		s.refuseBadRequest(writer, http.StatusBadRequest, err)
		return
	}
	s.sleepFor(s.fleet.config.zoneDelay(parsed.zone, s.zone), request)
	one := &run{server: s, writer: writer, request: request, query: parsed, active: s.conditions.Load()}
	one.record = records.Execution{
		Backend: s.name, Service: parsed.service, Shard: parsed.shard, Generation: parsed.generation,
		Version: parsed.version, Request: parsed.request, Attempt: parsed.attempt, Once: parsed.once,
		Arrived: arrived,
	}
	defer one.finish()
	one.body, err = readBody(request, s.fleet.config.MaxBody)
	if errors.Is(err, errBodyTooLarge) {
		one.record.Refusal = string(backendapi.RefusalBodyTooLarge)
		s.refuseBadRequest(writer, http.StatusRequestEntityTooLarge, err)
		return
	}
	if err != nil {
		one.record.Refusal = string(backendapi.RefusalBadRequest)
		s.refuseBadRequest(writer, http.StatusBadRequest, err)
		return
	}
	one.record.BodyDigest = backendapi.Digest(one.body)
	one.execute()
}

// finish writes the record of the query.
func (r *run) finish() {
	r.record.Finished = time.Now()
	r.server.counters.count(&r.record)
	r.server.fleet.recorder.Execution(r.record)
}

// execute admits, runs and answers a query that was read whole.
func (r *run) execute() {
	server := r.server
	r.attempt = &attempt{id: r.query.attempt, gone: r.request.Context().Done(), canceled: make(chan struct{})}
	if r.query.timeout > 0 {
		r.attempt.deadline = time.NewTimer(r.query.timeout)
		defer r.attempt.deadline.Stop()
	}
	server.attempts.begin(r.attempt)
	defer server.attempts.end(r.attempt)
	if reason := r.admit(); reason != "" {
		r.refuse(reason)
		return
	}
	if reason := server.slots.acquire(r.attempt); reason != "" {
		r.refuse(reason)
		return
	}
	// A frozen process begins nothing, and the wait for the slot may have
	// outlasted the version or the client.
	server.waitWhilePaused(r.attempt.gone)
	if reason := r.recheck(); reason != "" {
		server.slots.release()
		r.refuse(reason)
		return
	}
	r.record.Executed = true
	r.record.Started = time.Now()
	outcome := r.work()
	server.waitWhilePaused(r.attempt.gone)
	server.slots.release()
	r.answer(outcome)
}

// admit returns why the query is refused before it waits, or "".
func (r *run) admit() backendapi.RefusalReason {
	server := r.server
	switch {
	case server.isDraining():
		return backendapi.RefusalDraining
	case server.isLoading():
		return backendapi.RefusalWarming
	case r.active.hit(FaultShed, server.fleet.config.Model.Seed, r.query.attempt) != nil:
		return backendapi.RefusalOverloaded
	case r.query.timeout > 0 && r.query.timeout < leastTimeout:
		return backendapi.RefusalDeadline
	}
	if _, held := server.holdings[r.holding()]; !held {
		return backendapi.RefusalUnknownShard
	}
	return r.recheck()
}

// recheck returns why the query can no longer begin, or "".
func (r *run) recheck() backendapi.RefusalReason {
	if r.attempt.isCanceled() {
		return backendapi.RefusalCanceled
	}
	if !r.server.schedule(r.query.service).holds(r.query.version, r.server.fleet.elapsed()) {
		return backendapi.RefusalUnknownVersion
	}
	return ""
}

func (r *run) holding() holding {
	return holding{service: r.query.service, generation: r.query.generation, shard: r.query.shard}
}

// outcome is how the work on a query ended.
type outcome uint8

const (
	outcomeDone outcome = iota + 1
	outcomeCanceled
	outcomeExpired
)

// work takes the query's service time, unless its client gives it up or its
// deadline comes first.
func (r *run) work() outcome {
	timer := time.NewTimer(r.serviceTime())
	defer timer.Stop()
	select {
	case <-timer.C:
		return outcomeDone
	case <-r.attempt.gone:
		return outcomeCanceled
	case <-r.attempt.canceled:
		return outcomeCanceled
	case <-r.attempt.expired():
		return outcomeExpired
	}
}

func (r *run) serviceTime() time.Duration {
	fleet := r.server.fleet
	elapsed := fleet.elapsed()
	base := fleet.config.Model.ServiceTime(servicetime.Query{
		Service: r.query.service, Server: r.server.name, Request: r.query.request, Shard: r.query.shard,
	}, elapsed)
	return time.Duration(float64(base) * r.active.slowFactor() * r.server.coldFactor(elapsed))
}

// refuse answers that the query was not run, and why.
func (r *run) refuse(reason backendapi.RefusalReason) {
	r.record.Refusal = string(reason)
	r.record.Canceled = reason == backendapi.RefusalCanceled
	status := http.StatusServiceUnavailable
	headers := r.writer.Header()
	switch reason {
	case backendapi.RefusalOverloaded:
		status = http.StatusTooManyRequests
		setRetryAfter(headers, retryAfterOverload)
	case backendapi.RefusalWarming:
		setRetryAfter(headers, retryAfterWarming)
	}
	headers[backendapi.HeaderVerdict] = []string{verdict.NotRun.String()}
	headers[backendapi.HeaderReason] = []string{string(reason)}
	r.setEcho(headers)
	r.reply(status, nil)
}

// answer replies to a query that ran, whole or in part.
func (r *run) answer(outcome outcome) {
	headers := r.writer.Header()
	r.setEcho(headers)
	seed := r.server.fleet.config.Model.Seed
	switch {
	case outcome == outcomeCanceled:
		r.record.Canceled = true
		r.replyWithoutPart(http.StatusConflict, backendapi.RefusalCanceled)
	case outcome == outcomeExpired:
		r.record.Failed = true
		r.replyWithoutPart(http.StatusGatewayTimeout, backendapi.RefusalDeadline)
	case r.active.hit(FaultError, seed, r.query.attempt) != nil:
		r.record.Failed = true
		r.reply(http.StatusInternalServerError, nil)
	default:
		r.replyWithPart(headers)
	}
}

// replyWithoutPart ends a query whose work was cut short. It may have had
// effects, so the verdict does not say otherwise.
func (r *run) replyWithoutPart(status int, reason backendapi.RefusalReason) {
	headers := r.writer.Header()
	headers[backendapi.HeaderVerdict] = []string{verdict.MayHaveRun.String()}
	headers[backendapi.HeaderReason] = []string{string(reason)}
	r.reply(status, nil)
}

func (r *run) replyWithPart(headers http.Header) {
	part, hashes := dataset.AppendPart(nil, nil, dataset.Query{
		Service: r.query.service, Shard: r.query.shard, Shards: r.server.holdings[r.holding()],
		Version: r.query.version, RequestDigest: r.record.BodyDigest,
	})
	for _, hash := range hashes {
		r.record.ItemDigests = append(r.record.ItemDigests, dataset.FormatDigest(hash))
	}
	headers["Content-Type"] = []string{"application/json"}
	headers[backendapi.HeaderDigest] = []string{backendapi.Digest(part)}
	r.falsifyEcho(headers)
	r.reply(http.StatusOK, part)
}

// reply sends the reply over the delay between the zones, and any reset fault.
func (r *run) reply(status int, body []byte) {
	server := r.server
	server.sleepFor(server.fleet.config.zoneDelay(r.query.zone, server.zone), r.request)
	headers := r.writer.Header()
	server.setReport(headers)
	headers["Content-Length"] = []string{strconv.Itoa(len(body))}
	connection := connectionOf(r.request.Context())
	if fault := r.active.hit(FaultResetReply, server.fleet.config.Model.Seed, r.query.attempt); fault != nil && connection != nil {
		connection.resetAfter(int64(fault.Byte))
		defer connection.resetAfter(noReset)
	}
	r.writer.WriteHeader(status)
	_, err := r.writer.Write(body)
	if err == nil {
		err = http.NewResponseController(r.writer).Flush()
	}
	r.record.Replied = err == nil
}

func setRetryAfter(headers http.Header, after time.Duration) {
	headers[backendapi.HeaderRetryAfter] = []string{strconv.FormatInt(after.Milliseconds(), 10)}
}

// refuseBadRequest answers a request that breaks the contract.
func (s *Server) refuseBadRequest(writer http.ResponseWriter, status int, err error) {
	reason := backendapi.RefusalBadRequest
	if status == http.StatusRequestEntityTooLarge {
		reason = backendapi.RefusalBodyTooLarge
	}
	headers := writer.Header()
	headers.Set(backendapi.HeaderVerdict, verdict.NotRun.String())
	headers.Set(backendapi.HeaderReason, string(reason))
	http.Error(writer, err.Error(), status)
}

// sleepFor waits, or until the client is gone.
func (s *Server) sleepFor(duration time.Duration, request *http.Request) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
	}
}
