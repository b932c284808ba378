package simulation

import (
	"github.com/cespare/xxhash/v2"

	"github.com/martenstage/martenstage/internal/consensus"
)

// raftChecks checks the five safety properties of Raft (Ongaro 2014, figure
// 3.2), and that reads are linearizable, on the outputs of all voters.
type raftChecks struct {
	world *World
	// leaders holds the leader of each term.
	leaders map[uint64]uint64
	// entries holds, per index and term, what the entry is and what precedes
	// it. By induction, equal entries then have equal logs before them.
	entries map[position]entryKind
	// committed holds the term of each entry that anybody applied, and the
	// state after it.
	committed map[uint64]committedEntry
	commit    uint64
	logs      map[*voter]*shadowLog
	reads     map[readKey]uint64
	// states holds the digest of the state after each entry that made a revision.
	states map[uint64]uint64
}

type position struct{ index, term uint64 }

type entryKind struct {
	previousTerm uint64
	digest       uint64
}

type committedEntry struct {
	term  uint64
	chain uint64
}

type readKey struct{ voter, boot, token uint64 }

// shadowLog is what a voter's log holds by what it gave out to be written.
type shadowLog struct {
	base  uint64
	terms []uint64 // of base+1 and on
	// baseTerm is the term of the entry at base.
	baseTerm   uint64
	leaderTerm uint64
	chain      uint64
}

func newRaftChecks(world *World) *raftChecks {
	return &raftChecks{
		world: world, leaders: map[uint64]uint64{}, entries: map[position]entryKind{},
		committed: map[uint64]committedEntry{}, logs: map[*voter]*shadowLog{}, reads: map[readKey]uint64{},
		states: map[uint64]uint64{},
	}
}

func (c *raftChecks) restarted(v *voter, restored consensus.Restored) {
	log := &shadowLog{}
	if restored.Snapshot != nil {
		log.base, log.baseTerm = restored.Snapshot.Index, restored.Snapshot.Term
		log.chain = c.committed[restored.Snapshot.Index].chain
	}
	c.logs[v] = log
	c.append(v, log, behind(restored.Entries, log.base))
}

// behind returns the entries after an index.
func behind(entries []consensus.Entry, index uint64) []consensus.Entry {
	for len(entries) > 0 && entries[0].Index <= index {
		entries = entries[1:]
	}
	return entries
}

func (l *shadowLog) last() uint64 { return l.base + uint64(len(l.terms)) }

func (l *shadowLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.terms[index-l.base-1], true
}

// stepped checks one output of a voter.
func (c *raftChecks) stepped(v *voter, output consensus.Output) {
	log := c.logs[v]
	leads := output.State.Role == consensus.Leader
	if !leads || log.leaderTerm != output.State.Term {
		log.leaderTerm = 0
	}
	if persist := output.Persist; persist != nil {
		c.persisted(v, log, persist)
	}
	if leads {
		c.leads(v, log, output.State.Term)
	}
	for _, read := range output.Reads {
		key := readKey{v.id, v.boot, read.Token}
		if began, known := c.reads[key]; known && read.Refusal == consensus.Accepted && read.Index < began {
			c.world.fail("linearizable_read", "%s confirms a read at index %d, after %d was committed", v.name(), read.Index, began)
		}
		delete(c.reads, key)
	}
}

func (c *raftChecks) persisted(v *voter, log *shadowLog, persist *consensus.Persist) {
	if persist.ReplaceLog {
		log.base, log.baseTerm, log.terms = persist.Snapshot.Index, persist.Snapshot.Term, nil
	}
	if len(persist.Entries) > 0 {
		first := persist.Entries[0].Index
		if first <= log.last() && log.leaderTerm != 0 {
			c.world.fail("leader_append_only", "%s overwrites entry %d while it leads term %d", v.name(), first, log.leaderTerm)
		}
		if first <= log.last() && first > log.base {
			log.terms = log.terms[:first-log.base-1]
		}
		c.append(v, log, behind(persist.Entries, log.base))
	}
	if to := persist.CompactTo; to > log.base && to <= log.last() {
		log.baseTerm, _ = log.term(to)
		log.terms = log.terms[to-log.base:]
		log.base = to
	}
}

// append notes entries and checks log matching.
func (c *raftChecks) append(v *voter, log *shadowLog, entries []consensus.Entry) {
	for _, entry := range entries {
		previous, known := log.term(entry.Index - 1)
		log.terms = append(log.terms, entry.Term)
		if !known && entry.Index > 1 {
			continue
		}
		digest := xxhash.Sum64(entry.Data) + uint64(entry.Kind)
		at := position{entry.Index, entry.Term}
		other, seen := c.entries[at]
		if seen && other != (entryKind{previous, digest}) {
			c.world.fail("log_matching", "%s holds another entry %d of term %d, or another one before it", v.name(), entry.Index, entry.Term)
		}
		c.entries[at] = entryKind{previous, digest}
	}
}

// leads checks election safety, and leader completeness at the election.
func (c *raftChecks) leads(v *voter, log *shadowLog, term uint64) {
	if other, known := c.leaders[term]; known && other != v.id {
		c.world.fail("election_safety", "voters %d and %d both lead term %d", other, v.id, term)
	}
	c.leaders[term] = v.id
	if log.leaderTerm == term {
		return
	}
	log.leaderTerm = term
	for index := max(log.base, 1); index <= c.commit; index++ {
		known, ok := c.committed[index]
		if held, has := log.term(index); ok && (!has || held != known.term) {
			c.world.fail("leader_completeness", "%s leads term %d without the committed entry %d of term %d", v.name(), term, index, known.term)
			return
		}
	}
}

// apply checks state machine safety: one sequence of entries for all.
func (c *raftChecks) apply(v *voter, entry consensus.Entry) {
	log := c.logs[v]
	if entry.Index != v.applied+1 {
		c.world.fail("state_machine_safety", "%s applies entry %d after %d", v.name(), entry.Index, v.applied)
	}
	const mixer = 0x9e3779b97f4a7c15
	log.chain = (log.chain^xxhash.Sum64(entry.Data))*mixer + entry.Term
	known, seen := c.committed[entry.Index]
	if seen && known != (committedEntry{entry.Term, log.chain}) {
		c.world.fail("state_machine_safety", "%s applies another entry %d", v.name(), entry.Index)
	}
	c.committed[entry.Index] = committedEntry{entry.Term, log.chain}
	c.commit = max(c.commit, entry.Index)
}

func (c *raftChecks) restored(v *voter, snapshot *consensus.Snapshot) {
	if log, ok := c.logs[v]; ok {
		log.chain = c.committed[snapshot.Index].chain
	}
}

// readBegan notes what a read must cover.
func (c *raftChecks) readBegan(voter, boot, token uint64) {
	c.reads[readKey{voter, boot, token}] = c.commit
}
