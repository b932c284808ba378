package consensus

import "time"

// Output holds the actions that the caller must carry out after a Step, in the
// order of the fields. The caller must not modify it.
type Output struct {
	// Messages may be sent at once.
	Messages []Message

	// Persist must be written and synced; nil if there is nothing new. Writes
	// happen in sequence order; several may share a sync. Afterwards the caller
	// steps Persisted, or DiskFailed on failure.
	Persist *Persist

	// AfterPersist messages may be sent only once this Persist and all earlier
	// ones are synced: a vote lost in a crash can elect two leaders in a term,
	// and a lost acknowledged entry can lose a committed entry.
	AfterPersist []Message

	// Restore replaces the state of the state machine before Committed is
	// applied. The snapshot is synced.
	Restore *Snapshot
	// Committed entries must be applied in order. They are synced locally.
	Committed []Entry

	// Proposals and Reads are the results of requests, matched by token.
	Proposals []ProposalResult
	Reads     []ReadResult

	// State is the soft state after the Step.
	State SoftState
	// NextDeadline is the time at which the caller must step the next timer event, at the
	// latest; zero for never.
	NextDeadline time.Time
}

// Persist is one atomic write.
type Persist struct {
	// Sequence numbers count up from 1 without gaps.
	Sequence uint64
	// Snapshot is written before all else; nil for none.
	Snapshot *Snapshot
	// ReplaceLog is set if Snapshot replaces the whole log.
	ReplaceLog bool
	// HardState replaces the stored one; nil keeps it.
	HardState *HardState
	// Entries are appended after everything from Entries[0].Index on is removed.
	Entries []Entry
	// CompactTo is the last index to remove from the front of the log, after
	// Snapshot is synced; 0 for none.
	CompactTo uint64
}

// SoftState is a voter's volatile view of its group; it is lost on restart.
type SoftState struct {
	Role Role
	// Leader is 0 when none is known.
	Leader uint64
	Term   uint64
	Commit uint64
	// Halted is set after DiskFailed.
	Halted bool
}

// Refusal is the reason why a request was refused. Every refusal other than
// Accepted guarantees that nothing was appended.
type Refusal uint8

// Refusals.
const (
	// Accepted means that the request was not refused.
	Accepted Refusal = iota
	RefusedNotLeader
	// RefusedTransferring: a leadership transfer is in progress.
	RefusedTransferring
	// RefusedOverloaded: the limit of uncommitted entries or pending reads is
	// reached.
	RefusedOverloaded
	RefusedTooLarge
	// RefusedHalted: the disk failed.
	RefusedHalted
	// RefusedChangePending: another membership change is not committed yet, or
	// the leader has not committed an entry of its term (§4.1).
	RefusedChangePending
	// RefusedLearnerBehind: the learner's synced log does not cover the commit
	// index yet.
	RefusedLearnerBehind
	RefusedUnknownMember
	// RefusedIDInUse: the member exists, or existed before; ids are not reused.
	RefusedIDInUse
	RefusedLastVoter
	// RefusedNoQuorum: the active voters would not be a quorum after the change.
	RefusedNoQuorum
)

// String returns a description of the refusal.
func (r Refusal) String() string {
	names := [...]string{
		"accepted", "not the leader", "leadership is being transferred", "overloaded", "too large",
		"the disk failed", "another membership change is pending", "the learner's log is behind",
		"no such member", "the id is or was in use", "the last voter cannot be removed",
		"the answering voters would not be a quorum",
	}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// ProposalResult is the result of a proposal or a membership change. If Refusal
// is Accepted, the entry is in the leader's log at Index and Term. It is committed
// if and only if an entry with that index and term is delivered in Committed.
type ProposalResult struct {
	Token   uint64
	Refusal Refusal
	Index   uint64
	Term    uint64
}

// ReadResult is the result of ConfirmRead: once the local state machine has
// applied Index, it reflects every commit made before the event.
type ReadResult struct {
	Token   uint64
	Refusal Refusal
	Index   uint64
}
