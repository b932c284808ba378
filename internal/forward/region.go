package forward

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/remote"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

const (
	// maxConnectTimeout bounds the wait for a connection to an entry router.
	maxConnectTimeout = 500 * time.Millisecond
	// connectTimeoutDivisor limits the connect timeout to a fraction of the time
	// left, so that another entry router can be called after one that accepts no
	// connections.
	connectTimeoutDivisor = 4
)

// Cross implements router.RegionCaller. The context's deadline bounds the call.
func (c *Client) Cross(ctx context.Context, entry netip.AddrPort, request router.Request) router.ForwardResult {
	message := requestToWire(c.name, request, steadyclock.Now())
	message.Crossed, message.IdGenerated = true, request.IDGenerated
	tracedCtx, cancel, connTrace := traceConnection(ctx)
	defer cancel()
	response, err := c.peer(entry.String()).Query(tracedCtx, connect.NewRequest(message))
	if err != nil {
		return failedCrossing(ctx, entry, connTrace, err)
	}
	answer := answerFromWire(response.Msg)
	crossing := router.ForwardResult{Answer: answer, Outcome: remote.Answered}
	if answer.Err != nil && answer.Verdict == verdict.NotRun &&
		(answer.Err.Reason == verdict.ReasonStopping || answer.Err.Reason == verdict.ReasonNoLease) {
		crossing.Outcome = remote.Rejected
	}
	return crossing
}

// Reach implements router.RegionCaller.
func (c *Client) Reach(ctx context.Context, entry netip.AddrPort) error {
	_, err := c.peer(entry.String()).Reach(ctx, connect.NewRequest(&v1.ReachRequest{From: c.name}))
	return err
}

// failedCrossing returns the result of a call without an answer. Only a request
// that never had a connection is known not to have run.
func failedCrossing(ctx context.Context, entry netip.AddrPort, connTrace *connectionTrace, err error) router.ForwardResult {
	failure := &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnection,
		Detail: "entry router " + entry.String() + " did not answer"}
	outcome := remote.Broken
	if !connTrace.maybeSent() {
		failure.Verdict, outcome = verdict.NotRun, remote.NotConnected
		failure.Detail = "no connection to entry router " + entry.String()
		if connTrace.connectTimedOut.Load() {
			outcome = remote.SlowConnect
		}
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		failure.Reason, outcome = verdict.ReasonCanceled, remote.Abandoned
	case connTrace.maybeSent() && connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		// The entry router itself reports that the deadline has passed.
		failure.Reason, outcome = verdict.ReasonTimeout, remote.Answered
	case connTrace.maybeSent() && errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Reason, outcome = verdict.ReasonTimeout, remote.TimedOut
	}
	return router.ForwardResult{Answer: query.Answer{Verdict: failure.Verdict, Err: failure}, Outcome: outcome}
}

// connectionTrace records whether a request ever had a connection, on which it
// may have been sent.
type connectionTrace struct {
	connected atomic.Bool
	// clientFailed is set when the HTTP client returned without a response.
	clientFailed atomic.Bool
	// connectTimedOut is set when no connection was made within the timeout.
	connectTimedOut atomic.Bool
}

// maybeSent reports whether the request may have been sent. Until the HTTP
// client has returned, this can't be ruled out, since a connection may still be
// made.
func (c *connectionTrace) maybeSent() bool { return c.connected.Load() || !c.clientFailed.Load() }

type connectionKey struct{}

// traceConnection returns a context that is canceled when no connection is made
// within the connect timeout, and the trace of the connection.
func traceConnection(ctx context.Context) (context.Context, context.CancelFunc, *connectionTrace) {
	bounded, cancel := context.WithCancel(ctx)
	trace := &connectionTrace{}
	limit := maxConnectTimeout
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, steadyclock.Until(deadline)/connectTimeoutDivisor)
	}
	connectTimer := time.AfterFunc(limit, func() {
		if !trace.connected.Load() {
			trace.connectTimedOut.Store(true)
			cancel()
		}
	})
	traced := httptrace.WithClientTrace(context.WithValue(bounded, connectionKey{}, trace), &httptrace.ClientTrace{
		// GotConn is called before any part of the request is written.
		GotConn: func(httptrace.GotConnInfo) {
			trace.connected.Store(true)
			connectTimer.Stop()
		},
	})
	return traced, func() { connectTimer.Stop(); cancel() }, trace
}

// trackingHTTPClient records in the request's trace, if it has one, that the
// client returned without a response.
type trackingHTTPClient struct{ inner connect.HTTPClient }

// Do implements connect.HTTPClient.
func (w trackingHTTPClient) Do(request *http.Request) (*http.Response, error) {
	response, err := w.inner.Do(request)
	if trace, found := request.Context().Value(connectionKey{}).(*connectionTrace); found && err != nil {
		trace.clientFailed.Store(true)
	}
	return response, err
}
