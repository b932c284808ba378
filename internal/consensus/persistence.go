package consensus

// persistence tracks which writes were issued and which of them are synced.
type persistence struct {
	// issued and synced are the last issued and synced Persist sequence numbers.
	issued uint64
	synced uint64
	// hardState is the last one issued, hardStateSequence that of its Persist.
	hardState         HardState
	hardStateSequence uint64
	// nextIndex is the first entry not issued yet.
	nextIndex uint64
	// lastIndex is the last synced entry.
	lastIndex uint64
	unsynced  []issuedEntries
	// restore is an installed snapshot that is not synced or delivered yet.
	restore         *Snapshot
	restoreSequence uint64
	// snapshot, replaceLog and compactTo go into the next Persist.
	snapshot   *Snapshot
	replaceLog bool
	compactTo  uint64
}

type issuedEntries struct {
	sequence  uint64
	lastIndex uint64
}

func (p *persistence) initialize(hardState HardState, lastIndex uint64) {
	p.hardState = hardState
	p.nextIndex, p.lastIndex = lastIndex+1, lastIndex
}

func (p *persistence) idle() bool { return p.synced == p.issued }

// hardStateSynced reports whether a hard state is on the disk.
func (p *persistence) hardStateSynced(current HardState) bool {
	return p.hardState == current && p.synced >= p.hardStateSequence
}

// truncate marks entries from an index on as neither issued nor synced.
func (p *persistence) truncate(from uint64) {
	p.nextIndex = min(p.nextIndex, from)
	p.lastIndex = min(p.lastIndex, from-1)
	for i := range p.unsynced {
		p.unsynced[i].lastIndex = min(p.unsynced[i].lastIndex, from-1)
	}
}

// install replaces the log by a snapshot.
func (p *persistence) install(snapshot *Snapshot) {
	p.unsynced = nil
	p.nextIndex, p.lastIndex = snapshot.Index+1, 0
	p.snapshot, p.replaceLog, p.compactTo = snapshot, true, 0
	p.restore, p.restoreSequence = snapshot, p.issued+1
}

func (p *persistence) restoring() bool { return p.restore != nil }

// takeSyncedRestore returns an installed snapshot once it is synced.
func (p *persistence) takeSyncedRestore() *Snapshot {
	if p.restore == nil || p.synced < p.restoreSequence {
		return nil
	}
	restore := p.restore
	p.restore = nil
	return restore
}

// issue returns a Persist with all changes not issued yet, nil if there are none.
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
		// Copied here so that the parameter does not escape to the heap when
		// nothing changed.
		issuedState := hardState
		persist.HardState = &issuedState
	}
	persist.Entries = log.between(p.nextIndex, log.lastIndex())
	p.nextIndex = log.lastIndex() + 1
	if len(persist.Entries) > 0 || persist.ReplaceLog {
		p.unsynced = append(p.unsynced, issuedEntries{sequence: p.issued, lastIndex: log.lastIndex()})
	}
	return persist
}

// persisted records that every Persist up to a sequence is synced.
func (p *persistence) persisted(sequence uint64) {
	p.synced = max(p.synced, min(sequence, p.issued))
	for len(p.unsynced) > 0 && p.unsynced[0].sequence <= p.synced {
		p.lastIndex = max(p.lastIndex, p.unsynced[0].lastIndex)
		p.unsynced = p.unsynced[1:]
	}
}

// persisted handles a completed sync: only now do the voter's own vote and
// entries count towards a quorum.
func (c *Core) persisted(sequence uint64) {
	c.persistence.persisted(sequence)
	switch c.role {
	case Candidate:
		c.countOwnVote()
	case Leader:
		c.advanceCommit()
	}
}

// snapshotTaken stores a snapshot of the applied state and compacts the log up to
// the previous one. The entries between the two serve slightly lagging followers
// and let a restart fall back to the previous snapshot file.
func (c *Core) snapshotTaken(index uint64, data []byte) {
	term, found := c.log.term(index)
	if c.halted || !found || index > c.deliveredIndex || len(data) > c.config.MaxSnapshotBytes ||
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
