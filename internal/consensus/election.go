package consensus

// campaign starts a pre-vote (§9.6): the term only goes up once a quorum would
// vote for us, so that a voter that was cut off disturbs nobody on its return.
func (c *Core) campaign(transfer bool) {
	c.transferCampaign = transfer
	c.leader = 0
	c.resetElectionDeadline()
	if transfer {
		// The leader asked for it; nobody has to be spared (§3.10).
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
		// Our own vote must be synced before anybody can count on our being a
		// candidate: after a crash we could vote for another in this term (§3.8).
		c.promise(request)
	}
}

func (c *Core) granted(id uint64) bool { return c.votes[id] }

// countOwnVote counts our vote for ourselves once it is synced.
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
	c.ledSinceStart = c.ledSinceStart || leader != 0
	if c.role != Follower {
		c.resetElectionDeadline()
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
}

// hearsLeader reports whether a leader was heard from within the shortest
// election timeout. Such a voter ignores candidates, so that neither a removed
// voter nor one with broken links can depose the leader (§4.2.3).
func (c *Core) hearsLeader() bool {
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
	free := c.hardState.Vote == message.From || (c.hardState.Vote == 0 && c.leader == 0)
	if !free || !c.mayVote(message) {
		c.send(Message{Type: MessageVoteResponse, To: message.From, Reject: true})
		return
	}
	c.hardState.Vote = message.From
	c.resetElectionDeadline()
	// The vote must be synced before it is sent: a voter that forgets it in a
	// crash could vote twice in a term, and elect two leaders (§3.8).
	c.promise(Message{Type: MessageVoteResponse, To: message.From})
}

// mayVote reports whether the candidate's log holds every entry that this voter
// acknowledged (§3.6.1). A voter without any log gives no vote: it is new, or it
// lost its disk and has forgotten what it acknowledged.
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
