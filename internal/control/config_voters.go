package control

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/consensus"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/settings"
	"github.com/martenstage/martenstage/internal/voter"
)

// AddVoter adds a member and returns once it is a full voter.
func (s configService) AddVoter(
	ctx context.Context, request *connect.Request[v1.AddVoterRequest],
) (*connect.Response[v1.VotersResponse], error) {
	if _, err := settings.ParseAddress(request.Msg.GetAddress()); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if request.Msg.GetId() == 0 {
		return nil, refuse(connect.CodeInvalidArgument, "the voter id must not be 0")
	}
	var author string
	if err := authenticate(ctx, request.Header(), &author); err != nil {
		return nil, err
	}
	call := leaderCall[v1.AddVoterRequest, v1.VotersResponse]{
		local: func(ctx context.Context, request *v1.AddVoterRequest) (*v1.VotersResponse, error) {
			added := journal.Event{
				ID:      fmt.Sprintf("control/voter/%d/added", request.GetId()),
				Address: request.GetAddress(),
				Detail:  fmt.Sprintf("voter %d was added%s", request.GetId(), byAuthor(author)),
			}
			return s.changeVoters(ctx, added, func() error {
				return s.server.voter.AddVoter(ctx, request.GetId(), request.GetAddress())
			})
		},
		remote: func(leader voterClients, ctx context.Context, request *connect.Request[v1.AddVoterRequest]) (*connect.Response[v1.VotersResponse], error) {
			return leader.config.AddVoter(ctx, request)
		},
	}
	return call.do(ctx, s.server, request)
}

// RemoveVoter removes a voter.
func (s configService) RemoveVoter(
	ctx context.Context, request *connect.Request[v1.RemoveVoterRequest],
) (*connect.Response[v1.VotersResponse], error) {
	var author string
	if err := authenticate(ctx, request.Header(), &author); err != nil {
		return nil, err
	}
	call := leaderCall[v1.RemoveVoterRequest, v1.VotersResponse]{
		local: func(ctx context.Context, request *v1.RemoveVoterRequest) (*v1.VotersResponse, error) {
			removed := journal.Event{
				ID:     fmt.Sprintf("control/voter/%d/removed", request.GetId()),
				Detail: fmt.Sprintf("voter %d was removed%s", request.GetId(), byAuthor(author)),
			}
			return s.changeVoters(ctx, removed, func() error { return s.removeVoter(ctx, request.GetId()) })
		},
		remote: func(leader voterClients, ctx context.Context, request *connect.Request[v1.RemoveVoterRequest]) (*connect.Response[v1.VotersResponse], error) {
			return leader.config.RemoveVoter(ctx, request)
		},
	}
	return call.do(ctx, s.server, request)
}

// removeVoter removes a voter. A leader transfers leadership before it removes
// itself: once removed it receives no messages and could not report the outcome.
func (s configService) removeVoter(ctx context.Context, id uint64) error {
	status := s.server.voter.Status()
	if id != s.server.config.ID || !leadsOthers(status) {
		return s.server.voter.RemoveVoter(ctx, id)
	}
	if err := s.server.voter.TransferLeadership(ctx, 0); err != nil {
		return err
	}
	status = s.server.voter.Status()
	return &voter.NotLeaderError{LeaderID: status.Leader, LeaderAddress: status.LeaderAddress}
}

// byAuthor names the operator in an event. Without TLS keys the operator is not
// known.
func byAuthor(author string) string {
	if author == "" {
		return ""
	}
	return " by " + author
}

func (s configService) changeVoters(
	ctx context.Context, event journal.Event, change func() error,
) (*v1.VotersResponse, error) {
	if _, err := s.server.confirm(ctx); err != nil {
		return nil, err
	}
	if err := change(); err != nil {
		return nil, err
	}
	// Voter ids are never reused, so a repeated call stores no second event.
	event.Kind = journal.KindVoterReplaced
	s.server.recorder.Record(event)
	return s.voters(), nil
}

// ListVoters lists the voters and learners.
func (s configService) ListVoters(
	ctx context.Context, request *connect.Request[v1.ListVotersRequest],
) (*connect.Response[v1.VotersResponse], error) {
	call := leaderCall[v1.ListVotersRequest, v1.VotersResponse]{
		local: func(ctx context.Context, _ *v1.ListVotersRequest) (*v1.VotersResponse, error) {
			if _, err := s.server.confirm(ctx); err != nil {
				return nil, err
			}
			return s.voters(), nil
		},
		remote: func(leader voterClients, ctx context.Context, request *connect.Request[v1.ListVotersRequest]) (*connect.Response[v1.VotersResponse], error) {
			return leader.config.ListVoters(ctx, request)
		},
	}
	return call.do(ctx, s.server, request)
}

func (s configService) voters() *v1.VotersResponse {
	members := s.server.voter.Status().Members
	return &v1.VotersResponse{Voters: lo.Map(members, func(member consensus.MemberStatus, _ int) *v1.Voter { return wireVoter(member) })}
}

func wireVoter(member consensus.MemberStatus) *v1.Voter {
	return &v1.Voter{Id: member.ID, Address: member.Address, Learner: member.Learner}
}

// TransferLeadership transfers leadership to another voter.
func (s configService) TransferLeadership(
	ctx context.Context, request *connect.Request[v1.TransferLeadershipRequest],
) (*connect.Response[v1.TransferLeadershipResponse], error) {
	if err := authenticate(ctx, request.Header(), new(string)); err != nil {
		return nil, err
	}
	call := leaderCall[v1.TransferLeadershipRequest, v1.TransferLeadershipResponse]{
		local: func(ctx context.Context, request *v1.TransferLeadershipRequest) (*v1.TransferLeadershipResponse, error) {
			if err := s.server.voter.TransferLeadership(ctx, request.GetTo()); err != nil {
				return nil, err
			}
			return &v1.TransferLeadershipResponse{}, nil
		},
		remote: func(leader voterClients, ctx context.Context, request *connect.Request[v1.TransferLeadershipRequest]) (*connect.Response[v1.TransferLeadershipResponse], error) {
			return leader.config.TransferLeadership(ctx, request)
		},
	}
	return call.do(ctx, s.server, request)
}
