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

// headerForwarded marks a call that a voter passed on, so that it makes at most
// one hop.
const headerForwarded = "Martenstage-Forwarded"

// headerAuthor names the operator whose call a voter passed on, when keys are in
// use. It counts only in a call that a voter made.
const headerAuthor = "Martenstage-Author"

// peers are the clients of one voter's services.
type peers struct {
	address string
	config  martenstagev1connect.ConfigServiceClient
	claims  martenstagev1connect.ClaimServiceClient
	events  martenstagev1connect.JournalServiceClient
}

func newPeers(client *rpc.Client, address string) peers {
	baseURL, options := client.URL(address), rpc.ClientOptions()
	return peers{
		address: address,
		config:  martenstagev1connect.NewConfigServiceClient(client.HTTP(), baseURL, options),
		claims:  martenstagev1connect.NewClaimServiceClient(client.HTTP(), baseURL, options),
		events:  martenstagev1connect.NewJournalServiceClient(client.HTTP(), baseURL, options),
	}
}

// remoteCall makes a call to a voter.
type remoteCall[Request, Response any] func(peers, context.Context, *connect.Request[Request]) (*connect.Response[Response], error)

// leaderCall is a call that only the leader answers.
type leaderCall[Request, Response any] struct {
	local  func(context.Context, *Request) (*Response, error)
	remote remoteCall[Request, Response]
}

// do answers the call here when this voter leads, otherwise by the leader.
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
	if identity, proved := rpc.IdentityFrom(ctx); proved {
		forwarded.Header().Set(headerAuthor, identity.Name)
	}
	forwarding, cancel := context.WithCancel(ctx)
	defer cancel()
	go server.cancelAfterLeader(forwarding, cancel, notLeader.LeaderID)
	answer, err := c.remote(server.peersAt(notLeader.LeaderAddress), forwarding, forwarded)
	if err != nil && !connect.IsWireError(err) && !neverSent(err) {
		// The call may have reached the leader before the connection broke.
		return nil, wireError(errors.Wrap(voter.ErrOutcomeUnknown, "the leader's answer was lost"))
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(answer.Msg), nil
}

// leaderPoll is how often a call that was passed on looks who leads.
const leaderPoll = 20 * time.Millisecond

// cancelAfterLeader cancels a call to a leader once this voter no longer follows
// it: a leader that is cut off without a word would hold the call until its
// connection counts as broken. The outcome is then not known, so that the caller
// asks the new leader under the same id.
func (s *Server) cancelAfterLeader(ctx context.Context, cancel context.CancelFunc, leader uint64) {
	ticker := time.NewTicker(leaderPoll)
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

// wireError gives an error the code that clients act on: Aborted when the
// outcome is not known; all others say that nothing was done.
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

// refuse returns an error about the request itself; sending it again is of no
// use.
func refuse(code connect.Code, format string, arguments ...any) error {
	return connect.NewError(code, errors.Newf(format, arguments...))
}
