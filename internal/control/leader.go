package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/voter"
)

// headerForwarded marks a call that a voter forwarded, so that it is forwarded at
// most once.
const headerForwarded = "Martenstage-Forwarded"

// headerAuthor names the operator whose call a voter forwarded, if TLS keys are in
// use. It is trusted only in a call made by a voter.
const headerAuthor = "Martenstage-Author"

// voterClients holds the service clients of one voter.
type voterClients struct {
	address string
	config  martenstagev1connect.ConfigServiceClient
	claims  martenstagev1connect.ClaimServiceClient
	events  martenstagev1connect.JournalServiceClient
}

func newVoterClients(client *rpc.Client, address string) voterClients {
	baseURL, options := client.URL(address), rpc.ClientOptions()
	return voterClients{
		address: address,
		config:  martenstagev1connect.NewConfigServiceClient(client.HTTP(), baseURL, options),
		claims:  martenstagev1connect.NewClaimServiceClient(client.HTTP(), baseURL, options),
		events:  martenstagev1connect.NewJournalServiceClient(client.HTTP(), baseURL, options),
	}
}

// remoteCall makes a call to a voter.
type remoteCall[Request, Response any] func(voterClients, context.Context, *connect.Request[Request]) (*connect.Response[Response], error)

// leaderCall is a call that only the leader can answer.
type leaderCall[Request, Response any] struct {
	local  func(context.Context, *Request) (*Response, error)
	remote remoteCall[Request, Response]
}

// do answers the call locally if this voter leads, otherwise forwards it to the
// leader.
func (c leaderCall[Request, Response]) do(
	ctx context.Context, server *Server, request *connect.Request[Request],
) (*connect.Response[Response], error) {
	response, err := c.local(ctx, request.Msg)
	if err == nil {
		return connect.NewResponse(response), nil
	}
	var notLeader *voter.NotLeaderError
	if !errors.As(err, &notLeader) || notLeader.LeaderAddress == "" || request.Header().Get(headerForwarded) != "" {
		return nil, wireError(err)
	}
	forwarded := connect.NewRequest(request.Msg)
	forwarded.Header().Set(headerForwarded, "1")
	if identity, authenticated := rpc.IdentityFrom(ctx); authenticated {
		forwarded.Header().Set(headerAuthor, identity.Name)
	}
	forwardCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go server.cancelOnLeaderChange(forwardCtx, cancel, notLeader.LeaderID)
	answer, err := c.remote(server.clientsFor(notLeader.LeaderAddress), forwardCtx, forwarded)
	if err != nil && !connect.IsWireError(err) && !neverSent(err) {
		// The leader may have received the call before the connection broke.
		return nil, wireError(errors.Wrap(voter.ErrOutcomeUnknown, "the leader's answer was lost"))
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(answer.Msg), nil
}

// leaderPollInterval is how often a forwarded call checks whether the leader has
// changed.
const leaderPollInterval = 20 * time.Millisecond

// cancelOnLeaderChange cancels a call to a leader once this voter no longer
// follows it. Without this, a leader behind a silent network partition would hold
// the call until its connection times out. The outcome is then unknown, so the
// caller retries at the new leader under the same id.
func (s *Server) cancelOnLeaderChange(ctx context.Context, cancel context.CancelFunc, leader uint64) {
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	for s.voter.Status().Leader == leader {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	cancel()
}

// wireError gives an error the status code that clients act on: Aborted if the
// outcome is unknown; every other code means that nothing was done.
func wireError(err error) error {
	var coded *connect.Error
	var refused *voter.RefusedError
	switch {
	case errors.As(err, &coded):
		return err
	case errors.Is(err, voter.ErrOutcomeUnknown):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, voter.ErrOverloaded):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.As(err, &refused):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}

// refuse rejects a request with a status code. In most cases retrying the same
// request does not help.
func refuse(code connect.Code, format string, arguments ...any) error {
	return connect.NewError(code, errors.Newf(format, arguments...))
}
