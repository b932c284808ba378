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

// stateMachine connects a voter to a Store.
type stateMachine struct {
	store  *Store
	logger logrus.FieldLogger
	// onFatal stops the process; called at most once.
	onFatal  func(error)
	applyErr error
}

var _ voter.StateMachine = (*stateMachine)(nil)

// Apply returns a state.Result, or an error once an entry can't be applied. After
// an error nothing more is applied, so the state always corresponds to a complete
// prefix of the log.
func (m *stateMachine) Apply(index uint64, data []byte) any {
	if m.applyErr != nil {
		return m.applyErr
	}
	result, err := m.store.Apply(data)
	if err != nil {
		m.applyErr = errors.Wrapf(err, "log entry %d can't be applied", index)
		m.logger.WithError(m.applyErr).Error("the voter stops")
		m.onFatal(m.applyErr)
		return m.applyErr
	}
	return result
}

// Snapshot encodes the state.
func (m *stateMachine) Snapshot() ([]byte, error) {
	if m.applyErr != nil {
		return nil, m.applyErr
	}
	return m.store.Snapshot()
}

// Restore replaces the state.
func (m *stateMachine) Restore(data []byte) error { return m.store.Restore(data) }

// Limits of one call that carries messages to another voter. The timeout grows
// with the size, since a snapshot of the complete state is one message.
const (
	deliverTimeout        = 500 * time.Millisecond
	deliverBytesPerSecond = 10 << 20 // bytes per second
	// deliverBatchBytes is the size after which further messages go into another
	// call; maxDeliverBytes is the maximum size that is received in one call.
	deliverBatchBytes = 4 << 20
	maxDeliverBytes   = consensus.DefaultMaxSnapshotBytes + 2*deliverBatchBytes
)

// transport sends messages to other voters over ConsensusService. The voter calls
// Send from one goroutine per receiver, so a slow receiver does not delay others.
type transport struct {
	client *rpc.Client
	logger logrus.FieldLogger
}

var _ voter.Transport = transport{}

// Send delivers messages in order, in calls of a few megabytes. After a failure
// the remaining messages are dropped, which the consensus protocol tolerates.
func (t transport) Send(to uint64, address string, messages [][]byte) {
	for len(messages) > 0 {
		count, size := 0, 0
		for count < len(messages) && size < deliverBatchBytes {
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
	timeout := deliverTimeout + time.Duration(size)*time.Second/deliverBytesPerSecond
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

// Deliver receives messages from another voter.
func (s consensusService) Deliver(
	_ context.Context, request *connect.Request[v1.DeliverRequest],
) (*connect.Response[v1.DeliverResponse], error) {
	s.voter.Deliver(request.Msg.GetMessages())
	return connect.NewResponse(&v1.DeliverResponse{}), nil
}

// propose replicates a command and returns the result of applying it.
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
		// The command is committed, but its result is not known here.
		return state.Result{}, errors.Wrapf(voter.ErrOutcomeUnknown, "%v", applied)
	default:
		return state.Result{}, errors.Wrapf(voter.ErrOutcomeUnknown, "unexpected result %T", applied)
	}
}

// confirm returns the term after a quorum has confirmed, since the call began,
// that this voter leads, and after everything committed before is applied.
// Concurrent calls share confirmations. An error means that nothing was done.
func (s *Server) confirm(ctx context.Context) (uint64, error) { return s.confirmer.Confirm(ctx) }

func (s *Server) confirmOnce(ctx context.Context) (uint64, error) {
	if _, err := s.voter.ConfirmRead(ctx); err != nil {
		var notLeader *voter.NotLeaderError
		if errors.As(err, &notLeader) {
			return 0, err
		}
		return 0, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "leadership is not confirmed"))
	}
	// If this voter was deposed and re-elected since the confirmation, the later
	// election proves its leadership as well.
	status := s.voter.Status()
	if status.Role != consensus.Leader {
		return 0, &voter.NotLeaderError{LeaderID: status.Leader, LeaderAddress: status.LeaderAddress}
	}
	return status.Term, nil
}

// leadership adapts confirm to the interface that leases use.
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
