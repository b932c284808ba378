package consensus

// pendingRead is a read that waits for a quorum to confirm the leadership.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// pendingReads holds the unconfirmed reads of a leader (§6.4). Reads that arrive
// while a round is in flight share the next one.
type pendingReads struct {
	round uint64
	// awaitingCommit reads wait for the first commit of the term, queued ones for
	// the next round, inRound ones for the responses to their round.
	awaitingCommit []pendingRead
	queued         []pendingRead
	inRound        []pendingRead
}

func (p *pendingReads) count() int { return len(p.awaitingCommit) + len(p.queued) + len(p.inRound) }

func (p *pendingReads) all() []pendingRead {
	all := append([]pendingRead(nil), p.inRound...)
	return append(append(all, p.queued...), p.awaitingCommit...)
}

// startRound begins a new round for all queued reads and returns its number.
func (p *pendingReads) startRound(committedInTerm bool) uint64 {
	p.round++
	if committedInTerm {
		for _, read := range p.queued {
			read.round = p.round
			p.inRound = append(p.inRound, read)
		}
		p.queued = nil
	}
	return p.round
}

// confirmRead begins a read at the current commit index. A heartbeat round that
// starts afterwards confirms the leadership, so that no later leader can have
// committed anything before the read began.
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
		reads.awaitingCommit = append(reads.awaitingCommit, pendingRead{token: token})
		return
	}
	reads.queued = append(reads.queued, pendingRead{token: token, index: c.commit})
	c.startReadRound()
}

// startReadRound starts a round for the queued reads unless one is in flight.
func (c *Core) startReadRound() {
	if len(c.leadership.reads.inRound) == 0 && len(c.leadership.reads.queued) > 0 {
		c.broadcastHeartbeat()
	}
}

// queueEarlyReads queues the reads that arrived before the leader knew the group's
// commit index.
func (c *Core) queueEarlyReads() {
	reads := &c.leadership.reads
	if !c.committedInTerm() || len(reads.awaitingCommit) == 0 {
		return
	}
	for _, read := range reads.awaitingCommit {
		read.index = c.commit
		reads.queued = append(reads.queued, read)
	}
	reads.awaitingCommit = nil
	c.startReadRound()
}

// confirmReads completes the reads whose round, or a later one, has a quorum of
// responses.
func (c *Core) confirmReads() {
	reads := &c.leadership.reads
	confirmed := 0
	for _, read := range reads.inRound {
		if !c.roundAnswered(read.round) {
			break
		}
		c.output.Reads = append(c.output.Reads, ReadResult{Token: read.token, Index: read.index})
		confirmed++
	}
	reads.inRound = reads.inRound[confirmed:]
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
