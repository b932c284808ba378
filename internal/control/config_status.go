package control

import (
	"context"

	"connectrpc.com/connect"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/consensus"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/state"
	"github.com/martenstage/martenstage/internal/voter"
)

// Status describes the group and the nodes that follow it. Only a confirmed leader
// answers, unless the request asks for the voter's local view.
func (s configService) Status(
	ctx context.Context, request *connect.Request[v1.StatusRequest],
) (*connect.Response[v1.StatusResponse], error) {
	call := leaderCall[v1.StatusRequest, v1.StatusResponse]{
		local: s.status,
		remote: func(leader voterClients, ctx context.Context, request *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
			return leader.config.Status(ctx, request)
		},
	}
	return call.do(ctx, s.server, request)
}

func (s configService) status(ctx context.Context, request *v1.StatusRequest) (*v1.StatusResponse, error) {
	if !request.GetLocal() {
		if _, err := s.server.confirm(ctx); err != nil {
			return nil, err
		}
	}
	status := s.server.voter.Status()
	return &v1.StatusResponse{
		LeaderId:        status.Leader,
		Term:            status.Term,
		CommitIndex:     status.Commit,
		Revision:        s.server.latest().Number,
		RevisionInForce: s.server.root.ActiveRevision(),
		Voters:          wireVoterStatus(status),
		Nodes:           s.server.root.Nodes(),
		Machines:        s.server.root.Machines(),
		Routes:          s.server.root.RouteReports(),
		AnsweredBy:      status.ID,
		Confirmed:       !request.GetLocal(),
		StateFormat:     state.LatestFormat,
	}, nil
}

func wireVoterStatus(status voter.Status) []*v1.VoterStatus {
	return lo.Map(status.Members, func(member consensus.MemberStatus, _ int) *v1.VoterStatus {
		wire := &v1.VoterStatus{Voter: wireVoter(member), MatchIndex: member.Match, RecentlyActive: member.Active}
		if member.ID == status.ID && status.DiskError != nil {
			wire.DiskError = status.DiskError.Error()
		}
		return wire
	})
}
