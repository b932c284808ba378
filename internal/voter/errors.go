package voter

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/consensus"
)

var (
	// ErrOutcomeUnknown says that a proposal may or may not be committed, now or
	// later.
	ErrOutcomeUnknown = errors.New("the outcome of the proposal is not known")
	// ErrDisk says that the voter's disk failed or is full. The voter takes no
	// part in the group until it is restarted. Nothing was proposed.
	ErrDisk = errors.New("the voter's disk failed")
	// ErrOverloaded says that a bound on waiting work is reached. Nothing was
	// proposed.
	ErrOverloaded = errors.New("the voter is overloaded")
	// ErrClosed says that the voter is closed. Nothing was proposed.
	ErrClosed = errors.New("the voter is closed")
)

// NotLeaderError says that this voter does not lead, and who is believed to.
// Nothing was proposed, or what was proposed can never be committed.
type NotLeaderError struct {
	// LeaderID is 0 when no leader is known.
	LeaderID      uint64
	LeaderAddress string
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.LeaderID == 0 {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; voter %d at %s leads", e.LeaderID, e.LeaderAddress)
}

// RefusedError says why the leader did not carry out a request. Nothing was
// proposed.
type RefusedError struct {
	Refusal consensus.Refusal
}

// Error returns the reason in words.
func (e *RefusedError) Error() string { return "refused: " + e.Refusal.String() }

// refusalError turns a refusal of the core into an error.
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
		// It is just handing over, and does not know its successor yet.
		return &NotLeaderError{}
	}
	return &NotLeaderError{LeaderID: leader, LeaderAddress: v.addresses.of(leader)}
}
