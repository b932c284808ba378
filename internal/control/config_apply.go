package control

import (
	"context"
	"strings"
	"unicode"

	"connectrpc.com/connect"

	"github.com/martenstage/martenstage/internal/configdelta"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/settings"
	"github.com/martenstage/martenstage/internal/state"
)

// Limits of operators' requests.
const (
	maxIDBytes      = 200
	maxCommentBytes = 2000
	maxDetailBytes  = 4000
	// MaxTextBytes bounds a configuration text. A site of 57,000 back ends takes
	// about 4 MB.
	MaxTextBytes = 16 << 20
)

// configService implements ConfigService.
type configService struct{ server *Server }

// Apply submits a configuration.
func (s configService) Apply(
	ctx context.Context, request *connect.Request[v1.ApplyRequest],
) (*connect.Response[v1.ApplyResponse], error) {
	if err := checkApply(request.Msg); err != nil {
		return nil, err
	}
	if err := authenticate(ctx, request.Header(), &request.Msg.Author); err != nil {
		return nil, err
	}
	call := leaderCall[v1.ApplyRequest, v1.ApplyResponse]{
		local: s.apply,
		remote: func(leader voterClients, ctx context.Context, request *connect.Request[v1.ApplyRequest]) (*connect.Response[v1.ApplyResponse], error) {
			return leader.config.Apply(ctx, request)
		},
	}
	return call.do(ctx, s.server, request)
}

func checkApply(request *v1.ApplyRequest) error {
	switch {
	case request.GetChangeId() == "" || len(request.GetChangeId()) > maxIDBytes:
		return refuse(connect.CodeInvalidArgument, "the change id must have 1 to %d bytes", maxIDBytes)
	case len(request.GetComment()) > maxCommentBytes:
		return refuse(connect.CodeInvalidArgument, "the comment is longer than %d bytes", maxCommentBytes)
	case strings.ContainsFunc(request.GetChangeId()+request.GetComment(), unicode.IsControl):
		return refuse(connect.CodeInvalidArgument, "change id and comment must be without control characters, such as the end of a line")
	case len(request.GetText()) > MaxTextBytes:
		return refuse(connect.CodeInvalidArgument, "the configuration is longer than %d bytes", MaxTextBytes)
	case request.GetRollbackTo() != 0 && request.GetText() != "":
		return refuse(connect.CodeInvalidArgument, "a rollback takes its text from the history; none may be given")
	default:
		return nil
	}
}

func (s configService) apply(ctx context.Context, request *v1.ApplyRequest) (*v1.ApplyResponse, error) {
	hash := state.ApplyHash(request.GetText(), request.GetRollbackTo())
	// A recorded result is final, so any applied state may answer with it.
	if first, known := s.server.recordedResult(request.GetChangeId(), hash); known {
		return applyResponse(first), nil
	}
	// Leadership is confirmed first, so that the text of a rollback has been applied
	// here and a voter that does not lead compiles nothing.
	if _, err := s.server.confirm(ctx); err != nil {
		return nil, err
	}
	command := &v1.ChangeCommand{
		ChangeId:         request.GetChangeId(),
		ExpectedRevision: request.GetExpectedRevision(),
		RequestHash:      hash,
		Author:           request.GetAuthor(),
		Comment:          request.GetComment(),
		RollbackOf:       request.GetRollbackTo(),
	}
	submitted, err := s.compile(command, request.GetText())
	if err != nil {
		return nil, err
	}
	result, err := s.server.propose(ctx, &v1.StateCommand{Body: &v1.StateCommand_Change{Change: command}})
	if err != nil {
		return nil, err
	}
	if result.Change.Result == v1.ApplyResult_APPLY_RESULT_ACCEPTED {
		s.server.compiled.put(result.Change.Revision, submitted)
	}
	return applyResponse(result.Change), nil
}

// compile fills in text and plan, and returns them. If the compiler rejects the
// text, the command is marked invalid and the rejection is recorded like any other
// result.
func (s configService) compile(command *v1.ChangeCommand, text string) (configdelta.Configuration, error) {
	var submitted configdelta.Configuration
	if command.GetRollbackOf() != 0 {
		earlier, kept, err := s.server.revisionText(command.GetRollbackOf())
		if err != nil {
			return submitted, err
		}
		if !kept {
			command.Invalid = "the text of that revision is not kept"
			return submitted, nil
		}
		text = earlier
	}
	compiled, err := s.server.compile(text)
	if err != nil {
		command.Invalid = truncate(err.Error(), maxDetailBytes)
		return submitted, nil
	}
	submitted = configdelta.Configuration{Text: text, Plan: compiled}
	return submitted, s.server.encodeChange(command, submitted)
}

func applyResponse(result state.ChangeResult) *v1.ApplyResponse {
	return &v1.ApplyResponse{
		Result:       result.Result,
		Revision:     result.Revision,
		WinnerAuthor: result.WinnerAuthor,
		Detail:       result.Detail,
	}
}

// truncate cuts a text to at most maxBytes, at a character boundary.
func truncate(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes], "")
}

// SetDrain sets or clears the drain mark of a back end.
func (s configService) SetDrain(
	ctx context.Context, request *connect.Request[v1.SetDrainRequest],
) (*connect.Response[v1.SetDrainResponse], error) {
	if _, err := settings.ParseAddress(request.Msg.GetAddress()); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if id := request.Msg.GetChangeId(); id == "" || len(id) > maxIDBytes {
		return nil, refuse(connect.CodeInvalidArgument, "the change id must have 1 to %d bytes", maxIDBytes)
	}
	if err := authenticate(ctx, request.Header(), &request.Msg.Author); err != nil {
		return nil, err
	}
	call := leaderCall[v1.SetDrainRequest, v1.SetDrainResponse]{
		local: s.setDrain,
		remote: func(leader voterClients, ctx context.Context, request *connect.Request[v1.SetDrainRequest]) (*connect.Response[v1.SetDrainResponse], error) {
			return leader.config.SetDrain(ctx, request)
		},
	}
	return call.do(ctx, s.server, request)
}

func (s configService) setDrain(ctx context.Context, request *v1.SetDrainRequest) (*v1.SetDrainResponse, error) {
	result, err := s.server.propose(ctx, &v1.StateCommand{Body: &v1.StateCommand_Drain{Drain: &v1.DrainCommand{
		ChangeId: request.GetChangeId(),
		Address:  request.GetAddress(),
		Draining: request.GetDraining(),
		Author:   request.GetAuthor(),
	}}})
	if err != nil {
		return nil, err
	}
	if result.Change.Result != v1.ApplyResult_APPLY_RESULT_ACCEPTED {
		return nil, refuse(connect.CodeAlreadyExists, "%s", result.Change.Detail)
	}
	return &v1.SetDrainResponse{}, nil
}
