package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Sender sends the attempts of one query engine. Engines number their attempts
// independently, so each needs a sender with a unique name.
type Sender struct {
	*Client
	name string
}

// Sender returns a sender whose name is a prefix of its attempts' ids on the
// wire. The name must be unique across engines, routers and process starts.
func (c *Client) Sender(name string) *Sender { return &Sender{Client: c, name: name} }

// Send runs one attempt and returns its outcome, a query.PartArrived or a
// query.AttemptFailed. Canceling the context aborts the attempt and closes its
// connection.
//
// A pooled connection may turn out to be dead before the first byte of the
// query is passed to its socket. Only in this case is another connection tried.
func (s *Sender) Send(ctx context.Context, attempt query.Send) query.Event {
	target := s.serverAt(attempt.Address)
	wireID := s.attemptWireID(attempt.Attempt)
	for deadCount := 0; ; deadCount++ {
		connection, err := target.queries.acquire(ctx)
		if err != nil {
			return s.recordFailure(attempt.Attempt, verdict.NotRun, acquireReason(ctx, err))
		}
		connection.socket.beginRequest()
		response, err := connection.client.RoundTrip(s.newQuery(ctx, target, &attempt, wireID))
		if err == nil {
			outcome, reusable := s.readReply(ctx, sentQuery{attempt: attempt.Attempt, wireID: wireID}, response)
			target.queries.release(connection, reusable)
			return outcome
		}
		unwritten := connection.socket.sealUnwritten()
		target.queries.release(connection, false)
		if !unwritten || ctx.Err() != nil || deadCount == maxDeadConnections {
			return s.recordFailure(attempt.Attempt, writeVerdict(unwritten), transportReason(ctx))
		}
		s.metrics.deadConnections.Inc()
	}
}

// maxDeadConnections limits how many dead connections one attempt skips.
const maxDeadConnections = 3

// writeVerdict returns the verdict for an attempt that received no reply.
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

// transportReason distinguishes a timeout, a cancellation and a connection
// failure.
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

func (c *Client) recordFailure(attempt query.AttemptID, execution verdict.Verdict, reason verdict.Reason) query.AttemptFailed {
	c.metrics.attemptFailures.WithLabelValues(execution.String(), string(reason)).Inc()
	return query.AttemptFailed{Attempt: attempt, Verdict: execution, Reason: reason}
}

// attemptWireID returns the attempt's id on the wire, unique across routers and
// process starts.
func (s *Sender) attemptWireID(attempt query.AttemptID) string {
	const decimal = 10
	buffer := make([]byte, 0, len(s.name)+1+20)
	buffer = append(buffer, s.name...)
	buffer = append(buffer, '-')
	return string(strconv.AppendUint(buffer, uint64(attempt), decimal))
}

// queryBody hides the concrete type of its reader, so that net/http cannot
// rewind the body and resend it.
type queryBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (queryBody) Close() error { return nil }

// queryHeaders is the number of headers of a query, HeaderOnce included.
const queryHeaders = 10

// newQuery builds the HTTP request of an attempt. The header values share one
// array to save allocations: a router sends tens of thousands of queries per
// second.
func (s *Sender) newQuery(ctx context.Context, target *server, attempt *query.Send, wireID string) *http.Request {
	const decimal = 10
	values := make([]string, 0, queryHeaders)
	header := make(http.Header, queryHeaders)
	set := func(wireID, value string) {
		values = append(values, value)
		header[wireID] = values[len(values)-1 : len(values) : len(values)]
	}
	set(backendapi.HeaderRequest, attempt.CallerID)
	set(backendapi.HeaderAttempt, wireID)
	set(backendapi.HeaderService, attempt.Service)
	set(backendapi.HeaderShard, strconv.FormatUint(uint64(attempt.Shard), decimal))
	set(backendapi.HeaderGeneration, strconv.FormatUint(uint64(attempt.Generation), decimal))
	set(backendapi.HeaderVersion, strconv.FormatUint(attempt.Version, decimal))
	set(backendapi.HeaderTimeout, strconv.FormatInt(attempt.Timeout.Microseconds(), decimal))
	set(backendapi.HeaderZone, s.config.Zone)
	set("Content-Type", "application/json")
	if attempt.Once {
		set(backendapi.HeaderOnce, "1")
	}
	request := target.requestTemplate.WithContext(ctx)
	request.Header = header
	request.Body = http.NoBody
	if len(attempt.Body) > 0 {
		request.Body = queryBody{bytes.NewReader(attempt.Body)}
		request.ContentLength = int64(len(attempt.Body))
	}
	return request
}

// newRequestTemplate returns a request with the fields that all queries to one
// server share.
func newRequestTemplate(host string) *http.Request {
	return &http.Request{
		Method:     http.MethodPost,
		URL:        &url.URL{Scheme: "http", Host: host, Path: backendapi.PathQuery},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Host:       host,
	}
}

// readBody reads a reply body of at most MaxReplyBytes.
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
