package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/consensus"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/state"
	"github.com/martenstage/martenstage/internal/voter"
)

const (
	// formatInterval is how often a leader whose state has an old format checks
	// whether all members support the latest one.
	formatInterval = 500 * time.Millisecond
	// formatTimeout bounds one status request to a member.
	formatTimeout = time.Second
)

// formatRaiser raises the format of the state once every member of the group runs
// a program that supports it. A voter stops at a command that it doesn't know, so
// during a rolling upgrade no command of the new format may be committed while a
// member runs an old program.
type formatRaiser struct {
	server *Server
}

func newFormatRaiser(server *Server) *formatRaiser { return &formatRaiser{server: server} }

// run returns once the format is raised, since the format never decreases.
func (r *formatRaiser) run(ctx context.Context) {
	ticker := time.NewTicker(formatInterval)
	defer ticker.Stop()
	for r.format() < state.LatestFormat {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.raise(ctx, r.server.voter.Status())
		}
	}
}

func (r *formatRaiser) format() (format uint32) {
	r.server.store.read(func(machine *state.Machine) { format = machine.Format() })
	return format
}

// raise proposes the format if this voter leads and all members support it. A
// member that does not answer counts as not supporting it.
func (r *formatRaiser) raise(ctx context.Context, status voter.Status) {
	if status.Role != consensus.Leader || !r.allSupport(ctx, status.ID, status.Members) {
		return
	}
	command := &v1.StateCommand{Body: &v1.StateCommand_Format{Format: &v1.FormatCommand{Format: state.LatestFormat}}}
	if _, err := r.server.propose(ctx, command); err != nil {
		r.server.logger.WithError(err).Debug("state_format_not_raised")
		return
	}
	r.server.logger.WithFields(logrus.Fields{"format": state.LatestFormat}).Info("state_format_raised")
}

// allSupport checks all members except this voter.
func (r *formatRaiser) allSupport(ctx context.Context, self uint64, members []consensus.MemberStatus) bool {
	for _, member := range members {
		if member.ID != self && !r.supports(ctx, member) {
			return false
		}
	}
	return true
}

func (r *formatRaiser) supports(ctx context.Context, member consensus.MemberStatus) bool {
	callCtx, cancel := context.WithTimeout(ctx, formatTimeout)
	defer cancel()
	request := connect.NewRequest(&v1.StatusRequest{Local: true})
	answer, err := r.server.clientsFor(member.Address).config.Status(callCtx, request)
	return err == nil && answer.Msg.GetAnsweredBy() == member.ID && answer.Msg.GetStateFormat() >= state.LatestFormat
}
