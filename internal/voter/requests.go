package voter

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/consensus"
)

var errWritesStuck = errors.New("the disk has not answered for too long")

// proposalRequest waits for the outcome of one proposal.
type proposalRequest struct {
	data []byte
	done chan outcome
	// claimed is set by whoever comes first: the core loop that proposes it, or
	// the caller who gives up.
	claimed atomic.Bool
}

type readRequest struct {
	done chan readAnswer
}

type readAnswer struct {
	index uint64
	err   error
}

type changeRequest struct {
	change consensus.Change
	done   chan outcome
}

// Propose appends data to the group's log and returns what the state machine
// made of it once it is committed. Errors: *NotLeaderError, ErrOverloaded,
// ErrDisk, ErrClosed and *RefusedError all say that it was not proposed or can
// never be committed, as does the context's error when it ended before the
// proposal was taken up; ErrOutcomeUnknown says that it may be committed.
func (v *Voter) Propose(ctx context.Context, data []byte) (any, error) {
	request := &proposalRequest{data: data, done: make(chan outcome, 1)}
	if !v.proposals.TryPush(request) {
		return nil, ErrOverloaded
	}
	select {
	case ended := <-request.done:
		return ended.result, ended.err
	case <-ctx.Done():
		if request.claimed.CompareAndSwap(false, true) {
			return nil, errors.Wrap(ctx.Err(), "not proposed")
		}
		return nil, errors.Wrapf(ErrOutcomeUnknown, "%v", ctx.Err())
	case <-v.loopDone:
		if request.claimed.CompareAndSwap(false, true) {
			return nil, ErrClosed
		}
		return v.lastOutcome(request.done)
	}
}

// lastOutcome waits for the end that halt gives to every open proposal.
func (v *Voter) lastOutcome(done <-chan outcome) (any, error) {
	ended := <-done
	return ended.result, ended.err
}

// ConfirmRead returns once the local state machine holds every commit that was
// made before the call, confirmed by a quorum, and the index up to which that is.
// On a voter that does not lead it fails with *NotLeaderError.
func (v *Voter) ConfirmRead(ctx context.Context) (index uint64, err error) {
	request := &readRequest{done: make(chan readAnswer, 1)}
	if !v.reads.TryPush(request) {
		return 0, ErrOverloaded
	}
	var answer readAnswer
	select {
	case answer = <-request.done:
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-v.loopDone:
		return 0, ErrClosed
	}
	if answer.err != nil {
		return 0, answer.err
	}
	return answer.index, v.AwaitApplied(ctx, answer.index)
}

// AwaitApplied returns once the local state machine has reached an index. Errors are the
// context's and ErrClosed.
func (v *Voter) AwaitApplied(ctx context.Context, index uint64) error {
	select {
	case <-v.applied.reached(index):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-v.loopDone:
		return ErrClosed
	}
}

// propose steps the core with a batch of proposals. Tokens are positions.
func (l *coreLoop) propose(batch []*proposalRequest) {
	taken := make([]*proposalRequest, 0, len(batch))
	proposals := make([]consensus.Proposal, 0, len(batch))
	for _, request := range batch {
		if request.claimed.CompareAndSwap(false, true) {
			proposals = append(proposals, consensus.Proposal{Token: uint64(len(taken)), Data: request.data})
			taken = append(taken, request)
		}
	}
	output := l.step(consensus.Propose{Proposals: proposals})
	for _, result := range output.Proposals {
		l.awaitOutcome(result, taken[result.Token].done)
	}
}

func (l *coreLoop) awaitOutcome(result consensus.ProposalResult, done chan<- outcome) {
	if result.Refusal != consensus.Accepted {
		l.metrics.proposals.WithLabelValues("refused").Inc()
		done <- outcome{err: l.refusalError(result.Refusal)}
		return
	}
	l.metrics.proposals.WithLabelValues("appended").Inc()
	l.outcomes.await(result.Index, awaited{term: result.Term, done: done})
}

func (l *coreLoop) change(request *changeRequest) {
	output := l.step(consensus.ChangeMembership{Change: request.change})
	for _, result := range output.Proposals {
		l.awaitOutcome(result, request.done)
	}
}

func (l *coreLoop) read(batch []*readRequest) {
	for _, request := range batch {
		l.readToken++
		l.lastReads[l.readToken] = request
		l.step(consensus.ConfirmRead{Token: l.readToken})
	}
}

func (l *coreLoop) answerReads(results []consensus.ReadResult) {
	for _, result := range results {
		request := l.lastReads[result.Token]
		delete(l.lastReads, result.Token)
		answer := readAnswer{index: result.Index}
		if result.Refusal != consensus.Accepted {
			answer.err = l.refusalError(result.Refusal)
		}
		request.done <- answer
	}
}

// failWaiting ends what waits in the rings when the loop ends.
func (l *coreLoop) failWaiting() {
	for _, request := range drain(l.changes, requestRingCapacity) {
		request.done <- outcome{err: ErrClosed}
	}
}
