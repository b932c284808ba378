package voter

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/consensus"
)

var errWriteQueueFull = errors.New("the disk has not answered for too long")

// proposalRequest waits for the outcome of one proposal.
type proposalRequest struct {
	data []byte
	done chan outcome
	// claimed is set either by the core loop before it proposes the data, or by
	// the caller when it cancels, whichever is first.
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

// Propose appends data to the group's log and returns the state machine's result
// once it is committed and applied. *NotLeaderError, ErrOverloaded, ErrDisk,
// ErrClosed and *RefusedError mean that it was not proposed or can never be
// committed, as does the context's error if it ended before the core loop took
// the proposal; ErrOutcomeUnknown means that it may be committed.
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
		return v.finalOutcome(request.done)
	}
}

// finalOutcome waits for the outcome that halt reports for every pending proposal.
func (v *Voter) finalOutcome(done <-chan outcome) (any, error) {
	ended := <-done
	return ended.result, ended.err
}

// ConfirmRead waits until the local state machine has applied every entry that was
// committed before the call, as confirmed by a quorum, and returns the index of
// the last one. On a non-leader it fails with *NotLeaderError.
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

// AwaitApplied waits until the local state machine has applied an index. It returns the
// context's error or ErrClosed.
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

// propose steps the core with a batch of proposals. Tokens are positions in the batch.
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
	l.outcomes.register(result.Index, pendingProposal{term: result.Term, done: done})
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
		l.pendingReads[l.readToken] = request
		l.step(consensus.ConfirmRead{Token: l.readToken})
	}
}

func (l *coreLoop) completeReads(results []consensus.ReadResult) {
	for _, result := range results {
		request := l.pendingReads[result.Token]
		delete(l.pendingReads, result.Token)
		answer := readAnswer{index: result.Index}
		if result.Refusal != consensus.Accepted {
			answer.err = l.refusalError(result.Refusal)
		}
		request.done <- answer
	}
}

// failQueuedChanges fails the queued membership changes when the loop ends.
func (l *coreLoop) failQueuedChanges() {
	for _, request := range drain(l.changes, requestRingCapacity) {
		request.done <- outcome{err: ErrClosed}
	}
}
