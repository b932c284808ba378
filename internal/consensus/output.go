package consensus

import "time"

// Output is what the caller must do after a Step, in the order of the fields.
// Nothing in it may be changed.
type Output struct {
	// Messages may leave at once.
	Messages []Message

	// Persist is to be written and synced; nil when there is nothing new. Writes
	// happen in the order of their sequence numbers; several may share a sync.
	// Persisted is to be stepped afterwards, a failure as DiskFailed.
	Persist *Persist

	// AfterPersist are promises. They may leave only once every Persist given
	// out so far, this Output's and earlier ones, is synced: a vote that is
	// forgotten in a crash can elect two leaders in a term, and an
	// acknowledgement that is forgotten can lose a committed entry.
	AfterPersist []Message

	// Restore replaces the state of the state machine, before Committed. Its
	// snapshot is synced.
	Restore *Snapshot
	// Committed entries are to be applied in order. They are synced locally.
	Committed []Entry

	// Proposals and Reads answer events by their tokens.
	Proposals []ProposalResult
	Reads     []ReadResult

	// State after the Step.
	State SoftState
	// Wake is when Wake must be stepped, at the latest; zero for never.
	Wake time.Time
}

// Persist is one atomic unit of writing.
type Persist struct {
	// Sequence numbers count up from 1 without gaps.
	Sequence uint64
	// Snapshot is written before all else; nil for none.
	Snapshot *Snapshot
	// ReplaceLog says that the log is dropped in favor of Snapshot.
	ReplaceLog bool
	// HardState replaces the stored one; nil leaves it.
	HardState *HardState
	// Entries are appended after everything from Entries[0].Index on is removed.
	Entries []Entry
	// CompactTo is the last index to remove from the front of the log, after
	// Snapshot is synced; 0 for none.
	CompactTo uint64
}

// SoftState is what a voter knows of its group; lost in a restart.
type SoftState struct {
	Role Role
	// Leader is 0 when none is known.
	Leader uint64
	Term   uint64
	Commit uint64
	// Halted is set after DiskFailed.
	Halted bool
}

// Refusal says why an event was not carried out. All refusals are proofs that
// nothing was appended.
type Refusal uint8

// Refusals.
const (
	// Accepted is no refusal.
	Accepted Refusal = iota
	RefusedNotLeader
	// RefusedTransferring: leadership is being handed over.
	RefusedTransferring
	// RefusedOverloaded: the bound of uncommitted entries or of waiting reads
	// is reached.
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
	// RefusedNoQuorum: the voters that answer would not be a quorum after the
	// change.
	RefusedNoQuorum
)

// String returns the refusal in words.
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

// ProposalResult answers a proposal or a membership change. When Refusal is
// Accepted the entry is in the leader's log at Index and Term. It is committed
// if and only if an entry of that index and term is handed out for applying.
type ProposalResult struct {
	Token   uint64
	Refusal Refusal
	Index   uint64
	Term    uint64
}

// ReadResult answers ConfirmRead: once the local state machine has applied
// Index, it reflects every commit made before the event.
type ReadResult struct {
	Token   uint64
	Refusal Refusal
	Index   uint64
}
