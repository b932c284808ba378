package consensus

// receive handles a message from another member, checking its term first (§3.3).
func (c *Core) receive(message Message) {
	if message.To != c.config.ID || message.From == c.config.ID {
		return
	}
	switch {
	case message.Term > c.hardState.Term:
		if !c.adoptTerm(message) {
			return
		}
	case message.Term < c.hardState.Term:
		c.respondToStale(message)
		return
	}
	c.dispatch(message)
}

// adoptTerm handles a message with a higher term, adopting the term if allowed,
// and reports whether the message should be dispatched.
func (c *Core) adoptTerm(message Message) bool {
	switch message.Type {
	case MessagePreVote:
		// The term of a pre-vote is a future term; it is not adopted.
		return message.Transfer || !c.hasRecentLeaderContact()
	case MessagePreVoteResponse:
		if !message.Reject {
			return message.Term == c.hardState.Term+1
		}
	case MessageVote:
		if !message.Transfer && c.hasRecentLeaderContact() {
			return false
		}
	}
	if _, known := c.membership().Find(message.From); !known && message.Type.isResponse() {
		// Terms of removed or unknown voters are ignored.
		return false
	}
	leader := uint64(0)
	if message.Type.fromLeader() {
		leader = message.From
	}
	c.becomeFollower(message.Term, leader)
	return true
}

// respondToStale sends the current term to a sender with a lower term.
func (c *Core) respondToStale(message Message) {
	switch {
	case message.Type == MessagePreVote:
		c.send(Message{Type: MessagePreVoteResponse, To: message.From, Reject: true})
	case message.Type == MessageVote:
		c.send(Message{Type: MessageVoteResponse, To: message.From, Reject: true})
	case message.Type.fromLeader():
		// The deposed leader learns the higher term from any response.
		c.send(Message{Type: MessageHeartbeatResponse, To: message.From, Reject: true})
	}
}

func (c *Core) dispatch(message Message) {
	switch message.Type {
	case MessagePreVote:
		c.handlePreVote(message)
	case MessageVote:
		c.handleVote(message)
	case MessagePreVoteResponse, MessageVoteResponse:
		c.handleVoteResponse(message)
	case MessageTimeoutNow:
		c.handleTimeoutNow(message)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.followLeader(message)
	case MessageAppendResponse, MessageHeartbeatResponse:
		if c.role == Leader {
			c.handleFollowerResponse(message)
		}
	}
}

func (c *Core) followLeader(message Message) {
	if c.role == Leader {
		// A term has at most one leader, so the message is forged or corrupt.
		return
	}
	c.becomeFollower(message.Term, message.From)
	c.leaderContact = c.now
	c.resetElectionDeadline()
	if c.hardState.Vote == 0 {
		// Voting for the elected leader prevents a vote for another candidate in
		// this term, even after the log was lost and replicated again.
		c.hardState.Vote = message.From
	}
	switch message.Type {
	case MessageAppend:
		c.handleAppend(message)
	case MessageHeartbeat:
		c.commitUpTo(min(message.Commit, c.log.lastIndex()))
		c.send(Message{Type: MessageHeartbeatResponse, To: message.From, Round: message.Round})
	case MessageSnapshot:
		if message.Snapshot != nil {
			c.handleSnapshot(message)
		}
	}
}

// handleAppend handles an append on a follower (§3.5).
func (c *Core) handleAppend(message Message) {
	if message.LogIndex < c.commit {
		// Entries up to the commit index match the leader's by definition.
		c.acknowledge(message.From, c.commit)
		return
	}
	if !c.log.matches(message.LogIndex, message.LogTerm) {
		c.rejectAppend(message)
		return
	}
	last := message.LogIndex + uint64(len(message.Entries))
	if !c.appendFromLeader(message) {
		return
	}
	c.commitUpTo(min(message.Commit, last))
	c.acknowledge(message.From, last)
}

// acknowledge confirms that the log up to an index is durable. It is sent only
// after the sync, since the leader counts it towards commitment (§3.8).
func (c *Core) acknowledge(leader, index uint64) {
	c.sendAfterPersist(Message{Type: MessageAppendResponse, To: leader, LogIndex: index})
}

func (c *Core) rejectAppend(message Message) {
	index := c.log.lastAtOrBelowTerm(message.LogIndex, message.LogTerm)
	term, _ := c.log.term(index)
	c.send(Message{
		Type: MessageAppendResponse, To: message.From, Reject: true,
		LogIndex: message.LogIndex, HintIndex: index, HintTerm: term,
	})
}

// appendFromLeader appends missing entries after removing conflicting ones.
// Matching entries are kept, because the message may be delayed (§3.5).
func (c *Core) appendFromLeader(message Message) bool {
	for i, entry := range message.Entries {
		if entry.Index != message.LogIndex+uint64(i)+1 {
			return false
		}
	}
	for i, entry := range message.Entries {
		if c.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= c.commit {
			return false
		}
		return c.replaceTail(message.Entries[i:])
	}
	return true
}

func (c *Core) replaceTail(entries []Entry) bool {
	memberships := make([]indexedMembership, 0, 1)
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return false
		}
		memberships = append(memberships, indexedMembership{index: entry.Index, membership: membership})
	}
	c.persistence.truncate(entries[0].Index)
	c.memberships.truncate(entries[0].Index)
	c.log.append(entries)
	for _, version := range memberships {
		c.memberships.append(version.index, version.membership)
	}
	return true
}

func (c *Core) commitUpTo(index uint64) { c.commit = max(c.commit, index) }

// handleSnapshot installs the leader's snapshot if the local log does not already
// contain its last entry (§5.1).
func (c *Core) handleSnapshot(message Message) {
	snapshot := message.Snapshot
	if snapshot.Index <= c.commit {
		c.acknowledge(message.From, c.commit)
		return
	}
	if c.log.matches(snapshot.Index, snapshot.Term) {
		c.commitUpTo(snapshot.Index)
		c.acknowledge(message.From, snapshot.Index)
		return
	}
	c.snapshot = snapshot
	c.log.reset(snapshot.Index, snapshot.Term)
	c.memberships.reset(snapshot.Index, snapshot.Membership)
	c.commit = snapshot.Index
	c.persistence.install(snapshot)
	c.acknowledge(message.From, snapshot.Index)
}
