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
	// longestConnect bounds the wait for a connection to an entry router.
	longestConnect = 500 * time.Millisecond
	// connectShare is the part of the time left that a connection may take, so
	// that another entry router can be asked after one that takes none.
	connectShare = 4
)

// Cross implements router.RegionCaller. The context's deadline bounds the call.
func (c *Client) Cross(ctx context.Context, entry netip.AddrPort, request router.Request) router.Crossing {
	message := requestToWire(c.name, request, steadyclock.Now())
	message.Crossed, message.IdGenerated = true, request.IDGenerated
	asked, cancel, connected := watched(ctx)
	defer cancel()
	response, err := c.peer(entry.String()).Query(asked, connect.NewRequest(message))
	if err != nil {
		return uncrossed(ctx, entry, connected, err)
	}
	answer := answerFromWire(response.Msg)
	crossing := router.Crossing{Answer: answer, Outcome: remote.Answered}
	if answer.Err != nil && answer.Verdict == verdict.NotRun &&
		(answer.Err.Reason == verdict.ReasonStopping || answer.Err.Reason == verdict.ReasonNoLease) {
		crossing.Outcome = remote.TurnedAway
	}
	return crossing
}

// Reach implements router.RegionCaller.
func (c *Client) Reach(ctx context.Context, entry netip.AddrPort) error {
	_, err := c.peer(entry.String()).Reach(ctx, connect.NewRequest(&v1.ReachRequest{From: c.name}))
	return err
}

// uncrossed describes a call without an answer. That the request was not run is
// proved only by its never having had a connection.
func uncrossed(ctx context.Context, entry netip.AddrPort, connected *connection, err error) router.Crossing {
	failure := &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnection,
		Detail: "entry router " + entry.String() + " did not answer"}
	outcome := remote.Broken
	if !connected.made() {
		failure.Verdict, outcome = verdict.NotRun, remote.NotConnected
		failure.Detail = "no connection to entry router " + entry.String()
		if connected.gaveUp.Load() {
			outcome = remote.SlowConnect
		}
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		failure.Reason, outcome = verdict.ReasonCanceled, remote.Abandoned
	case connected.made() && connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		// The entry router itself says that the time is over.
		failure.Reason, outcome = verdict.ReasonTimeout, remote.Answered
	case connected.made() && errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Reason, outcome = verdict.ReasonTimeout, remote.Silent
	}
	return router.Crossing{Answer: query.Answer{Verdict: failure.Verdict, Err: failure}, Outcome: outcome}
}

// connection records whether a request was ever given a connection, on which it
// may have been sent.
type connection struct {
	got atomic.Bool
	// failed is set when the HTTP client ended without an answer.
	failed atomic.Bool
	// gaveUp is set when no connection came in the time for one.
	gaveUp atomic.Bool
}

// made reports whether the request may have been sent. Only the end of the HTTP
// client's work proves that it was not, since until then a connection may come.
func (c *connection) made() bool { return c.got.Load() || !c.failed.Load() }

type connectionKey struct{}

// watched returns a context that ends when no connection is made in a part of
// the time left, and a record of the connection.
func watched(ctx context.Context) (context.Context, context.CancelFunc, *connection) {
	bounded, cancel := context.WithCancel(ctx)
	record := &connection{}
	limit := longestConnect
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, steadyclock.Until(deadline)/connectShare)
	}
	giveUp := time.AfterFunc(limit, func() {
		if !record.got.Load() {
			record.gaveUp.Store(true)
			cancel()
		}
	})
	traced := httptrace.WithClientTrace(context.WithValue(bounded, connectionKey{}, record), &httptrace.ClientTrace{
		// It is called before anything of the request is written.
		GotConn: func(httptrace.GotConnInfo) {
			record.got.Store(true)
			giveUp.Stop()
		},
	})
	return traced, func() { giveUp.Stop(); cancel() }, record
}

// watchedHTTP notes in the request's record, if it has one, that the client
// ended without an answer.
type watchedHTTP struct{ inner connect.HTTPClient }

// Do implements connect.HTTPClient.
func (w watchedHTTP) Do(request *http.Request) (*http.Response, error) {
	response, err := w.inner.Do(request)
	if record, found := request.Context().Value(connectionKey{}).(*connection); found && err != nil {
		record.failed.Store(true)
	}
	return response, err
}
