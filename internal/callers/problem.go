package callers

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

// statusClientClosed is the customary, unregistered status of a request whose
// client closed the connection. It appears only in the log.
const statusClientClosed = 499

// Problem is an RFC 9457 problem document. The verdict states whether the
// request may have run, and thus whether it is safe to resend.
type Problem struct {
	Type   string `json:"type" doc:"URI of the kind of problem"`
	Title  string `json:"title" doc:"Summary of the kind of problem"`
	Status int    `json:"status" doc:"HTTP status"`
	Detail string `json:"detail,omitempty" doc:"What happened this time"`
	// Request is the caller's request id, or the generated one.
	Request      string         `json:"request,omitempty" doc:"Request id"`
	Verdict      string         `json:"verdict" enum:"not_run,ran,may_have_run" doc:"Whether the request may have run"`
	Reason       verdict.Reason `json:"reason" doc:"Machine-readable cause"`
	RetryAfterMs int64          `json:"retry_after_ms,omitempty" doc:"Least pause before another try, milliseconds"`
	Missing      []Missing      `json:"missing,omitempty" nullable:"false" doc:"Shards that did not answer, with reasons"`
}

// Error implements the error interface.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// GetStatus implements huma.StatusError.
func (p *Problem) GetStatus() int { return p.Status }

// ContentType implements huma.ContentTypeFilter.
func (p *Problem) ContentType(string) string { return problemType }

// GetHeaders implements huma.HeadersError.
func (p *Problem) GetHeaders() http.Header {
	header := http.Header{}
	if p.RetryAfterMs > 0 {
		header.Set("Retry-After", retryAfterSeconds(p.RetryAfterMs))
	}
	return header
}

const problemType = "application/problem+json"

// problemBase prefixes the reason to form a problem's type URI.
const problemBase = "urn:martenstage:problem:"

// reasonStatus holds the HTTP status and title of each reason.
var reasonStatus = map[verdict.Reason]struct {
	status int
	title  string
}{
	verdict.ReasonUnknownRoute:      {http.StatusNotFound, "Unknown route"},
	verdict.ReasonBadRequest:        {http.StatusBadRequest, "Bad request"},
	verdict.ReasonBodyTooLarge:      {http.StatusRequestEntityTooLarge, "Body too large"},
	verdict.ReasonDeadlinePassed:    {http.StatusBadRequest, "Deadline in the past"},
	verdict.ReasonDeadlineTooShort:  {http.StatusServiceUnavailable, "Deadline can not be met"},
	verdict.ReasonNoLease:           {http.StatusServiceUnavailable, "No configuration lease"},
	verdict.ReasonStopping:          {http.StatusServiceUnavailable, "Router is stopping"},
	verdict.ReasonOverloaded:        {http.StatusTooManyRequests, "Overloaded"},
	verdict.ReasonNoReplica:         {http.StatusServiceUnavailable, "No replica available"},
	verdict.ReasonNoSnapshot:        {http.StatusServiceUnavailable, "No snapshot available"},
	verdict.ReasonSnapshotGone:      {http.StatusServiceUnavailable, "Snapshot disappeared"},
	verdict.ReasonDraining:          {http.StatusServiceUnavailable, "Back ends are leaving"},
	verdict.ReasonTimeout:           {http.StatusGatewayTimeout, "No answer in time"},
	verdict.ReasonConnection:        {http.StatusBadGateway, "Connection to a back end failed"},
	verdict.ReasonBadEcho:           {http.StatusBadGateway, "Back end answered wrongly"},
	verdict.ReasonBackendError:      {http.StatusBadGateway, "Back end failed"},
	verdict.ReasonCoverage:          {http.StatusServiceUnavailable, "Too few shards answered"},
	verdict.ReasonCanceled:          {statusClientClosed, "Canceled by the caller"},
	verdict.ReasonClaimHeld:         {http.StatusConflict, "Request id already used"},
	verdict.ReasonClaimExpired:      {http.StatusConflict, "Request id expired"},
	verdict.ReasonClaimMismatch:     {http.StatusConflict, "Request id used with another body"},
	verdict.ReasonClaimsUnavailable: {http.StatusServiceUnavailable, "Claims unavailable"},
	verdict.ReasonRegionUnreachable: {http.StatusServiceUnavailable, "Region unreachable"},
	verdict.ReasonWrongRegion:       {http.StatusServiceUnavailable, "Region does not own the route"},
	verdict.ReasonInternal:          {http.StatusInternalServerError, "Internal error"},
}

// newProblem returns the problem document of a refusal or failure.
func newProblem(failure *verdict.Error) *Problem {
	kind, ok := reasonStatus[failure.Reason]
	if !ok {
		kind = reasonStatus[verdict.ReasonInternal]
	}
	return &Problem{
		Type:         problemBase + string(failure.Reason),
		Title:        kind.title,
		Status:       kind.status,
		Detail:       failure.Detail,
		Verdict:      failure.Verdict.String(),
		Reason:       failure.Reason,
		RetryAfterMs: ceilMilliseconds(retryAfter(kind.status, failure.RetryAfter)),
	}
}

// newAnswerProblem returns the problem document of a failed query.
func newAnswerProblem(request string, answer query.Answer) *Problem {
	problem := newProblem(answer.Err)
	problem.Request = request
	problem.Missing = missingShards(answer)
	return problem
}

// newHumaProblem converts huma's own errors, such as an invalid parameter, to
// problem documents. They occur before anything is sent to a back end.
func newHumaProblem(status int, message string, causes ...error) huma.StatusError {
	reason := verdict.ReasonBadRequest
	if status >= http.StatusInternalServerError {
		reason = verdict.ReasonInternal
	}
	for _, cause := range causes {
		if cause != nil {
			message += "; " + cause.Error()
		}
	}
	return newProblem(verdict.Refuse(reason, message))
}

// minRetryAfter is the Retry-After of refusals that have no estimate.
const minRetryAfter = 250 * time.Millisecond

// retryAfter returns the pause that a refusal states. Every refusal that a
// retry may overcome states one, so that callers needn't guess.
func retryAfter(status int, known time.Duration) time.Duration {
	temporary := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if temporary && known <= 0 {
		return minRetryAfter
	}
	return known
}

// write sends the problem as the reply.
func (p *Problem) write(writer http.ResponseWriter) {
	header := writer.Header()
	header.Set("Content-Type", problemType)
	for name, values := range p.GetHeaders() {
		header[name] = values
	}
	document, err := json.Marshal(p)
	if err != nil {
		document = []byte(fmt.Sprintf(`{"status":%d,"verdict":%q}`, p.Status, p.Verdict))
	}
	header.Set("Content-Length", strconv.Itoa(len(document)))
	writer.WriteHeader(p.Status)
	_, _ = writer.Write(document)
}

func ceilMilliseconds(duration time.Duration) int64 {
	return int64((duration + time.Millisecond - 1) / time.Millisecond)
}

// retryAfterSeconds rounds up, since the header has whole seconds only.
func retryAfterSeconds(milliseconds int64) string {
	const perSecond = 1000
	return strconv.FormatInt(int64(math.Ceil(float64(milliseconds)/perSecond)), 10)
}
