package consensus

import (
	"cmp"
	"time"
)

// EntryKind is the kind of a log entry.
type EntryKind uint8

// Entry kinds.
const (
	// EntryData holds a proposal, opaque to this package.
	EntryData EntryKind = iota
	// EntryNoop is appended by a new leader to commit the entries of earlier
	// terms (§3.6.2, §6.4). The state machine ignores it.
	EntryNoop
	// EntryMembership holds an encoded Membership.
	EntryMembership
)

// entryOverheadBytes is added to the data size of each entry in size limits.
const entryOverheadBytes = 32

// Entry is one entry of the replicated log. Data must not be modified.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

func (e Entry) size() int { return len(e.Data) + entryOverheadBytes }

// HardState must survive restarts (§3.4): the term and the candidate that the
// voter voted for in it, 0 for none.
type HardState struct {
	Term uint64
	Vote uint64
}

// Snapshot is the state of the state machine after Index was applied.
type Snapshot struct {
	Index uint64
	Term  uint64
	// Membership is the one in effect at Index.
	Membership Membership
	Data       []byte
}

// Restored is the durable state that a voter loads when it starts. Snapshot is
// nil before the first one; Entries have no gaps and begin at or before
// Snapshot.Index+1.
type Restored struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// Role is the Raft role of a voter in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r&3]
}

// Defaults and bounds of Config.
const (
	DefaultHeartbeat           = 50 * time.Millisecond
	DefaultElectionTimeout     = 500 * time.Millisecond
	DefaultMaxBatchBytes       = 256 << 10
	DefaultMaxInflight         = 64
	DefaultMaxUncommittedBytes = 32 << 20
	DefaultMaxEntryBytes       = 4 << 20
	DefaultMaxSnapshotBytes    = 128 << 20
	DefaultMaxPendingReads     = 64 << 10
)

// Config configures a Core. Zero values take the defaults.
type Config struct {
	// ID of this voter; never 0 and never reused, not even the ID of a removed
	// voter.
	ID uint64
	// ElectionTimeout is the lower bound of the randomized election timeout,
	// which is drawn from [ElectionTimeout, 2×ElectionTimeout).
	ElectionTimeout time.Duration
	// Heartbeat is the interval of the leader's heartbeats.
	Heartbeat time.Duration
	// Seed of the election timeouts.
	Seed uint64
	// MaxBatchBytes bounds the entries of one append message. A larger entry is
	// sent alone.
	MaxBatchBytes int
	// MaxInflight bounds the unacknowledged append messages to each follower.
	MaxInflight int
	// MaxUncommittedBytes bounds the leader's uncommitted entries; proposals
	// beyond it are refused.
	MaxUncommittedBytes int
	// MaxEntryBytes bounds one proposal.
	MaxEntryBytes int
	// MaxSnapshotBytes bounds the data of a snapshot. A larger one is neither
	// stored nor sent, and the log is not compacted.
	MaxSnapshotBytes int
	// MaxPendingReads bounds the reads waiting for confirmation.
	MaxPendingReads int
}

// WithDefaults returns the configuration with zero values replaced.
func (c Config) WithDefaults() Config {
	c.ElectionTimeout = cmp.Or(c.ElectionTimeout, DefaultElectionTimeout)
	c.Heartbeat = cmp.Or(c.Heartbeat, DefaultHeartbeat)
	c.MaxBatchBytes = cmp.Or(c.MaxBatchBytes, DefaultMaxBatchBytes)
	c.MaxInflight = cmp.Or(c.MaxInflight, DefaultMaxInflight)
	c.MaxUncommittedBytes = cmp.Or(c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	c.MaxEntryBytes = cmp.Or(c.MaxEntryBytes, DefaultMaxEntryBytes)
	c.MaxSnapshotBytes = cmp.Or(c.MaxSnapshotBytes, DefaultMaxSnapshotBytes)
	c.MaxPendingReads = cmp.Or(c.MaxPendingReads, DefaultMaxPendingReads)
	return c
}
