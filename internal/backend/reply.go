package backend

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Causes of dropped replies, for the metric.
const (
	causeAttempt = "attempt"
	causeDigest  = "digest"
	causeEcho    = "echo"
	causeForm    = "form"
)

// sentQuery identifies the attempt that a reply must answer.
type sentQuery struct {
	attempt query.AttemptID
	// name is the attempt's id on the wire.
	name string
}

// readReply turns a reply into the attempt's outcome and reports whether the
// connection can be used again.
func (s *Sender) readReply(ctx context.Context, sent sentQuery, response *http.Response) (query.Event, bool) {
	body, err := s.readBody(response)
	_ = response.Body.Close()
	reusable := err == nil && !response.Close
	report := readReport(response.Header)
	if refused, ok := s.refusal(sent, response, report); ok {
		return refused, reusable
	}
	failed := query.AttemptFailed{Attempt: sent.attempt, Verdict: verdict.MayHaveRun, Report: report}
	switch {
	case err != nil:
		failed.Reason = transportReason(ctx)
	case response.StatusCode != http.StatusOK:
		failed.Reason = verdict.ReasonBackendError
	default:
		part, cause := s.readPart(sent, response.Header, body)
		if cause == "" {
			part.Report = report
			return part, reusable
		}
		s.metrics.badReplies.WithLabelValues(cause).Inc()
		failed.Reason = verdict.ReasonBadEcho
	}
	s.metrics.attemptFailures.WithLabelValues(failed.Verdict.String(), string(failed.Reason)).Inc()
	return failed, reusable
}

// refusal recognizes a reply by which the back end proves that the query was
// not run. The headers suffice: a body cut short changes nothing about it.
func (s *Sender) refusal(sent sentQuery, response *http.Response, report query.Report) (query.AttemptFailed, bool) {
	refusedStatus := response.StatusCode == http.StatusServiceUnavailable ||
		response.StatusCode == http.StatusTooManyRequests
	header := response.Header
	if !refusedStatus || sole(header, backendapi.HeaderVerdict) != verdict.NotRun.String() {
		return query.AttemptFailed{}, false
	}
	// A refusal of another attempt, or of none, proves nothing about this one.
	if sole(header, backendapi.HeaderAttempt) != sent.name {
		s.metrics.badReplies.WithLabelValues(causeAttempt).Inc()
		return query.AttemptFailed{}, false
	}
	failed := s.failure(sent.attempt, verdict.NotRun, backendapi.RefusalReason(header.Get(backendapi.HeaderReason)).Reason())
	failed.RetryAfter = milliseconds(header.Get(backendapi.HeaderRetryAfter))
	failed.Report = report
	return failed, true
}

// sole returns the value of a header that stands once. A header with two values
// contradicts itself, and nothing may be built on it.
func sole(header http.Header, name string) string {
	if values := header[name]; len(values) == 1 {
		return values[0]
	}
	return ""
}

// readPart checks a reply's echo and digest and reads its part. A non-empty
// cause says why the reply is to be dropped.
func (s *Sender) readPart(sent sentQuery, header http.Header, body []byte) (query.PartArrived, string) {
	if sole(header, backendapi.HeaderAttempt) != sent.name {
		return query.PartArrived{}, causeAttempt
	}
	if header.Get(backendapi.HeaderDigest) != backendapi.Digest(body) {
		return query.PartArrived{}, causeDigest
	}
	echo, ok := readEcho(header)
	if !ok {
		return query.PartArrived{}, causeEcho
	}
	part, err := readItems(body)
	if err != nil {
		return query.PartArrived{}, causeForm
	}
	return query.PartArrived{Attempt: sent.attempt, Echo: echo, Part: part}, ""
}

func readEcho(header http.Header) (query.Echo, bool) {
	const decimal, bits32, bits64 = 10, 32, 64
	shard, shardErr := strconv.ParseUint(header.Get(backendapi.HeaderShard), decimal, bits32)
	generation, generationErr := strconv.ParseUint(header.Get(backendapi.HeaderGeneration), decimal, bits32)
	version, versionErr := strconv.ParseUint(header.Get(backendapi.HeaderVersion), decimal, bits64)
	echo := query.Echo{
		Request:       header.Get(backendapi.HeaderRequest),
		Shard:         uint32(shard),
		Generation:    uint32(generation),
		Version:       version,
		RequestDigest: header.Get(backendapi.HeaderRequestDigest),
	}
	return echo, shardErr == nil && generationErr == nil && versionErr == nil
}

// readReport reads what a reply's headers say about its sender.
func readReport(header http.Header) query.Report {
	report := query.Report{Known: true, Draining: header.Get(backendapi.HeaderDraining) == "1"}
	report.Load = readLoad(header.Get(backendapi.HeaderLoad))
	report.Holdings = sole(header, backendapi.HeaderHoldings)
	return report
}

// readLoad reads "in_flight/slots/queued"; what is malformed counts as zero.
func readLoad(text string) backendapi.Load {
	inFlight, rest, _ := strings.Cut(text, "/")
	slots, queued, _ := strings.Cut(rest, "/")
	return backendapi.Load{InFlight: count(inFlight), Slots: count(slots), Queued: count(queued)}
}

func count(text string) int {
	parsed, err := strconv.Atoi(text)
	if err != nil || parsed < 0 {
		return 0
	}
	return parsed
}

func milliseconds(text string) time.Duration {
	return time.Duration(count(text)) * time.Millisecond
}
