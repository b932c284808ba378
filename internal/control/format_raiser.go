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
	// formatInterval is how often a leader whose state is of an old format asks
	// whether the group is ready for the next one.
	formatInterval = 500 * time.Millisecond
	// formatTimeout bounds one question.
	formatTimeout = time.Second
)

// formatRaiser raises the format of the state once every member of the group
// runs a program that knows it. A voter stops at a command that it doesn't know,
// so during an upgrade no command of the new format may be committed as long as
// an old program is left.
type formatRaiser struct {
	server *Server
}

func newFormatRaiser(server *Server) *formatRaiser { return &formatRaiser{server: server} }

// run ends once the format is raised: it never goes down again.
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

// raise proposes the format when this voter leads and all members know it. A
// member that does not answer counts as one that doesn't.
func (r *formatRaiser) raise(ctx context.Context, status voter.Status) {
	if status.Role != consensus.Leader || !r.allKnow(ctx, status.ID, status.Members) {
		return
	}
	command := &v1.StateCommand{Body: &v1.StateCommand_Format{Format: &v1.FormatCommand{Format: state.LatestFormat}}}
	if _, err := r.server.propose(ctx, command); err != nil {
		r.server.logger.WithError(err).Debug("state_format_not_raised")
		return
	}
	r.server.logger.WithFields(logrus.Fields{"format": state.LatestFormat}).Info("state_format_raised")
}

// allKnow asks all members but this voter itself.
func (r *formatRaiser) allKnow(ctx context.Context, self uint64, members []consensus.MemberStatus) bool {
	for _, member := range members {
		if member.ID != self && !r.knows(ctx, member) {
			return false
		}
	}
	return true
}

func (r *formatRaiser) knows(ctx context.Context, member consensus.MemberStatus) bool {
	asking, cancel := context.WithTimeout(ctx, formatTimeout)
	defer cancel()
	request := connect.NewRequest(&v1.StatusRequest{Local: true})
	answer, err := r.server.peersAt(member.Address).config.Status(asking, request)
	return err == nil && answer.Msg.GetAnsweredBy() == member.ID && answer.Msg.GetStateFormat() >= state.LatestFormat
}
