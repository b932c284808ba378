package consensus

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// unsyncedWrite is a Persist unit in the simulated disk's volatile cache, with
// the messages that may only be sent once it is synced.
type unsyncedWrite struct {
	unit     *Persist
	messages []Message
}

// simulatedNode is a core with a disk, a clock and a state machine whose state
// is a hash of all applied entries.
type simulatedNode struct {
	id       uint64
	core     *Core
	clock    time.Time
	durable  Restored
	unsynced []unsyncedWrite

	applied     uint64
	appliedHash uint64
	// leaderTerm and leaderLog are the term and log of the node when it last led.
	leaderTerm uint64
	leaderLog  []Entry
}

type committedEntry struct {
	entry Entry
	// term is the term of the voter that committed the entry first.
	term uint64
}

// cluster runs cores under a schedule drawn by rapid and checks the five safety
// properties of Raft (Ongaro 2014, figure 3.2) after every step.
type cluster struct {
	t        rapid.TB
	nodes    map[uint64]*simulatedNode
	ids      []uint64
	inFlight []Message
	leaders  map[uint64]uint64

	committed map[uint64]committedEntry
	commit    uint64
	hashes    map[uint64]uint64
	tokens    uint64
	// reads maps the token of a pending read to the commit index at its start.
	reads map[uint64]uint64
	// confirmedReads, snapshotsInstalled and changes show that the schedules
	// exercise these paths.
	confirmedReads, snapshotsInstalled, changes int
}

const (
	initialVoters = 3
	clusterSize   = 6
	maxInFlight   = 400
)

func newCluster(t rapid.TB) *cluster {
	c := &cluster{
		t: t, nodes: map[uint64]*simulatedNode{}, leaders: map[uint64]uint64{},
		committed: map[uint64]committedEntry{}, hashes: map[uint64]uint64{0: 0}, reads: map[uint64]uint64{},
	}
	var voters []Member
	for id := uint64(1); id <= initialVoters; id++ {
		voters = append(voters, Member{ID: id})
	}
	first := Entry{Index: 1, Term: 1, Kind: EntryMembership, Data: EncodeMembership(NewMembership(voters))}
	for id := uint64(1); id <= clusterSize; id++ {
		node := &simulatedNode{id: id, clock: time.Unix(0, 0)}
		if id <= initialVoters {
			node.durable = Restored{HardState: HardState{Term: 1}, Entries: []Entry{first}}
		}
		c.ids = append(c.ids, id)
		c.nodes[id] = node
		c.restart(node)
	}
	return c
}

func (c *cluster) restart(node *simulatedNode) {
	restored := node.durable
	restored.Entries = slices.Clone(restored.Entries)
	core, err := New(Config{
		ID: node.id, Seed: uint64(len(c.ids)), MaxBatchBytes: 3 * entryOverheadBytes, MaxInflight: 3,
		MaxUncommittedBytes: 40 * entryOverheadBytes,
	}, restored)
	if err != nil {
		c.t.Fatalf("node %d does not restart: %v", node.id, err)
	}
	node.core, node.applied, node.appliedHash, node.leaderTerm = core, 0, 0, 0
	if restored.Snapshot != nil {
		c.restoreState(node, restored.Snapshot)
	}
	c.step(node, DeadlineReached{})
}

// crash discards unsynced writes. The first kept units survive, as if the disk
// had written them without reporting the sync.
func (c *cluster) crash(node *simulatedNode, kept int) {
	for _, write := range node.unsynced[:kept] {
		node.write(write.unit)
	}
	node.unsynced, node.core = nil, nil
}

// sync makes the oldest units durable, then sends the messages that waited for them.
func (c *cluster) sync(node *simulatedNode, count int) {
	if node.core == nil || count == 0 {
		return
	}
	sequence := uint64(0)
	for _, write := range node.unsynced[:count] {
		if write.unit != nil {
			node.write(write.unit)
			sequence = write.unit.Sequence
		}
		c.inFlight = append(c.inFlight, write.messages...)
	}
	node.unsynced = node.unsynced[count:]
	if sequence > 0 {
		c.step(node, Persisted{Sequence: sequence})
	}
}

// write applies one unit to the durable state as package raftlog does.
func (n *simulatedNode) write(unit *Persist) {
	if unit == nil {
		return
	}
	if unit.Snapshot != nil {
		n.durable.Snapshot = unit.Snapshot
	}
	if unit.ReplaceLog {
		n.durable.Entries = nil
	}
	if unit.HardState != nil {
		n.durable.HardState = *unit.HardState
	}
	if len(unit.Entries) > 0 {
		first := unit.Entries[0].Index
		n.durable.Entries = slices.DeleteFunc(slices.Clone(n.durable.Entries), func(e Entry) bool { return e.Index >= first })
		n.durable.Entries = append(n.durable.Entries, unit.Entries...)
	}
	n.durable.Entries = slices.DeleteFunc(n.durable.Entries, func(e Entry) bool { return e.Index <= unit.CompactTo })
}

// holds reports whether an entry is durable on the node.
func (n *simulatedNode) holds(entry Entry) bool {
	if n.durable.Snapshot != nil && n.durable.Snapshot.Index >= entry.Index {
		return true
	}
	return slices.ContainsFunc(n.durable.Entries, func(e Entry) bool { return e.Index == entry.Index && e.Term == entry.Term })
}

func (c *cluster) step(node *simulatedNode, event Event) Output {
	output := node.core.Step(node.clock, event)
	c.inFlight = append(c.inFlight, output.Messages...)
	if output.Persist != nil || len(output.AfterPersist) > 0 {
		node.unsynced = append(node.unsynced, unsyncedWrite{unit: output.Persist, messages: output.AfterPersist})
	}
	if len(c.inFlight) > maxInFlight {
		c.inFlight = c.inFlight[len(c.inFlight)-maxInFlight:]
	}
	c.checkElectionSafety(node, output.State)
	c.checkLeaderAppendOnly(node)
	c.recordCommits(node)
	c.checkLeaderCompleteness(node)
	c.apply(node, output)
	c.checkReads(node, output.Reads)
	return output
}

func (c *cluster) checkElectionSafety(node *simulatedNode, state SoftState) {
	if state.Role != Leader {
		return
	}
	if other, known := c.leaders[state.Term]; known && other != node.id {
		c.t.Fatalf("election safety: %d and %d both lead term %d", other, node.id, state.Term)
	}
	c.leaders[state.Term] = node.id
}

func (c *cluster) checkLeaderAppendOnly(node *simulatedNode) {
	core := node.core
	if core.role != Leader {
		node.leaderTerm = 0
		return
	}
	if node.leaderTerm == core.hardState.Term {
		for _, entry := range node.leaderLog {
			if entry.Index > core.log.baseIndex && !core.log.matches(entry.Index, entry.Term) {
				c.t.Fatalf("leader append-only: %d lost entry %d of its own log in term %d", node.id, entry.Index, node.leaderTerm)
			}
		}
	}
	node.leaderTerm, node.leaderLog = core.hardState.Term, core.log.between(core.log.firstIndex(), core.log.lastIndex())
}

// recordCommits records new commits and checks that a quorum has them on disk.
func (c *cluster) recordCommits(node *simulatedNode) {
	for index := c.commit + 1; index <= node.core.commit; index++ {
		entries := node.core.log.between(index, index)
		if len(entries) == 0 {
			c.t.Fatalf("node %d commits %d that it does not hold", node.id, index)
		}
		c.committed[index] = committedEntry{entry: entries[0], term: node.core.hardState.Term}
		c.commit = index
		durable := func(id uint64) bool { return c.nodes[id].holds(entries[0]) }
		if membership := node.core.membership(); !membership.hasQuorum(durable) {
			c.t.Fatalf("durability: entry %d is committed by %d, but no quorum of %v has it on disk", index, node.id, membership)
		}
	}
}

func (c *cluster) checkLeaderCompleteness(node *simulatedNode) {
	if node.core.role != Leader {
		return
	}
	for index := node.core.log.firstIndex(); index <= c.commit; index++ {
		known := c.committed[index]
		if node.core.hardState.Term > known.term && !node.core.log.matches(index, known.entry.Term) {
			c.t.Fatalf("leader completeness: %d leads term %d without entry %d of term %d, committed in term %d",
				node.id, node.core.hardState.Term, index, known.entry.Term, known.term)
		}
	}
}

// checkLogMatching compares all pairs of logs.
func (c *cluster) checkLogMatching() {
	for _, one := range c.ids {
		for _, other := range c.ids {
			if one < other && c.nodes[one].core != nil && c.nodes[other].core != nil {
				c.compareLogs(c.nodes[one], c.nodes[other])
			}
		}
	}
}

func (c *cluster) compareLogs(one, other *simulatedNode) {
	matched := false
	first := max(one.core.log.firstIndex(), other.core.log.firstIndex())
	for index := min(one.core.log.lastIndex(), other.core.log.lastIndex()); index >= first; index-- {
		left, right := one.core.log.between(index, index)[0], other.core.log.between(index, index)[0]
		if left.Term == right.Term && (left.Kind != right.Kind || string(left.Data) != string(right.Data)) {
			c.t.Fatalf("log matching: entry %d of term %d differs on %d and %d", index, left.Term, one.id, other.id)
		}
		if matched && left.Term != right.Term {
			c.t.Fatalf("log matching: %d and %d agree behind entry %d but not at it", one.id, other.id, index)
		}
		matched = matched || left.Term == right.Term
	}
}

func (c *cluster) apply(node *simulatedNode, output Output) {
	if output.Restore != nil {
		c.restoreState(node, output.Restore)
		c.snapshotsInstalled++
	}
	for _, entry := range output.Committed {
		if entry.Index != node.applied+1 {
			c.t.Fatalf("node %d applies %d after %d", node.id, entry.Index, node.applied)
		}
		digest := fnv.New64a()
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, node.appliedHash))
		_, _ = digest.Write(EncodeEntry(entry))
		node.applied, node.appliedHash = entry.Index, digest.Sum64()
		c.checkState(node)
	}
}

func (c *cluster) restoreState(node *simulatedNode, snapshot *Snapshot) {
	node.applied, node.appliedHash = snapshot.Index, binary.BigEndian.Uint64(snapshot.Data)
	c.checkState(node)
}

// checkState checks state machine safety: one state for each index.
func (c *cluster) checkState(node *simulatedNode) {
	if known, ok := c.hashes[node.applied]; ok && known != node.appliedHash {
		c.t.Fatalf("state machine safety: node %d has another state at index %d", node.id, node.applied)
	}
	c.hashes[node.applied] = node.appliedHash
}

func (c *cluster) checkReads(node *simulatedNode, results []ReadResult) {
	for _, result := range results {
		if before := c.reads[result.Token]; result.Refusal == Accepted {
			c.confirmedReads++
			if result.Index < before {
				c.t.Fatalf("read: node %d confirms index %d after %d was committed", node.id, result.Index, before)
			}
		}
		delete(c.reads, result.Token)
	}
}
