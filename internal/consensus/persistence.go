package consensus

// persistence tracks what was given out for writing and what of it is synced.
type persistence struct {
	// issued and synced are sequence numbers of Persist.
	issued uint64
	synced uint64
	// hardState is the one last given out, hardStateSequence its Persist.
	hardState         HardState
	hardStateSequence uint64
	// nextIndex is the first entry that was not given out yet.
	nextIndex uint64
	// lastIndex is the last entry that is synced.
	lastIndex uint64
	waiting   []issuedEntries
	// restore waits for the sync of its snapshot.
	restore         *Snapshot
	restoreSequence uint64
	// snapshot and compactTo are to go into the next Persist.
	snapshot   *Snapshot
	replaceLog bool
	compactTo  uint64
}

type issuedEntries struct {
	sequence  uint64
	lastIndex uint64
}

func (p *persistence) restored(hardState HardState, lastIndex uint64) {
	p.hardState = hardState
	p.nextIndex, p.lastIndex = lastIndex+1, lastIndex
}

func (p *persistence) idle() bool { return p.synced == p.issued }

// hardStateSynced reports whether a hard state is on the disk.
func (p *persistence) hardStateSynced(current HardState) bool {
	return p.hardState == current && p.synced >= p.hardStateSequence
}

// truncated takes back what was said of entries from an index on.
func (p *persistence) truncated(from uint64) {
	p.nextIndex = min(p.nextIndex, from)
	p.lastIndex = min(p.lastIndex, from-1)
	for i := range p.waiting {
		p.waiting[i].lastIndex = min(p.waiting[i].lastIndex, from-1)
	}
}

// install replaces the log by a snapshot.
func (p *persistence) install(snapshot *Snapshot) {
	p.waiting = nil
	p.nextIndex, p.lastIndex = snapshot.Index+1, 0
	p.snapshot, p.replaceLog, p.compactTo = snapshot, true, 0
	p.restore, p.restoreSequence = snapshot, p.issued+1
}

func (p *persistence) restoring() bool { return p.restore != nil }

// takeRestorable returns an installed snapshot once it is synced.
func (p *persistence) takeRestorable() *Snapshot {
	if p.restore == nil || p.synced < p.restoreSequence {
		return nil
	}
	restore := p.restore
	p.restore = nil
	return restore
}

// issue returns the Persist for what is new, nil for nothing.
func (p *persistence) issue(hardState HardState, log *entryLog) *Persist {
	changed := hardState != p.hardState
	if !changed && p.nextIndex > log.lastIndex() && p.snapshot == nil {
		return nil
	}
	p.issued++
	persist := &Persist{Sequence: p.issued, Snapshot: p.snapshot, ReplaceLog: p.replaceLog, CompactTo: p.compactTo}
	p.snapshot, p.replaceLog, p.compactTo = nil, false, 0
	if changed {
		p.hardState, p.hardStateSequence = hardState, p.issued
		// A copy, so that a call that changes nothing allocates nothing.
		kept := hardState
		persist.HardState = &kept
	}
	persist.Entries = log.between(p.nextIndex, log.lastIndex())
	p.nextIndex = log.lastIndex() + 1
	if len(persist.Entries) > 0 || persist.ReplaceLog {
		p.waiting = append(p.waiting, issuedEntries{sequence: p.issued, lastIndex: log.lastIndex()})
	}
	return persist
}

// persisted notes that every Persist up to a sequence is synced.
func (p *persistence) persisted(sequence uint64) {
	p.synced = max(p.synced, min(sequence, p.issued))
	for len(p.waiting) > 0 && p.waiting[0].sequence <= p.synced {
		p.lastIndex = max(p.lastIndex, p.waiting[0].lastIndex)
		p.waiting = p.waiting[1:]
	}
}

// persisted takes in a sync: only now do the voter's own vote and its own
// entries count.
func (c *Core) persisted(sequence uint64) {
	c.persistence.persisted(sequence)
	switch c.role {
	case Candidate:
		c.countOwnVote()
	case Leader:
		c.advanceCommit()
	}
}

// snapshotTaken keeps a snapshot of the applied state and drops the log before
// the previous one. What lies between the two serves followers that are a
// little behind, and lets a restart fall back to the previous file.
func (c *Core) snapshotTaken(index uint64, data []byte) {
	term, held := c.log.term(index)
	if c.halted || !held || index > c.handedOut || len(data) > c.config.MaxSnapshotBytes ||
		(c.snapshot != nil && index <= c.snapshot.Index) || c.persistence.restoring() {
		return
	}
	previous := c.snapshot
	c.snapshot = &Snapshot{Index: index, Term: term, Membership: c.memberships.at(index), Data: data}
	c.persistence.snapshot = c.snapshot
	if previous != nil {
		c.persistence.compactTo = previous.Index
		c.log.compact(previous.Index)
		c.memberships.compact(previous.Index)
	}
}
