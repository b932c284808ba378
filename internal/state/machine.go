// Package state is the replicated state machine of the control group. It holds the
// configuration history, results of operators' changes, at-most-once claims, drain
// marks and the event journal.
//
// The machine is deterministic: voters that apply the same commands in the same
// order have byte-identical snapshots. It has no clock. The leader adds a timestamp
// to each command, and the machine's time is the highest timestamp applied so far,
// so a leader whose clock is behind can't set it back. All state is bounded by
// Limits.
//
// A Machine is not safe for concurrent use; its owner serializes calls.
package state

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// Limits bound the size of the state. They are part of the state machine's
// definition: voters that run with different limits diverge.
type Limits struct {
	// Revisions is how many revisions the configuration history keeps, and
	// TextBytes how many bytes their texts and deltas may take. In the first format
	// the newest Texts revisions keep their text; in later formats up to Revisions
	// plus ChainLength do, as far as TextBytes allows. The latest text is always
	// kept.
	Revisions int
	Texts     int
	TextBytes int
	// ChainLength is the maximum number of consecutive deltas, and ChainBytes how
	// many bytes these may take if the full text that they are based on is smaller.
	// Both bound the cost of rebuilding a text.
	ChainLength int
	ChainBytes  int
	// Changes and ChangeBytes bound the results that are kept for resent change ids,
	// and ChangeAge how long they are kept. A later resend fails the check of its
	// expected revision instead, so removing a result never applies a change twice.
	Changes     int
	ChangeBytes int
	ChangeAge   time.Duration
	// ClaimBytes bounds the live claims, and ClaimExpiry is the longest expiry.
	// ClaimRetention is how long the tombstone of an expired claim is kept, and
	// ClaimIDs bounds live claims and tombstones together. When a bound is reached,
	// new claims are refused; existing ones are never removed early.
	ClaimBytes     int
	ClaimExpiry    time.Duration
	ClaimRetention time.Duration
	ClaimIDs       int
	// Events and EventBytes bound the journal's failure events, RoutineEvents and
	// RoutineEventBytes its routine events (see journal.Kind.Routine). The oldest
	// are dropped first.
	Events            int
	EventBytes        int
	RoutineEvents     int
	RoutineEventBytes int
}

// DefaultLimits returns the limits of all voters of this version. With a plan of
// 57,000 back ends they keep a snapshot below 120 MiB.
func DefaultLimits() Limits {
	const day = 24 * time.Hour
	const mebibyte = 1 << 20
	return Limits{
		Revisions:      10_000,
		Texts:          100,
		TextBytes:      16 * mebibyte,
		ChainLength:    512,
		ChainBytes:     64 << 10,
		Changes:        100_000,
		ChangeBytes:    16 * mebibyte,
		ChangeAge:      30 * day,
		ClaimBytes:     32 * mebibyte,
		ClaimExpiry:    7 * day,
		ClaimRetention: day,
		ClaimIDs:       3_000_000,
		Events:         100_000,
		EventBytes:     8 * mebibyte,

		RoutineEvents:     100_000,
		RoutineEventBytes: 8 * mebibyte,
	}
}

// Machine is the state after applying the log up to some index.
type Machine struct {
	limits  Limits
	format  uint32
	now     int64 // Unix milliseconds, highest timestamp applied
	config  configuration
	changes changeResults
	claims  claims
	drains  drainMarks
	journal journal
}

// New returns a Machine with an empty state.
func New(limits Limits) *Machine {
	return &Machine{
		limits:  limits,
		format:  formatFullText,
		changes: newChangeResults(),
		claims:  newClaims(),
		drains:  newDrainMarks(),
		journal: newJournal(),
	}
}

// Result is what applying one command returns to its proposer.
type Result struct {
	// Change is set by change and drain commands.
	Change ChangeResult
	// Claims holds one result per operation of a claim batch, ClaimNone for a
	// settlement.
	Claims []ClaimResult
}

// Apply applies one encoded command. An error means that this program cannot
// apply the log any further (a corrupt entry or a command of a newer version).
// The voter must then stop, because skipping the entry would make it diverge.
func (m *Machine) Apply(data []byte) (Result, error) {
	command := &v1.StateCommand{}
	if err := proto.Unmarshal(data, command); err != nil {
		return Result{}, errors.Wrap(err, "decode state command")
	}
	m.advance(command.GetTimeUnixMs())
	switch body := command.GetBody().(type) {
	case *v1.StateCommand_Change:
		return Result{Change: m.applyChange(body.Change)}, nil
	case *v1.StateCommand_Drain:
		return Result{Change: m.applyDrain(body.Drain)}, nil
	case *v1.StateCommand_Claims:
		return Result{Claims: m.applyClaims(body.Claims)}, nil
	case *v1.StateCommand_Events:
		for _, event := range body.Events.GetEvents() {
			m.journal.append(event, m.limits)
		}
		return Result{}, nil
	case *v1.StateCommand_Format:
		return Result{}, m.applyFormat(body.Format)
	default:
		return Result{}, errors.New("state command of an unknown kind, written by a newer version of the program")
	}
}

// advance moves the machine's time forward and removes expired entries.
func (m *Machine) advance(timestamp int64) {
	m.now = max(m.now, timestamp)
	m.changes.evict(m.now, m.limits)
	m.claims.expire(m.now, m.limits)
}

// Now returns the machine's time, which is the highest timestamp applied.
func (m *Machine) Now() time.Time { return time.UnixMilli(m.now) }

func (m *Machine) applyClaims(batch *v1.ClaimBatch) []ClaimResult {
	results := make([]ClaimResult, len(batch.GetOperations()))
	for index, operation := range batch.GetOperations() {
		if operation.GetSettle() == v1.ClaimOutcome_CLAIM_OUTCOME_UNSPECIFIED {
			results[index] = m.claims.claim(operation, m.now, m.limits)
		} else {
			m.claims.settle(operation, m.now, m.limits)
		}
	}
	return results
}
