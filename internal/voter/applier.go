package voter

import (
	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/logging"
)

// applyRequest carries committed entries. If restore is set, it is restored first.
type applyRequest struct {
	restore *consensus.Snapshot
	entries []consensus.Entry
}

// machineSnapshot is the encoded state of the state machine as of an index.
type machineSnapshot struct {
	index uint64
	data  []byte
}

// applier owns the state machine.
type applier struct {
	voter   *Voter
	machine StateMachine
	// entries and bytes count what was applied since the last snapshot.
	entries uint64
	bytes   uint64
}

func (a *applier) run() {
	defer a.voter.running.Done()
	for {
		select {
		case request := <-a.voter.applies.Items():
			a.handle(request)
		case <-a.voter.loopDone:
			for _, request := range drain(a.voter.applies, applyRingCapacity) {
				a.handle(request)
			}
			return
		}
	}
}

func (a *applier) handle(request applyRequest) {
	if request.restore != nil {
		a.restore(*request.restore)
	}
	for _, entry := range request.entries {
		a.apply(entry)
	}
	if a.entries >= a.voter.config.SnapshotEntries || a.bytes >= a.voter.config.SnapshotBytes {
		a.takeSnapshot()
	}
}

func (a *applier) restore(snapshot consensus.Snapshot) {
	if err := a.machine.Restore(snapshot.Data); err != nil {
		// A state machine that can't be restored must not serve requests; this is
		// handled like a disk failure.
		a.voter.diskFailed(err)
		return
	}
	a.entries, a.bytes = 0, 0
	a.voter.outcomes.failUpTo(snapshot.Index, ErrOutcomeUnknown)
	a.voter.applied.advance(snapshot.Index)
}

func (a *applier) apply(entry consensus.Entry) {
	var result any
	if entry.Kind == consensus.EntryData {
		result = a.machine.Apply(entry.Index, entry.Data)
	}
	a.entries++
	a.bytes += uint64(len(entry.Data))
	a.voter.applied.advance(entry.Index)
	a.voter.outcomes.applied(entry.Index, entry.Term, result, func() error { return a.voter.notLeader() })
}

func (a *applier) takeSnapshot() {
	a.entries, a.bytes = 0, 0
	log := a.voter.logger.WithField(logging.FieldNode, a.voter.config.ID)
	data, err := a.machine.Snapshot()
	if err != nil {
		log.WithError(err).Error("snapshot failed; the log is not compacted")
		return
	}
	if limit := a.voter.config.Core.MaxSnapshotBytes; len(data) > limit {
		log.WithField("bytes", len(data)).WithField("limit", limit).Error("snapshot is too large; the log is not compacted")
		return
	}
	// If an earlier snapshot is still queued, this one is dropped; the next is
	// taken at the next threshold.
	a.voter.snapshots.TryPush(machineSnapshot{index: a.voter.applied.load(), data: data})
}
