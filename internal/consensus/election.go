package consensus

// campaign starts a pre-vote (§9.6): the term is only incremented once a quorum
// would grant its vote, so that a voter returning from a partition does not
// disrupt the group.
func (c *Core) campaign(transfer bool) {
	c.transferCampaign = transfer
	c.leader = 0
	c.resetElectionDeadline()
	if transfer {
		// The leader requested the election, so no pre-vote is needed (§3.10).
		c.becomeCandidate()
		return
	}
	c.role = PreCandidate
	c.votes = map[uint64]bool{c.config.ID: true}
	if c.membership().hasQuorum(c.granted) {
		c.becomeCandidate()
		return
	}
	c.requestVotes(MessagePreVote, c.hardState.Term+1)
}

func (c *Core) becomeCandidate() {
	c.role = Candidate
	c.hardState = HardState{Term: c.hardState.Term + 1, Vote: c.config.ID}
	c.votes = map[uint64]bool{}
	c.resetElectionDeadline()
	c.requestVotes(MessageVote, c.hardState.Term)
}

func (c *Core) requestVotes(kind MessageType, term uint64) {
	for _, member := range c.membership().Members {
		if member.Learner || member.ID == c.config.ID {
			continue
		}
		request := Message{
			Type: kind, To: member.ID, Term: term,
			LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Transfer: c.transferCampaign,
		}
		if kind == MessagePreVote {
			c.send(request)
			continue
		}
		// The candidate's own vote must be synced first: after a crash it could
		// otherwise vote for another candidate in this term (§3.8).
		c.sendAfterPersist(request)
	}
}

func (c *Core) granted(id uint64) bool { return c.votes[id] }

// countOwnVote counts the candidate's vote for itself once it is synced.
func (c *Core) countOwnVote() {
	if c.persistence.hardStateSynced(c.hardState) {
		c.votes[c.config.ID] = true
		c.checkElection()
	}
}

func (c *Core) checkElection() {
	if !c.membership().hasQuorum(c.granted) {
		return
	}
	if c.role == PreCandidate {
		c.becomeCandidate()
	} else if c.role == Candidate {
		c.becomeLeader()
	}
}

func (c *Core) becomeFollower(term, leader uint64) {
	if term > c.hardState.Term {
		c.hardState = HardState{Term: term}
	}
	if c.role == Leader {
		c.endLeadership()
	}
	c.seenLeaderSinceStart = c.seenLeaderSinceStart || leader != 0
	if c.role != Follower {
		c.resetElectionDeadline()
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
}

// hasRecentLeaderContact reports whether a message from a leader arrived within
// the minimum election timeout. Such a voter ignores candidates, so that neither
// a removed voter nor one with failing links can depose the leader (§4.2.3).
func (c *Core) hasRecentLeaderContact() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != 0 && c.now.Sub(c.leaderContact) < c.config.ElectionTimeout
}

func (c *Core) handlePreVote(message Message) {
	granted := message.Term > c.hardState.Term && c.mayVote(message)
	response := Message{Type: MessagePreVoteResponse, To: message.From, Reject: !granted}
	if granted {
		response.Term = message.Term
	}
	c.send(response)
}

func (c *Core) handleVote(message Message) {
	voteAvailable := c.hardState.Vote == message.From || (c.hardState.Vote == 0 && c.leader == 0)
	if !voteAvailable || !c.mayVote(message) {
		c.send(Message{Type: MessageVoteResponse, To: message.From, Reject: true})
		return
	}
	c.hardState.Vote = message.From
	c.resetElectionDeadline()
	// The vote must be synced before it is sent: a voter that loses it in a crash
	// could vote twice in a term and so elect two leaders (§3.8).
	c.sendAfterPersist(Message{Type: MessageVoteResponse, To: message.From})
}

// mayVote reports whether the candidate's log is at least as up-to-date as this
// voter's (§3.6.1). A voter with an empty log grants no vote: it is new, or it
// lost its disk and with it the entries that it acknowledged.
func (c *Core) mayVote(message Message) bool {
	return c.log.lastIndex() > 0 && c.log.upToDate(message.LogIndex, message.LogTerm)
}

func (c *Core) handleVoteResponse(message Message) {
	if message.Reject {
		return
	}
	expected := Candidate
	if message.Type == MessagePreVoteResponse {
		expected = PreCandidate
	}
	if c.role == expected {
		c.votes[message.From] = true
		c.checkElection()
	}
}

func (c *Core) handleTimeoutNow(message Message) {
	if c.role == Follower && c.promotable() {
		c.campaign(true)
	}
}
