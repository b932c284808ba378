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
//
// A kept connection may turn out to be dead before the first byte of the query
// was handed to its socket. Then, and only then, another one is taken.
func (s *Sender) Send(ctx context.Context, attempt query.Send) query.Event {
	target := s.serverAt(attempt.Address)
	name := s.attemptName(attempt.Attempt)
	for dead := 0; ; dead++ {
		connected, err := target.queries.acquire(ctx)
		if err != nil {
			return s.failure(attempt.Attempt, verdict.NotRun, acquireReason(ctx, err))
		}
		connected.socket.begin()
		response, err := connected.client.RoundTrip(s.newQuery(ctx, target, &attempt, name))
		if err == nil {
			outcome, reusable := s.readReply(ctx, sentQuery{attempt: attempt.Attempt, name: name}, response)
			target.queries.release(connected, reusable)
			return outcome
		}
		unwritten := connected.socket.seal()
		target.queries.release(connected, false)
		if !unwritten || ctx.Err() != nil || dead == maxDeadConnections {
			return s.failure(attempt.Attempt, writeVerdict(unwritten), transportReason(ctx))
		}
		s.metrics.deadConnections.Inc()
	}
}

// maxDeadConnections bounds the dead connections that one attempt steps over.
const maxDeadConnections = 3

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

// queryBody hides the type of its reader, so that net/http finds no way to
// rewind the body and send it a second time.
type queryBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (queryBody) Close() error { return nil }

// queryHeaders is the number of headers of a query, HeaderOnce included.
const queryHeaders = 10

// newQuery builds the HTTP request of an attempt. Its header values share one
// array, since a router sends tens of thousands of them a second.
func (s *Sender) newQuery(ctx context.Context, target *server, attempt *query.Send, name string) *http.Request {
	const decimal = 10
	values := make([]string, 0, queryHeaders)
	header := make(http.Header, queryHeaders)
	set := func(name, value string) {
		values = append(values, value)
		header[name] = values[len(values)-1 : len(values) : len(values)]
	}
	set(backendapi.HeaderRequest, attempt.CallerID)
	set(backendapi.HeaderAttempt, name)
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
	request := target.template.WithContext(ctx)
	request.Header = header
	request.Body = http.NoBody
	if len(attempt.Body) > 0 {
		request.Body = queryBody{bytes.NewReader(attempt.Body)}
		request.ContentLength = int64(len(attempt.Body))
	}
	return request
}

// newTemplate is what the queries to one server have in common.
func newTemplate(host string) *http.Request {
	return &http.Request{
		Method:     http.MethodPost,
		URL:        &url.URL{Scheme: "http", Host: host, Path: backendapi.PathQuery},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Host:       host,
	}
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
