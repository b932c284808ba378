package consensus

// receive handles a message of another voter, sorted by its term first (§3.3).
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
		c.answerStale(message)
		return
	}
	c.dispatch(message)
}

// adoptTerm moves to the term of a message and reports whether the message is
// to be handled further.
func (c *Core) adoptTerm(message Message) bool {
	switch message.Type {
	case MessagePreVote:
		// A pre-vote announces a term that nobody is in yet.
		return message.Transfer || !c.hearsLeader()
	case MessagePreVoteResponse:
		if !message.Reject {
			return message.Term == c.hardState.Term+1
		}
	case MessageVote:
		if !message.Transfer && c.hearsLeader() {
			return false
		}
	}
	if _, known := c.membership().Find(message.From); !known && message.Type.isResponse() {
		// A removed voter's term is none of our business.
		return false
	}
	leader := uint64(0)
	if message.Type.fromLeader() {
		leader = message.From
	}
	c.becomeFollower(message.Term, leader)
	return true
}

// answerStale tells a sender with a lower term that it is behind.
func (c *Core) answerStale(message Message) {
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
		// Two leaders of one term can't be; the message is forged or damaged.
		return
	}
	c.becomeFollower(message.Term, message.From)
	c.leaderContact = c.now
	c.resetElectionDeadline()
	if c.hardState.Vote == 0 {
		// Voting for the elected leader keeps us from voting for another in this
		// term even after our log was lost and refilled.
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

// handleAppend is the follower's part of replication (§3.5).
func (c *Core) handleAppend(message Message) {
	if message.LogIndex < c.commit {
		// All entries up to our commit index match the leader's by definition.
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

// acknowledge promises that the log up to an index is kept. It must leave only
// after the entries are synced: the leader counts it towards commitment (§3.8).
func (c *Core) acknowledge(leader, index uint64) {
	c.promise(Message{Type: MessageAppendResponse, To: leader, LogIndex: index})
}

func (c *Core) rejectAppend(message Message) {
	index := c.log.lastAtOrBelowTerm(message.LogIndex, message.LogTerm)
	term, _ := c.log.term(index)
	c.send(Message{
		Type: MessageAppendResponse, To: message.From, Reject: true,
		LogIndex: message.LogIndex, HintIndex: index, HintTerm: term,
	})
}

// appendFromLeader appends what the log lacks, removing conflicting entries
// first. Entries that match already stay, because the message may be an old
// one (§3.5).
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
	memberships := make([]positionedMembership, 0, 1)
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return false
		}
		memberships = append(memberships, positionedMembership{index: entry.Index, membership: membership})
	}
	c.persistence.truncated(entries[0].Index)
	c.memberships.truncate(entries[0].Index)
	c.log.append(entries)
	for _, version := range memberships {
		c.memberships.append(version.index, version.membership)
	}
	return true
}

func (c *Core) commitUpTo(index uint64) { c.commit = max(c.commit, index) }

// handleSnapshot takes over the leader's state when the log can't be continued
// by entries (§5.1).
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
