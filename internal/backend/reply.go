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

// Causes for which replies are dropped, as label values of the metric.
const (
	causeAttempt = "attempt"
	causeDigest  = "digest"
	causeEcho    = "echo"
	causeFormat  = "form"
)

// sentQuery identifies the attempt that a reply must belong to.
type sentQuery struct {
	attempt query.AttemptID
	// wireID is the attempt's id on the wire.
	wireID string
}

// readReply converts a reply to the attempt's outcome and reports whether the
// connection is reusable.
func (s *Sender) readReply(ctx context.Context, sent sentQuery, response *http.Response) (query.Event, bool) {
	body, err := s.readBody(response)
	_ = response.Body.Close()
	reusable := err == nil && !response.Close
	report := parseReport(response.Header)
	if refused, ok := s.parseRefusal(sent, response, report); ok {
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

// parseRefusal recognizes a reply by which the back end proves that the query
// was not run. Only the headers matter: a truncated body does not weaken it.
func (s *Sender) parseRefusal(sent sentQuery, response *http.Response, report query.Report) (query.AttemptFailed, bool) {
	refusedStatus := response.StatusCode == http.StatusServiceUnavailable ||
		response.StatusCode == http.StatusTooManyRequests
	header := response.Header
	if !refusedStatus || singleValue(header, backendapi.HeaderVerdict) != verdict.NotRun.String() {
		return query.AttemptFailed{}, false
	}
	// A refusal that names another attempt, or none, is no proof for this one.
	if singleValue(header, backendapi.HeaderAttempt) != sent.wireID {
		s.metrics.badReplies.WithLabelValues(causeAttempt).Inc()
		return query.AttemptFailed{}, false
	}
	failed := s.recordFailure(sent.attempt, verdict.NotRun, backendapi.RefusalReason(header.Get(backendapi.HeaderReason)).Reason())
	failed.RetryAfter = parseMilliseconds(header.Get(backendapi.HeaderRetryAfter))
	failed.Report = report
	return failed, true
}

// singleValue returns the value of a header that occurs exactly once. A header
// with several values is ambiguous and treated as absent.
func singleValue(header http.Header, name string) string {
	if values := header[name]; len(values) == 1 {
		return values[0]
	}
	return ""
}

// readPart verifies a reply's echoed headers and digest and decodes its part.
// A non-empty cause is the reason for dropping the reply.
func (s *Sender) readPart(sent sentQuery, header http.Header, body []byte) (query.PartArrived, string) {
	if singleValue(header, backendapi.HeaderAttempt) != sent.wireID {
		return query.PartArrived{}, causeAttempt
	}
	if header.Get(backendapi.HeaderDigest) != backendapi.Digest(body) {
		return query.PartArrived{}, causeDigest
	}
	echo, ok := parseEcho(header)
	if !ok {
		return query.PartArrived{}, causeEcho
	}
	part, err := parsePart(body)
	if err != nil {
		return query.PartArrived{}, causeFormat
	}
	return query.PartArrived{Attempt: sent.attempt, Echo: echo, Part: part}, ""
}

func parseEcho(header http.Header) (query.Echo, bool) {
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

// parseReport returns the back end's state as stated by a reply's headers.
func parseReport(header http.Header) query.Report {
	report := query.Report{Known: true, Draining: header.Get(backendapi.HeaderDraining) == "1"}
	report.Load = parseLoad(header.Get(backendapi.HeaderLoad))
	report.Holdings = singleValue(header, backendapi.HeaderHoldings)
	return report
}

// parseLoad parses "in_flight/slots/queued"; malformed numbers count as zero.
func parseLoad(text string) backendapi.Load {
	inFlight, rest, _ := strings.Cut(text, "/")
	slots, queued, _ := strings.Cut(rest, "/")
	return backendapi.Load{InFlight: parseCount(inFlight), Slots: parseCount(slots), Queued: parseCount(queued)}
}

func parseCount(text string) int {
	parsed, err := strconv.Atoi(text)
	if err != nil || parsed < 0 {
		return 0
	}
	return parsed
}

func parseMilliseconds(text string) time.Duration {
	return time.Duration(parseCount(text)) * time.Millisecond
}
