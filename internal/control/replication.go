package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/follower"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/state"
	"github.com/martenstage/martenstage/internal/voter"
)

// stateMachine lets a voter drive a Store.
type stateMachine struct {
	store  *Store
	logger logrus.FieldLogger
	// stop ends the process; called at most once.
	stop   func(error)
	failed error
}

var _ voter.StateMachine = (*stateMachine)(nil)

// Apply returns a state.Result, or an error once the log can't be followed any
// more. From then on nothing is applied, so that the state stays that of a
// whole prefix of the log.
func (m *stateMachine) Apply(index uint64, data []byte) any {
	if m.failed != nil {
		return m.failed
	}
	result, err := m.store.Apply(data)
	if err != nil {
		m.failed = errors.Wrapf(err, "log entry %d can't be applied", index)
		m.logger.WithError(m.failed).Error("the voter stops")
		m.stop(m.failed)
		return m.failed
	}
	return result
}

// Snapshot encodes the state.
func (m *stateMachine) Snapshot() ([]byte, error) {
	if m.failed != nil {
		return nil, m.failed
	}
	return m.store.Snapshot()
}

// Restore replaces the state.
func (m *stateMachine) Restore(data []byte) error { return m.store.Restore(data) }

// Bounds of one call that carries messages to another voter. The time grows
// with the size, since a snapshot of the whole state is one message.
const (
	deliverTimeout   = 500 * time.Millisecond
	deliverBytesRate = 10 << 20 // bytes per second
	// deliverCallBytes is from which size on further messages go into another
	// call; maxDeliverBytes is the most that is received in one.
	deliverCallBytes = 4 << 20
	maxDeliverBytes  = consensus.DefaultMaxSnapshotBytes + 2*deliverCallBytes
)

// transport carries messages to other voters over ConsensusService. The voter
// calls Send from one goroutine per receiver, so a slow one delays no other.
type transport struct {
	client *rpc.Client
	logger logrus.FieldLogger
}

var _ voter.Transport = transport{}

// Send delivers messages in order, a few megabytes in one call. A failure loses
// the rest of them, which the protocol allows for.
func (t transport) Send(to uint64, address string, messages [][]byte) {
	for len(messages) > 0 {
		count, size := 0, 0
		for count < len(messages) && size < deliverCallBytes {
			size += len(messages[count])
			count++
		}
		if !t.deliver(to, address, messages[:count], size) {
			return
		}
		messages = messages[count:]
	}
}

func (t transport) deliver(to uint64, address string, messages [][]byte, size int) bool {
	timeout := deliverTimeout + time.Duration(size)*time.Second/deliverBytesRate
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	service := martenstagev1connect.NewConsensusServiceClient(t.client.HTTP(), t.client.URL(address), rpc.ClientOptions())
	if _, err := service.Deliver(ctx, connect.NewRequest(&v1.DeliverRequest{Messages: messages})); err != nil {
		t.logger.WithFields(logrus.Fields{"voter": to, "address": address, "reason": err}).Debug("messages_not_delivered")
		return false
	}
	return true
}

// consensusService implements ConsensusService.
type consensusService struct{ voter *voter.Voter }

// Deliver takes in messages of another voter.
func (s consensusService) Deliver(
	_ context.Context, request *connect.Request[v1.DeliverRequest],
) (*connect.Response[v1.DeliverResponse], error) {
	s.voter.Deliver(request.Msg.GetMessages())
	return connect.NewResponse(&v1.DeliverResponse{}), nil
}

// propose replicates a command and returns what applying it gave.
func (s *Server) propose(ctx context.Context, command *v1.StateCommand) (state.Result, error) {
	data, err := state.Encode(s.config.Clock(), command)
	if err != nil {
		return state.Result{}, err
	}
	applied, err := s.voter.Propose(ctx, data)
	if err != nil {
		return state.Result{}, err
	}
	switch applied := applied.(type) {
	case state.Result:
		return applied, nil
	case error:
		// Committed, but this voter can't tell with what result.
		return state.Result{}, errors.Wrapf(voter.ErrOutcomeUnknown, "%v", applied)
	default:
		return state.Result{}, errors.Wrapf(voter.ErrOutcomeUnknown, "unexpected result %T", applied)
	}
}

// confirm returns the term once a quorum has confirmed, after the call began,
// that this voter leads, and once everything committed before is applied.
// Concurrent calls share confirmations. Its errors mean that nothing was done.
func (s *Server) confirm(ctx context.Context) (uint64, error) { return s.confirmer.Confirm(ctx) }

func (s *Server) confirmOnce(ctx context.Context) (uint64, error) {
	if _, err := s.voter.ConfirmRead(ctx); err != nil {
		var notLeader *voter.NotLeaderError
		if errors.As(err, &notLeader) {
			return 0, err
		}
		return 0, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "leadership is not confirmed"))
	}
	// Should this voter have been deposed and elected again since, the later
	// election proves its lead as well as the confirmation did.
	status := s.voter.Status()
	if status.Role != consensus.Leader {
		return 0, &voter.NotLeaderError{LeaderID: status.Leader, LeaderAddress: status.LeaderAddress}
	}
	return status.Term, nil
}

// leadership gives leases the confirmation in their own terms.
type leadership struct{ server *Server }

var _ follower.Leadership = leadership{}

// ConfirmLeadership returns the confirmed term or a *follower.NotLeaderError.
func (l leadership) ConfirmLeadership(ctx context.Context) (uint64, error) {
	term, err := l.server.confirm(ctx)
	var notLeader *voter.NotLeaderError
	if errors.As(err, &notLeader) {
		return 0, &follower.NotLeaderError{Leader: notLeader.LeaderAddress}
	}
	return term, err
}
