package backend

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Sender sends the attempts of one engine. Engines number their attempts
// independently, so each has a sender with a name of its own.
type Sender struct {
	*Client
	name string
}

// Sender returns a sender whose name is part of its attempts' ids on the wire.
// The name must differ between engines, routers and starts of one router.
func (c *Client) Sender(name string) *Sender { return &Sender{Client: c, name: name} }

// Send carries out one attempt and returns its one outcome, a
// query.PartArrived or a query.AttemptFailed. Ending the context gives the
// attempt up and closes its connection.
func (s *Sender) Send(ctx context.Context, attempt query.Send) query.Event {
	target := s.serverAt(attempt.Address)
	connected, err := target.queries.acquire(ctx)
	if err != nil {
		return s.failure(attempt.Attempt, verdict.NotRun, acquireReason(ctx, err))
	}
	name := s.attemptName(attempt.Attempt)
	request := s.newQuery(target.host, &attempt, name)
	switch {
	case request.err != nil:
		target.queries.release(connected, true)
		return s.failure(attempt.Attempt, verdict.NotRun, verdict.ReasonInternal)
	case ctx.Err() != nil:
		target.queries.release(connected, true)
		return s.failure(attempt.Attempt, verdict.NotRun, transportReason(ctx))
	}
	begun, err := connected.begin(ctx, request.bytes())
	request.free()
	if err != nil {
		target.queries.release(connected, false)
		return s.failure(attempt.Attempt, writeVerdict(errors.Is(err, errUnwritten)), transportReason(ctx))
	}
	outcome, wasRead := s.readReply(ctx, sentQuery{attempt: attempt.Attempt, name: name}, begun.response)
	target.queries.release(connected, begun.finish(wasRead))
	return outcome
}

// writeVerdict is the verdict on an attempt whose reply did not come.
func writeVerdict(unwritten bool) verdict.Verdict {
	if unwritten {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

func acquireReason(ctx context.Context, err error) verdict.Reason {
	switch {
	case errors.Is(err, errNoConnection):
		return verdict.ReasonNoReplica
	case ctx.Err() != nil:
		return transportReason(ctx)
	default:
		return verdict.ReasonConnection
	}
}

// transportReason tells a timeout and a cancellation from a broken connection.
func transportReason(ctx context.Context) verdict.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.ReasonTimeout
	case ctx.Err() != nil:
		return verdict.ReasonCanceled
	default:
		return verdict.ReasonConnection
	}
}

func (c *Client) failure(attempt query.AttemptID, ran verdict.Verdict, reason verdict.Reason) query.AttemptFailed {
	c.metrics.attemptFailures.WithLabelValues(ran.String(), string(reason)).Inc()
	return query.AttemptFailed{Attempt: attempt, Verdict: ran, Reason: reason}
}

// attemptName is the attempt's id on the wire, unique over routers and starts.
func (s *Sender) attemptName(attempt query.AttemptID) string {
	const decimal = 10
	buffer := make([]byte, 0, len(s.name)+1+20)
	buffer = append(buffer, s.name...)
	buffer = append(buffer, '-')
	return string(strconv.AppendUint(buffer, uint64(attempt), decimal))
}

// newQuery lays out the HTTP request of an attempt.
func (s *Sender) newQuery(host string, attempt *query.Send, name string) *requestText {
	text := newRequest(http.MethodPost, backendapi.PathQuery, host)
	text.header(backendapi.HeaderRequest, attempt.CallerID)
	text.header(backendapi.HeaderAttempt, name)
	text.header(backendapi.HeaderService, attempt.Service)
	text.number(backendapi.HeaderShard, uint64(attempt.Shard))
	text.number(backendapi.HeaderGeneration, uint64(attempt.Generation))
	text.number(backendapi.HeaderVersion, attempt.Version)
	text.number(backendapi.HeaderTimeout, uint64(max(attempt.Timeout.Microseconds(), 0)))
	text.header(backendapi.HeaderZone, s.config.Zone)
	if attempt.Once {
		text.header(backendapi.HeaderOnce, "1")
	}
	text.body(attempt.Body)
	return text
}

// readBody reads a reply body of bounded size.
func (c *Client) readBody(response *http.Response) ([]byte, error) {
	limit := c.config.MaxReplyBytes
	if response.ContentLength > limit {
		return nil, errors.Newf("reply of %d bytes is longer than %d", response.ContentLength, limit)
	}
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errors.Newf("reply is longer than %d bytes", limit)
	}
	return body, err
}
