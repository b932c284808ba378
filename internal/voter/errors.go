package voter

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/consensus"
)

var (
	// ErrOutcomeUnknown means that a proposal may or may not be committed, now or
	// later.
	ErrOutcomeUnknown = errors.New("the outcome of the proposal is not known")
	// ErrDisk means that the voter's disk failed or is full. The voter does not
	// participate in the group until it is restarted. Nothing was proposed.
	ErrDisk = errors.New("the voter's disk failed")
	// ErrOverloaded means that a queue limit is reached. Nothing was proposed.
	ErrOverloaded = errors.New("the voter is overloaded")
	// ErrClosed means that the voter is closed. Nothing was proposed.
	ErrClosed = errors.New("the voter is closed")
)

// NotLeaderError means that this voter is not the leader, and names the known
// leader. Nothing was proposed, or the proposal can never be committed.
type NotLeaderError struct {
	// LeaderID is 0 when no leader is known.
	LeaderID      uint64
	LeaderAddress string
}

// Error returns a message with the leader's id and address.
func (e *NotLeaderError) Error() string {
	if e.LeaderID == 0 {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; voter %d at %s leads", e.LeaderID, e.LeaderAddress)
}

// RefusedError holds the reason why the leader refused a request. Nothing was
// proposed.
type RefusedError struct {
	Refusal consensus.Refusal
}

// Error returns a message with the reason.
func (e *RefusedError) Error() string { return "refused: " + e.Refusal.String() }

// refusalError converts a refusal of the core to an error.
func (v *Voter) refusalError(refusal consensus.Refusal) error {
	switch refusal {
	case consensus.RefusedNotLeader, consensus.RefusedTransferring:
		return v.notLeader()
	case consensus.RefusedOverloaded:
		return ErrOverloaded
	case consensus.RefusedHalted:
		return ErrDisk
	}
	return &RefusedError{Refusal: refusal}
}

func (v *Voter) notLeader() *NotLeaderError {
	leader := v.Status().Leader
	if leader == v.config.ID {
		// A leadership transfer is in progress and the new leader is not known yet.
		return &NotLeaderError{}
	}
	return &NotLeaderError{LeaderID: leader, LeaderAddress: v.addresses.lookup(leader)}
}
