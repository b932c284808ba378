package control

import (
	"context"

	"connectrpc.com/connect"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/state"
)

// Limits of one call that appends events.
const (
	maxAppendedEvents = 1000
	maxEventBytes     = 4000
)

// maxListedEvents is the maximum that one call lists: the journal's capacity.
const maxListedEvents = 100_000

// journalService implements JournalService.
type journalService struct{ server *Server }

// Append stores events. An event whose id is already stored is not stored again.
func (s journalService) Append(
	ctx context.Context, request *connect.Request[v1.AppendEventsRequest],
) (*connect.Response[v1.AppendEventsResponse], error) {
	if err := checkEvents(request.Msg.GetEvents()); err != nil {
		return nil, err
	}
	call := leaderCall[v1.AppendEventsRequest, v1.AppendEventsResponse]{
		local: s.append,
		remote: func(leader voterClients, ctx context.Context, request *connect.Request[v1.AppendEventsRequest]) (*connect.Response[v1.AppendEventsResponse], error) {
			return leader.events.Append(ctx, request)
		},
	}
	return call.do(ctx, s.server, request)
}

func checkEvents(events []*v1.Event) error {
	if len(events) > maxAppendedEvents {
		return refuse(connect.CodeInvalidArgument, "more than %d events in one call", maxAppendedEvents)
	}
	for _, event := range events {
		if event.GetId() == "" || event.GetTime() == nil {
			return refuse(connect.CodeInvalidArgument, "an event needs an id and a time")
		}
		event.Detail = truncate(event.GetDetail(), maxEventBytes)
	}
	return nil
}

func (s journalService) append(ctx context.Context, request *v1.AppendEventsRequest) (*v1.AppendEventsResponse, error) {
	if len(request.GetEvents()) == 0 {
		return &v1.AppendEventsResponse{}, nil
	}
	if _, err := s.server.propose(ctx, eventsCommand(request.GetEvents()...)); err != nil {
		return nil, err
	}
	return &v1.AppendEventsResponse{}, nil
}

func eventsCommand(events ...*v1.Event) *v1.StateCommand {
	return &v1.StateCommand{Body: &v1.StateCommand_Events{Events: &v1.EventsCommand{Events: events}}}
}

// List returns the newest matching events, oldest first.
func (s journalService) List(
	ctx context.Context, request *connect.Request[v1.ListEventsRequest],
) (*connect.Response[v1.ListEventsResponse], error) {
	call := leaderCall[v1.ListEventsRequest, v1.ListEventsResponse]{
		local: s.list,
		remote: func(leader voterClients, ctx context.Context, request *connect.Request[v1.ListEventsRequest]) (*connect.Response[v1.ListEventsResponse], error) {
			return leader.events.List(ctx, request)
		},
	}
	return call.do(ctx, s.server, request)
}

func (s journalService) list(ctx context.Context, request *v1.ListEventsRequest) (*v1.ListEventsResponse, error) {
	if _, err := s.server.confirm(ctx); err != nil {
		return nil, err
	}
	filter := state.EventFilter{Service: request.GetService(), Limit: eventsLimit(request.GetLimit())}
	if request.GetSince() != nil {
		filter.Since = request.GetSince().AsTime()
	}
	response := &v1.ListEventsResponse{}
	s.server.store.read(func(machine *state.Machine) {
		response.Events = machine.Events(filter)
		response.Dropped = machine.EventsDropped()
	})
	return response, nil
}

func eventsLimit(requested uint32) int {
	if requested == 0 {
		return defaultListLimit
	}
	return int(min(requested, maxListedEvents))
}
