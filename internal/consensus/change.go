package consensus

// changeMembership appends a change of one member. Changing one at a time keeps
// any quorum of the old voters and any of the new ones overlapping (§4.1).
func (c *Core) changeMembership(event ChangeMembership) {
	result := ProposalResult{Token: event.Token}
	var next Membership
	next, result.Refusal = c.checkChange(event.Change)
	if result.Refusal == Accepted {
		entry := c.appendEntry(EntryMembership, EncodeMembership(next))
		// A membership takes effect once it is appended, not once committed (§4.1).
		c.memberships.append(entry.Index, next)
		c.syncProgress()
		result.Index, result.Term = entry.Index, entry.Term
	}
	c.output.Proposals = append(c.output.Proposals, result)
	c.replicate()
}

func (c *Core) checkChange(change Change) (Membership, Refusal) {
	if refusal := c.refusal(); refusal != Accepted {
		return Membership{}, refusal
	}
	if !c.committedInTerm() || c.memberships.currentIndex() > c.commit {
		return Membership{}, RefusedChangePending
	}
	next, refusal := c.membership().with(change)
	if refusal != Accepted {
		return Membership{}, refusal
	}
	if change.Kind == PromoteLearner {
		// Learners acknowledge after syncing, so match is durable on the learner.
		// Losing any minority right after the promotion loses no committed entry.
		if member := c.progressOf(change.ID); member == nil || member.match < c.commit {
			return Membership{}, RefusedLearnerBehind
		}
	}
	if change.Kind != AddLearner && !next.hasQuorum(c.recentlyActive) {
		return Membership{}, RefusedNoQuorum
	}
	return next, Accepted
}

// startTransfer begins a leadership transfer (§3.10): proposals are refused,
// the target's log is brought up to date, then it is sent TimeoutNow.
func (c *Core) startTransfer(to uint64) {
	if c.refusal() != Accepted {
		return
	}
	if to == 0 {
		to = c.mostUpToDateFollower()
	}
	member := c.progressOf(to)
	if member == nil || !c.membership().IsVoter(to) {
		return
	}
	c.leadership.transferTo = to
	c.leadership.transferDeadline = c.now.Add(c.config.ElectionTimeout)
	c.sendAppends(member)
	c.continueTransfer(member)
}

func (c *Core) continueTransfer(member *progress) {
	if c.role == Leader && c.leadership.transferTo == member.id && member.match == c.log.lastIndex() {
		c.send(Message{Type: MessageTimeoutNow, To: member.id})
	}
}

// mostUpToDateFollower returns the recently active voter with the highest match
// index, or 0 if there is none.
func (c *Core) mostUpToDateFollower() uint64 {
	var best *progress
	for _, member := range c.leadership.members {
		if !c.membership().IsVoter(member.id) || !c.recentlyActive(member.id) {
			continue
		}
		if best == nil || member.match > best.match {
			best = member
		}
	}
	if best == nil {
		return 0
	}
	return best.id
}

// MemberStatus is a member as the leader sees it.
type MemberStatus struct {
	Member
	// Match is the highest index that the member is known to have synced. A
	// non-leader knows only its own.
	Match uint64
	// Active reports whether the member responded within an election timeout.
	Active bool
}

// Status is the state of a voter for operators.
type Status struct {
	SoftState
	ID            uint64
	LastIndex     uint64
	SyncedIndex   uint64
	SnapshotIndex uint64
	// TransferTo is the target of a leadership transfer in progress, 0 for none.
	TransferTo uint64
	Members    []MemberStatus
}

// Status returns the current state.
func (c *Core) Status() Status {
	status := Status{
		SoftState: c.softState(), ID: c.config.ID, LastIndex: c.log.lastIndex(),
		SyncedIndex: c.persistence.lastIndex, TransferTo: c.leadership.transferTo,
	}
	if c.snapshot != nil {
		status.SnapshotIndex = c.snapshot.Index
	}
	for _, member := range c.membership().Members {
		entry := MemberStatus{Member: member}
		if member.ID == c.config.ID {
			entry.Match, entry.Active = c.persistence.lastIndex, !c.halted
		} else if known := c.progressOf(member.ID); known != nil {
			entry.Match, entry.Active = known.match, c.recentlyActive(member.ID)
		}
		status.Members = append(status.Members, entry)
	}
	return status
}
