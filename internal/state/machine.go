// Package state is the replicated state machine of control: configuration
// history, results of operators' changes, at-most-once claims, drain marks and
// the event journal.
//
// The machine is deterministic. Every voter applies the same commands in the
// same order and arrives at the same state, byte for byte in its snapshot. It
// has no clock: the leader stamps commands with its own, and the machine's time
// is the highest stamp seen so far, so a leader whose clock is behind can't
// move it back. Everything it remembers is bounded by Limits.
//
// A Machine is not safe for concurrent use; its owner serializes calls.
package state

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// Limits bound what the machine remembers. They are part of the state
// machine's definition: voters that run with different limits diverge.
type Limits struct {
	// Revisions is how many entries of the configuration history are kept, and
	// TextBytes how many bytes their texts and differences take. In the first
	// format Texts bounds how many of the newest ones keep their text; later
	// ones keep it for all Revisions and up to ChainLength more, as far as
	// TextBytes reaches. The latest text is always kept.
	Revisions int
	Texts     int
	TextBytes int
	// ChainLength is how many revisions one after the other hold a difference,
	// and ChainBytes how many bytes these may take when the whole text that they
	// begin with takes less. Both bound the work to get any text back.
	ChainLength int
	ChainBytes  int
	// Changes and ChangeBytes are how many results of changes are kept for
	// resent change ids, ChangeAge for how long. An older resend fails the comparison of its
	// expected revision instead, so forgetting never applies a change twice.
	Changes     int
	ChangeBytes int
	ChangeAge   time.Duration
	// ClaimBytes bounds the unexpired claims, ClaimExpiry is the longest
	// expiry. ClaimMemory is how long an expired claim is remembered, and
	// ClaimIDs how many ids may be known in all. When one of the bounds is
	// reached, new claims are refused; known ones are never forgotten early.
	ClaimBytes  int
	ClaimExpiry time.Duration
	ClaimMemory time.Duration
	ClaimIDs    int
	// Events and EventBytes bound the journal's events of failures,
	// RoutineEvents and RoutineEventBytes those of planned work (see
	// journal.Kind.Routine); the oldest are dropped first.
	Events            int
	EventBytes        int
	RoutineEvents     int
	RoutineEventBytes int
}

// DefaultLimits are the limits of all voters of this version. Together with a
// plan of 57,000 back ends they keep a snapshot below 120 MiB.
func DefaultLimits() Limits {
	const day = 24 * time.Hour
	const mebibyte = 1 << 20
	return Limits{
		Revisions:   10_000,
		Texts:       100,
		TextBytes:   16 * mebibyte,
		ChainLength: 512,
		ChainBytes:  64 << 10,
		Changes:     100_000,
		ChangeBytes: 16 * mebibyte,
		ChangeAge:   30 * day,
		ClaimBytes:  32 * mebibyte,
		ClaimExpiry: 7 * day,
		ClaimMemory: day,
		ClaimIDs:    3_000_000,
		Events:      100_000,
		EventBytes:  8 * mebibyte,

		RoutineEvents:     100_000,
		RoutineEventBytes: 8 * mebibyte,
	}
}

// Machine is the state at one index of the log.
type Machine struct {
	limits  Limits
	format  uint32
	now     int64 // Unix milliseconds, highest stamp applied
	config  configuration
	changes changeResults
	claims  claims
	drains  drainMarks
	journal journal
}

// New returns the empty state.
func New(limits Limits) *Machine {
	return &Machine{
		limits:  limits,
		format:  formatWhole,
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
	// Claims holds one result per operation of a claim batch. Settlements
	// have ClaimNone.
	Claims []ClaimResult
}

// Apply applies one encoded command. An error means that this program cannot
// follow the log any further (a damaged entry or a command of a newer
// version); the voter must stop, since skipping the entry would diverge.
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

// advance moves the machine's time forward and forgets what has run out.
func (m *Machine) advance(stamp int64) {
	m.now = max(m.now, stamp)
	m.changes.forget(m.now, m.limits)
	m.claims.expire(m.now, m.limits)
}

// Now returns the machine's time: the highest stamp applied.
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
