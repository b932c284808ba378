package voter

import (
	"time"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// diskStallTimeouts is the number of election timeouts without a completed sync
// after which a leader transfers leadership.
const diskStallTimeouts = 2

// coreLoop is the goroutine that owns the core.
type coreLoop struct {
	*Voter
	timer        *time.Timer
	pendingReads map[uint64]*readRequest
	readToken    uint64
	// pendingApply holds what did not fit into the applies ring.
	pendingApply applyRequest
	state        consensus.SoftState
	synced       uint64
	issued       uint64
	// unsyncedSince is when the oldest unsynced write was issued.
	unsyncedSince time.Time
	// proposalDeadline is when the pending proposals of a former leader end with
	// ErrOutcomeUnknown; zero for never.
	proposalDeadline time.Time
	failed           bool
}

func newCoreLoop(voter *Voter) *coreLoop {
	return &coreLoop{Voter: voter, timer: time.NewTimer(0), pendingReads: map[uint64]*readRequest{}}
}

func (l *coreLoop) run() {
	defer l.running.Done()
	defer close(l.loopDone)
	defer l.timer.Stop()
	for {
		select {
		case <-l.stop:
			l.failQueuedChanges()
			return
		case <-l.timer.C:
			l.step(consensus.DeadlineReached{})
		case <-l.syncSignal:
			l.handleSync()
		case event := <-l.requests.Items():
			l.step(event)
		case change := <-l.changes.Items():
			l.change(change)
		case taken := <-l.snapshots.Items():
			l.step(consensus.SnapshotTaken{Index: taken.index, Data: taken.data})
		case message := <-gated(l, l.messages.Items()):
			l.step(consensus.Receive{Message: message})
		case first := <-gated(l, l.proposals.Items()):
			l.propose(append([]*proposalRequest{first}, drain(l.proposals, maxProposalBatch-1)...))
		case read := <-gated(l, l.reads.Items()):
			l.read(append([]*readRequest{read}, drain(l.reads, maxProposalBatch-1)...))
		}
		l.checkDiskStall()
		l.expireProposals()
		l.publish()
	}
}

// gated returns nil, so that nothing is received, while the writer or the
// applier lags.
func gated[T any](l *coreLoop, items <-chan T) <-chan T {
	lagging := l.writes.Depth() > l.writes.Capacity()/2 ||
		l.applies.Depth() > l.applies.Capacity()/2 || len(l.pendingApply.entries) > 0
	if lagging && !l.failed {
		return nil
	}
	return items
}

func (l *coreLoop) step(event consensus.Event) consensus.Output {
	output := l.core.Step(steadyclock.Now(), event)
	l.senders.enqueue(output.Messages)
	l.persist(output)
	l.sendToApplier(output)
	l.completeReads(output.Reads)
	l.updateState(output.State)
	if output.NextDeadline.IsZero() {
		l.timer.Stop()
	} else {
		l.timer.Reset(steadyclock.Until(output.NextDeadline))
	}
	return output
}

func (l *coreLoop) persist(output consensus.Output) {
	if output.Persist == nil && len(output.AfterPersist) == 0 {
		return
	}
	if output.Persist != nil {
		if l.issued == l.synced {
			l.unsyncedSince = steadyclock.Now()
		}
		l.issued = output.Persist.Sequence
	}
	if !l.writes.TryPush(writeRequest{unit: output.Persist, messages: output.AfterPersist}) {
		l.diskFailed(errWriteQueueFull)
	}
}

// sendToApplier sends committed entries to the applier. If the ring is full, they
// are merged into the next request.
func (l *coreLoop) sendToApplier(output consensus.Output) {
	if output.Restore != nil {
		l.pendingApply = applyRequest{restore: output.Restore}
	}
	l.pendingApply.entries = append(l.pendingApply.entries, output.Committed...)
	if l.pendingApply.restore == nil && len(l.pendingApply.entries) == 0 {
		return
	}
	if l.applies.TryPush(l.pendingApply) {
		l.pendingApply = applyRequest{}
	}
}

// handleSync reports the writer's last sync or its failure to the core.
func (l *coreLoop) handleSync() {
	if l.diskError.Load() != nil {
		if !l.failed {
			l.failed = true
			l.step(consensus.DiskFailed{})
			l.outcomes.failUpTo(^uint64(0), ErrOutcomeUnknown)
		}
		return
	}
	l.synced = l.Voter.synced.Load()
	l.unsyncedSince = steadyclock.Now()
	l.step(consensus.Persisted{Sequence: l.synced})
}

// checkDiskStall makes a leader transfer leadership if its disk stalls.
func (l *coreLoop) checkDiskStall() {
	if l.state.Role == consensus.Leader && l.unsyncedFor() > diskStallTimeouts*l.config.ElectionTimeout {
		l.step(consensus.TransferLeadership{})
	}
}

func (l *coreLoop) unsyncedFor() time.Duration {
	if l.issued == l.synced {
		return 0
	}
	return steadyclock.Since(l.unsyncedSince)
}

func (l *coreLoop) updateState(state consensus.SoftState) {
	previous := l.state
	l.state = state
	if previous.Role == consensus.Leader && state.Role != consensus.Leader {
		// The new leader soon commits or overwrites the pending proposals.
		l.proposalDeadline = steadyclock.Now().Add(2 * l.config.ElectionTimeout)
	}
	if previous.Leader != state.Leader {
		l.metrics.leaderChanges.Inc()
		l.logger.WithField(logging.FieldNode, l.config.ID).WithField("leader", state.Leader).
			WithField("term", state.Term).WithField("voter_role", state.Role.String()).Info("leader changed")
	}
}

// expireProposals fails proposals whose outcome did not become known in time.
func (l *coreLoop) expireProposals() {
	if l.proposalDeadline.IsZero() || steadyclock.Now().Before(l.proposalDeadline) {
		return
	}
	l.proposalDeadline = time.Time{}
	if l.state.Role != consensus.Leader {
		l.outcomes.failUpTo(^uint64(0), ErrOutcomeUnknown)
	}
}

func (l *coreLoop) publish() {
	status := &Status{Status: l.core.Status(), UnsyncedFor: l.unsyncedFor()}
	l.addresses.setMembers(status.Members)
	l.status.Store(status)
	l.metrics.term.Set(float64(status.Term))
	l.metrics.leading.Set(boolValue(status.Role == consensus.Leader))
	l.metrics.commit.Set(float64(status.Commit))
	l.metrics.applied.Set(float64(l.applied.load()))
	l.metrics.diskFailed.Set(boolValue(status.Halted))
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
