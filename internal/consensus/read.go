package consensus

// pendingRead is a read that waits for a quorum to confirm the leader.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// pendingReads holds the reads of a leader (§6.4). Reads that come while a round
// is out share the next one.
type pendingReads struct {
	round uint64
	// early reads wait for the first commit of the term, waiting ones for the
	// next round, started ones for the answers to their round.
	early   []pendingRead
	waiting []pendingRead
	started []pendingRead
}

func (p *pendingReads) count() int { return len(p.early) + len(p.waiting) + len(p.started) }

func (p *pendingReads) all() []pendingRead {
	all := append([]pendingRead(nil), p.started...)
	return append(append(all, p.waiting...), p.early...)
}

// startRound begins a new round, which confirms all reads that wait by now.
func (p *pendingReads) startRound(committedInTerm bool) uint64 {
	p.round++
	if committedInTerm {
		for _, read := range p.waiting {
			read.round = p.round
			p.started = append(p.started, read)
		}
		p.waiting = nil
	}
	return p.round
}

// confirmRead begins a read. Its index is taken now; that the voter is still
// the leader is confirmed by a round of heartbeats that starts afterwards, so
// that no later leader can have committed anything before the read began.
func (c *Core) confirmRead(token uint64) {
	refusal := Accepted
	switch {
	case c.halted:
		refusal = RefusedHalted
	case c.role != Leader:
		refusal = RefusedNotLeader
	case c.leadership.reads.count() >= c.config.MaxPendingReads:
		refusal = RefusedOverloaded
	}
	if refusal != Accepted {
		c.output.Reads = append(c.output.Reads, ReadResult{Token: token, Refusal: refusal})
		return
	}
	reads := &c.leadership.reads
	if !c.committedInTerm() {
		reads.early = append(reads.early, pendingRead{token: token})
		return
	}
	reads.waiting = append(reads.waiting, pendingRead{token: token, index: c.commit})
	c.startReadRound()
}

// startReadRound starts a round for the waiting reads unless one is out.
func (c *Core) startReadRound() {
	if len(c.leadership.reads.started) == 0 && len(c.leadership.reads.waiting) > 0 {
		c.broadcastHeartbeat()
	}
}

// releaseEarlyReads lets the reads go on that came before the leader knew the
// commit index of the group.
func (c *Core) releaseEarlyReads() {
	reads := &c.leadership.reads
	if !c.committedInTerm() || len(reads.early) == 0 {
		return
	}
	for _, read := range reads.early {
		read.index = c.commit
		reads.waiting = append(reads.waiting, read)
	}
	reads.early = nil
	c.startReadRound()
}

// confirmReads answers the reads whose round, or a later one, a quorum answered.
func (c *Core) confirmReads() {
	reads := &c.leadership.reads
	confirmed := 0
	for _, read := range reads.started {
		if !c.roundAnswered(read.round) {
			break
		}
		c.output.Reads = append(c.output.Reads, ReadResult{Token: read.token, Index: read.index})
		confirmed++
	}
	reads.started = reads.started[confirmed:]
	if confirmed > 0 {
		c.startReadRound()
	}
}

func (c *Core) roundAnswered(round uint64) bool {
	return c.membership().hasQuorum(func(id uint64) bool {
		if id == c.config.ID {
			return true
		}
		member := c.progressOf(id)
		return member != nil && member.round >= round
	})
}
