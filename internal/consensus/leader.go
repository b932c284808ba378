package consensus

import (
	"slices"
	"time"
)

// leadership is the state of a leader, made anew with each term that it leads.
type leadership struct {
	// members holds the others' progress, ordered by id.
	members      []*progress
	heartbeatDue time.Time
	// uncommittedBytes is the size of the data that is not committed yet.
	uncommittedBytes int
	// firstIndex is that of the entry that opened the term.
	firstIndex uint64
	reads      pendingReads
	// transferTo is the voter that is to take over, 0 for none.
	transferTo       uint64
	transferDeadline time.Time
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes, c.ledSinceStart = Leader, c.config.ID, nil, true
	c.leadership = leadership{firstIndex: c.log.lastIndex() + 1}
	c.syncProgress()
	// Entries of earlier terms are only committed through one of our own term
	// (§3.6.2), so there is one at once.
	c.appendOwn(EntryNoop, nil)
	c.broadcastHeartbeat()
	c.replicate()
}

func (c *Core) endLeadership() {
	for _, read := range c.leadership.reads.all() {
		c.output.Reads = append(c.output.Reads, ReadResult{Token: read.token, Refusal: RefusedNotLeader})
	}
	c.leadership = leadership{}
}

// syncProgress makes the progress list follow the membership.
func (c *Core) syncProgress() {
	var members []*progress
	for _, member := range c.membership().Members {
		if member.ID == c.config.ID {
			continue
		}
		existing := c.progressOf(member.ID)
		if existing == nil {
			existing = &progress{id: member.ID, next: c.log.lastIndex() + 1, active: c.now}
		}
		members = append(members, existing)
	}
	c.leadership.members = members
}

func (c *Core) progressOf(id uint64) *progress {
	for _, member := range c.leadership.members {
		if member.id == id {
			return member
		}
	}
	return nil
}

// appendOwn appends an entry of the leader's term. The leader may send it to
// followers before its own disk has it, since it counts itself towards the
// quorum only after its own sync (§10.2.1); see quorumIndex.
func (c *Core) appendOwn(kind EntryKind, data []byte) Entry {
	entry := Entry{Index: c.log.lastIndex() + 1, Term: c.hardState.Term, Kind: kind, Data: data}
	c.log.append([]Entry{entry})
	c.leadership.uncommittedBytes += entry.size()
	return entry
}

func (c *Core) propose(proposal Proposal) {
	result := ProposalResult{Token: proposal.Token, Refusal: c.refusal()}
	switch {
	case result.Refusal != Accepted:
	case len(proposal.Data) > c.config.MaxEntryBytes:
		result.Refusal = RefusedTooLarge
	case c.leadership.uncommittedBytes > c.config.MaxUncommittedBytes:
		result.Refusal = RefusedOverloaded
	default:
		entry := c.appendOwn(EntryData, proposal.Data)
		result.Index, result.Term = entry.Index, entry.Term
	}
	c.output.Proposals = append(c.output.Proposals, result)
}

// refusal returns why this voter appends nothing at present.
func (c *Core) refusal() Refusal {
	switch {
	case c.halted:
		return RefusedHalted
	case c.role != Leader:
		return RefusedNotLeader
	case c.leadership.transferTo != 0:
		return RefusedTransferring
	}
	return Accepted
}

func (c *Core) checkLeaderDeadlines() {
	if !c.quorumAnswers() {
		// A leader that is cut off must not go on calling itself leader (§6.2).
		c.becomeFollower(c.hardState.Term, 0)
		return
	}
	if c.leadership.transferTo != 0 && !c.now.Before(c.leadership.transferDeadline) {
		c.leadership.transferTo = 0
	}
	if !c.now.Before(c.leadership.heartbeatDue) {
		c.broadcastHeartbeat()
	}
}

func (c *Core) quorumAnswers() bool {
	return c.membership().hasQuorum(c.recentlyActive)
}

func (c *Core) recentlyActive(id uint64) bool {
	if id == c.config.ID {
		return true
	}
	member := c.progressOf(id)
	return member != nil && c.now.Sub(member.active) < c.config.ElectionTimeout
}

// broadcastHeartbeat starts a new round, which also confirms the waiting reads
// when a quorum answers it.
func (c *Core) broadcastHeartbeat() {
	c.leadership.heartbeatDue = c.now.Add(c.config.Heartbeat)
	round := c.leadership.reads.startRound(c.committedInTerm())
	for _, member := range c.leadership.members {
		c.send(Message{
			Type: MessageHeartbeat, To: member.id, Round: round,
			Commit: min(member.match, c.commit),
		})
	}
	c.confirmReads()
}

// handleFollowerResponse takes in what a member of our term answered.
func (c *Core) handleFollowerResponse(message Message) {
	member := c.progressOf(message.From)
	if member == nil {
		return
	}
	member.active = c.now
	switch {
	case message.Type == MessageHeartbeatResponse:
		member.round = max(member.round, message.Round)
		c.confirmReads()
		c.resend(member)
	case message.Reject:
		c.handleReject(member, message)
	case message.LogIndex <= c.log.lastIndex():
		if member.acknowledged(message.LogIndex) {
			c.advanceCommit()
		}
		c.sendAppends(member)
		c.continueTransfer(member)
	}
}

// handleReject goes back to where the logs may match (§3.5).
func (c *Core) handleReject(member *progress, message Message) {
	stale := message.LogIndex <= member.match || member.state == sendingSnapshot ||
		(member.state == probing && message.LogIndex != member.next-1)
	if stale {
		return
	}
	next := c.log.lastAtOrBelowTerm(message.HintIndex, message.HintTerm) + 1
	member.probe(min(next, message.LogIndex))
	c.sendAppends(member)
}

// resend answers a heartbeat response of a follower that lacks entries: the
// messages that carried them may have been lost.
func (c *Core) resend(member *progress) {
	switch member.state {
	case probing:
		member.probeSent = false
	case sendingSnapshot:
		if c.now.Sub(member.snapshotSent) >= c.snapshotResend() {
			member.probe(member.match + 1)
		}
	case replicating:
		if member.match < member.next-1 {
			// An append without entries is rejected when an earlier one was lost.
			c.sendAppend(member, nil)
		}
	}
	if member.match < c.log.lastIndex() {
		c.sendAppends(member)
	}
}

// snapshotResendTimeouts is after how many election timeouts a snapshot that
// was not acknowledged is sent again.
const snapshotResendTimeouts = 6

func (c *Core) snapshotResend() time.Duration {
	return snapshotResendTimeouts * c.config.ElectionTimeout
}

// replicate sends what is new to every member.
func (c *Core) replicate() {
	if c.role != Leader {
		return
	}
	for _, member := range c.leadership.members {
		c.sendAppends(member)
	}
}

// sendAppends sends entries as far as flow control lets it, or at least a
// commit index that the follower does not know.
func (c *Core) sendAppends(member *progress) {
	for !member.blocked(c.config.MaxInflight) {
		if member.next < c.log.firstIndex() {
			c.sendSnapshot(member)
			return
		}
		entries := c.log.batch(member.next, c.config.MaxBatchBytes)
		if len(entries) == 0 && member.state == replicating && member.commitSent >= c.commit {
			return
		}
		c.sendAppend(member, entries)
		if len(entries) == 0 {
			return
		}
	}
}

func (c *Core) sendAppend(member *progress, entries []Entry) {
	previous := member.next - 1
	term, _ := c.log.term(previous)
	c.send(Message{
		Type: MessageAppend, To: member.id, LogIndex: previous, LogTerm: term,
		Entries: entries, Commit: c.commit,
	})
	member.commitSent = c.commit
	member.sent(previous+uint64(len(entries)), len(entries))
}

func (c *Core) sendSnapshot(member *progress) {
	if c.snapshot == nil {
		return
	}
	member.state = sendingSnapshot
	member.snapshotIndex, member.snapshotSent = c.snapshot.Index, c.now
	c.send(Message{Type: MessageSnapshot, To: member.id, Snapshot: c.snapshot})
}

// usualMembers is more than a group of five has while one is replaced.
const usualMembers = 8

// quorumIndex is the highest index that a quorum of voters has synced. The
// leader itself counts only with what its own disk has synced.
func (c *Core) quorumIndex() uint64 {
	// Room for the usual number of members, which needs no allocation.
	synced := make([]uint64, 0, usualMembers)
	for _, member := range c.membership().Members {
		switch {
		case member.Learner:
		case member.ID == c.config.ID:
			synced = append(synced, c.persistence.lastIndex)
		default:
			synced = append(synced, c.progressOf(member.ID).match)
		}
	}
	if len(synced) == 0 {
		return 0
	}
	slices.Sort(synced)
	return synced[len(synced)-c.membership().Quorum()]
}

// advanceCommit commits what a quorum has synced, if it is of this term: an
// entry of an earlier term can still be overwritten (§3.6.2).
func (c *Core) advanceCommit() {
	index := c.quorumIndex()
	if term, _ := c.log.term(index); index <= c.commit || term != c.hardState.Term {
		return
	}
	for _, entry := range c.log.between(max(c.commit+1, c.leadership.firstIndex), index) {
		c.leadership.uncommittedBytes -= entry.size()
	}
	c.commit = index
	c.replicate()
	if !c.promotable() && c.memberships.currentIndex() <= c.commit {
		// The entry that removes this leader is committed (§4.2.2).
		c.becomeFollower(c.hardState.Term, 0)
		return
	}
	c.releaseEarlyReads()
}

// committedInTerm reports whether an entry of the leader's term is committed;
// before that it does not know the commit index of the group (§6.4).
func (c *Core) committedInTerm() bool { return c.commit >= c.leadership.firstIndex }
