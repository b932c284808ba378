package voter

import (
	"cmp"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/consensus"
)

// Bounds of the rings and defaults of Config.
const (
	messageRingCapacity  = 4096
	proposalRingCapacity = 16384
	readRingCapacity     = 16384
	requestRingCapacity  = 64
	writeRingCapacity    = 4096
	applyRingCapacity    = 4096
	peerRingCapacity     = 4096
	// maxPeers bounds the senders; a group has a handful of members.
	maxPeers = 64
	// maxProposalBatch bounds the proposals of one step of the core.
	maxProposalBatch = 4096

	// DefaultSnapshotEntries is after how many applied entries a snapshot is
	// taken.
	DefaultSnapshotEntries = 20_000
	// DefaultSnapshotBytes is after how many bytes of applied entries a snapshot
	// is taken.
	DefaultSnapshotBytes = 32 << 20
)

// StateMachine is what the log drives. Its methods are called one at a time,
// from one goroutine. Apply and Restore must be deterministic.
type StateMachine interface {
	// Apply carries out a committed proposal and returns what Propose returns.
	Apply(index uint64, data []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Transport carries encoded messages to another member. Send must not block;
// it may drop, repeat and reorder. Messages of one call are in order.
type Transport interface {
	Send(to uint64, address string, messages [][]byte)
}

// Store is the durable state of a voter. Package raftlog implements it; tests
// put slow, full and failing disks in its place.
type Store interface {
	// Write makes units durable in order; when it returns nil all are synced.
	Write(units []*consensus.Persist) error
	Close() error
}

// Config says who a voter is and where its state lives. Zero values of the
// durations and bounds take defaults.
type Config struct {
	// ID is unique and never reused, also not after the voter was removed.
	ID uint64
	// Address is where the other members reach this one.
	Address string
	// Folder is the data folder, unless Store is set.
	Folder string
	// InitialVoters start a new group; ignored when Folder holds a state
	// already. A machine that joins a running group has none.
	InitialVoters []consensus.Member
	// Heartbeat and ElectionTimeout are as in consensus.Config.
	Heartbeat       time.Duration
	ElectionTimeout time.Duration
	// Seed of the election timeouts; 0 takes one from the operating system.
	Seed uint64
	// SnapshotEntries and SnapshotBytes of applied entries, whichever comes
	// first, lead to a snapshot.
	SnapshotEntries uint64
	SnapshotBytes   uint64
	// Core holds further bounds; its ID, timeouts and seed are ignored.
	Core consensus.Config
	// WrapStore, when set, is put around the opened folder.
	WrapStore func(Store) Store
}

func (c Config) withDefaults() Config {
	c.Heartbeat = cmp.Or(c.Heartbeat, consensus.DefaultHeartbeat)
	c.ElectionTimeout = cmp.Or(c.ElectionTimeout, consensus.DefaultElectionTimeout)
	c.SnapshotEntries = cmp.Or(c.SnapshotEntries, DefaultSnapshotEntries)
	c.SnapshotBytes = cmp.Or(c.SnapshotBytes, DefaultSnapshotBytes)
	c.Core.ID, c.Core.Seed = c.ID, c.Seed
	c.Core.Heartbeat, c.Core.ElectionTimeout = c.Heartbeat, c.ElectionTimeout
	c.Core = c.Core.WithDefaults()
	return c
}

func (c Config) validate() error {
	if c.ID == 0 {
		return errors.New("the voter id must not be 0")
	}
	if c.Folder == "" {
		return errors.New("the voter needs a data folder")
	}
	if len(c.InitialVoters) == 0 {
		return nil
	}
	if !consensus.NewMembership(c.InitialVoters).IsVoter(c.ID) {
		return errors.Newf("voter %d is not among the initial voters", c.ID)
	}
	return nil
}
