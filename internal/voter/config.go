package voter

import (
	"cmp"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/consensus"
)

// Capacities of the rings and defaults of Config.
const (
	messageRingCapacity  = 4096
	proposalRingCapacity = 16384
	readRingCapacity     = 16384
	requestRingCapacity  = 64
	writeRingCapacity    = 4096
	applyRingCapacity    = 4096
	peerRingCapacity     = 4096
	// maxPeers bounds the number of senders; a group has only a few members.
	maxPeers = 64
	// maxProposalBatch bounds the proposals in one step of the core.
	maxProposalBatch = 4096

	// DefaultSnapshotEntries is the number of applied entries between snapshots.
	DefaultSnapshotEntries = 20_000
	// DefaultSnapshotBytes is the size of applied entries between snapshots.
	DefaultSnapshotBytes = 32 << 20
)

// StateMachine is the replicated state machine. Its methods are called one at a
// time, from one goroutine. Apply and Restore must be deterministic.
type StateMachine interface {
	// Apply applies a committed proposal and returns the result for Propose.
	Apply(index uint64, data []byte) any
	// Snapshot returns the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state.
	Restore(data []byte) error
}

// Transport sends encoded messages to another member. Send must not block; it may
// drop, duplicate and reorder messages. Messages of one call are in order.
type Transport interface {
	Send(to uint64, address string, messages [][]byte)
}

// Store is the durable state of a voter. Package raftlog implements it; tests
// use fakes for slow, full and failing disks.
type Store interface {
	// Write makes units durable in order; if it returns nil, all are synced.
	Write(units []*consensus.Persist) error
	Close() error
}

// Config holds a voter's identity, data folder and limits. Zero durations and
// limits take defaults.
type Config struct {
	// ID is unique and never reused, not even after the voter was removed.
	ID uint64
	// Address is the address at which other members reach this one.
	Address string
	// Folder is the data folder, unless Store is set.
	Folder string
	// InitialVoters start a new group; they are ignored if Folder already holds
	// state, and empty on a machine that joins a running group.
	InitialVoters []consensus.Member
	// Heartbeat and ElectionTimeout are as in consensus.Config.
	Heartbeat       time.Duration
	ElectionTimeout time.Duration
	// Seed of the election timeouts; 0 uses a random seed.
	Seed uint64
	// A snapshot is taken after SnapshotEntries or SnapshotBytes of applied
	// entries, whichever comes first.
	SnapshotEntries uint64
	SnapshotBytes   uint64
	// Core holds further limits; its ID, timeouts and seed are ignored.
	Core consensus.Config
	// WrapStore, if set, wraps the opened store.
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
