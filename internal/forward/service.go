package forward

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Local answers requests that other routers forward. router.Router implements
// it.
type Local interface {
	// QueryLocal answers without forwarding the request.
	QueryLocal(ctx context.Context, request router.Request) query.Answer
	// QueryCrossed answers a request of another region. It may forward it within
	// its own region.
	QueryCrossed(ctx context.Context, request router.Request) query.Answer
	// Ready reports whether requests are admitted, and the reason if not.
	Ready() (bool, verdict.Reason)
}

// service implements the ForwardService for peers.
type service struct{ local Local }

// NewHandler returns the path and the handler of the ForwardService.
func NewHandler(local Local, security *rpc.Security) (string, http.Handler) {
	path, handler := martenstagev1connect.NewForwardServiceHandler(&service{local: local}, rpc.HandlerOptions())
	return path, rpc.RequireRole(security, handler, keys.RoleRouter)
}

// Query implements martenstagev1connect.ForwardServiceHandler.
func (s *service) Query(ctx context.Context, message *connect.Request[v1.ForwardQueryRequest],
) (*connect.Response[v1.ForwardQueryResponse], error) {
	answerQuery := s.local.QueryLocal
	if message.Msg.GetCrossed() {
		answerQuery = s.local.QueryCrossed
	}
	answer := answerQuery(ctx, requestFromWire(message.Msg, steadyclock.Now()))
	return connect.NewResponse(answerToWire(answer)), nil
}

// Reach implements martenstagev1connect.ForwardServiceHandler.
func (s *service) Reach(context.Context, *connect.Request[v1.ReachRequest]) (*connect.Response[v1.ReachResponse], error) {
	if ready, reason := s.local.Ready(); !ready {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Newf("this router admits no requests: %s", reason))
	}
	return connect.NewResponse(&v1.ReachResponse{}), nil
}
