package control

import (
	"context"

	"connectrpc.com/connect"
	"github.com/samber/lo"
	"google.golang.org/protobuf/types/known/timestamppb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/state"
)

// Limits of list calls.
const (
	defaultListLimit = 100
	maxListLimit     = 10_000
)

func listLimit(requested uint32) int {
	if requested == 0 {
		return defaultListLimit
	}
	return int(min(requested, maxListLimit))
}

// Get returns one revision with its text.
func (s configService) Get(
	ctx context.Context, request *connect.Request[v1.GetRequest],
) (*connect.Response[v1.GetResponse], error) {
	call := leaderCall[v1.GetRequest, v1.GetResponse]{
		local: s.get,
		remote: func(leader voterClients, ctx context.Context, request *connect.Request[v1.GetRequest]) (*connect.Response[v1.GetResponse], error) {
			return leader.config.Get(ctx, request)
		},
	}
	return call.do(ctx, s.server, request)
}

func (s configService) get(ctx context.Context, request *v1.GetRequest) (*v1.GetResponse, error) {
	if _, err := s.server.confirm(ctx); err != nil {
		return nil, err
	}
	number := request.GetRevision()
	if number == 0 {
		number = s.server.latest().Number
	}
	if number == 0 {
		return nil, refuse(connect.CodeNotFound, "no configuration has been accepted yet")
	}
	revision, kept := s.server.revision(number)
	if !kept {
		return nil, refuse(connect.CodeNotFound, "revision %d does not exist or is not kept any more", number)
	}
	text, kept, err := s.server.revisionText(number)
	if err != nil {
		return nil, err
	}
	if !kept {
		return nil, refuse(connect.CodeNotFound, "the text of revision %d is not kept any more", number)
	}
	response := &v1.GetResponse{Revision: wireRevision(revision)}
	response.Revision.Text = text
	return response, nil
}

// History lists revisions without their texts.
func (s configService) History(
	ctx context.Context, request *connect.Request[v1.HistoryRequest],
) (*connect.Response[v1.HistoryResponse], error) {
	call := leaderCall[v1.HistoryRequest, v1.HistoryResponse]{
		local: s.history,
		remote: func(leader voterClients, ctx context.Context, request *connect.Request[v1.HistoryRequest]) (*connect.Response[v1.HistoryResponse], error) {
			return leader.config.History(ctx, request)
		},
	}
	return call.do(ctx, s.server, request)
}

func (s configService) history(ctx context.Context, request *v1.HistoryRequest) (*v1.HistoryResponse, error) {
	if _, err := s.server.confirm(ctx); err != nil {
		return nil, err
	}
	var history []state.Revision
	s.server.store.read(func(machine *state.Machine) { history = machine.History(listLimit(request.GetLimit())) })
	return &v1.HistoryResponse{
		Revisions: lo.Map(history, func(revision state.Revision, _ int) *v1.Revision { return wireRevision(revision) }),
	}, nil
}

// wireRevision converts a revision to its wire form, without the text.
func wireRevision(revision state.Revision) *v1.Revision {
	return &v1.Revision{
		Number:     revision.Number,
		ChangeId:   revision.ChangeID,
		Author:     revision.Author,
		Comment:    revision.Comment,
		AcceptedAt: timestamppb.New(revision.Accepted),
		RollbackOf: revision.RollbackOf,
	}
}
