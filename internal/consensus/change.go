package consensus

// changeMembership appends a change of one member. Changing one at a time keeps
// any quorum of the old voters and any of the new ones overlapping (§4.1).
func (c *Core) changeMembership(event ChangeMembership) {
	result := ProposalResult{Token: event.Token}
	var next Membership
	next, result.Refusal = c.checkChange(event.Change)
	if result.Refusal == Accepted {
		entry := c.appendOwn(EntryMembership, EncodeMembership(next))
		// In effect from the moment that it is in the log (§4.1).
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
		// Its acknowledgements are sent after its sync, so that match is what its
		// disk has: losing any minority right after the promotion loses nothing.
		if member := c.progressOf(change.ID); member == nil || member.match < c.commit {
			return Membership{}, RefusedLearnerBehind
		}
	}
	if change.Kind != AddLearner && !next.hasQuorum(c.recentlyActive) {
		return Membership{}, RefusedNoQuorum
	}
	return next, Accepted
}

// startTransfer begins to hand over leadership (§3.10): no new proposals, then
// the successor is brought up to date and told to campaign.
func (c *Core) startTransfer(to uint64) {
	if c.refusal() != Accepted {
		return
	}
	if to == 0 {
		to = c.longestFollower()
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

// longestFollower returns the answering voter with the highest match index, 0
// for none.
func (c *Core) longestFollower() uint64 {
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
	// Match is the highest index that the member is known to have synced; on
	// a voter that does not lead, only its own is known.
	Match uint64
	// Active says that it answered within an election timeout.
	Active bool
}

// Status is the state of a voter for operators.
type Status struct {
	SoftState
	ID            uint64
	LastIndex     uint64
	SyncedIndex   uint64
	SnapshotIndex uint64
	// TransferTo is the voter that leadership is being handed to, 0 for none.
	TransferTo uint64
	Members    []MemberStatus
}

// Status returns the present state.
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
