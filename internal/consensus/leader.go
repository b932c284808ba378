package consensus

import (
	"slices"
	"time"
)

// leadership is the volatile state of a leader, reset when it wins an election.
type leadership struct {
	// members holds the progress of the other members, ordered by id.
	members      []*progress
	heartbeatDue time.Time
	// uncommittedBytes is the total size of uncommitted entries.
	uncommittedBytes int
	// firstIndex is the index of the leader's first entry in its term.
	firstIndex uint64
	reads      pendingReads
	// transferTo is the target of a leadership transfer, 0 for none.
	transferTo       uint64
	transferDeadline time.Time
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes, c.seenLeaderSinceStart = Leader, c.config.ID, nil, true
	c.leadership = leadership{firstIndex: c.log.lastIndex() + 1}
	c.syncProgress()
	// Entries of earlier terms are only committed together with one of the
	// leader's term (§3.6.2), so it appends a no-op at once.
	c.appendEntry(EntryNoop, nil)
	c.broadcastHeartbeat()
	c.replicate()
}

func (c *Core) endLeadership() {
	for _, read := range c.leadership.reads.all() {
		c.output.Reads = append(c.output.Reads, ReadResult{Token: read.token, Refusal: RefusedNotLeader})
	}
	c.leadership = leadership{}
}

// syncProgress updates the progress list to match the membership.
func (c *Core) syncProgress() {
	var members []*progress
	for _, member := range c.membership().Members {
		if member.ID == c.config.ID {
			continue
		}
		existing := c.progressOf(member.ID)
		if existing == nil {
			existing = &progress{id: member.ID, next: c.log.lastIndex() + 1, lastActive: c.now}
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

// appendEntry appends an entry in the leader's term. The leader may send it to
// followers before its own sync, since it counts itself towards the quorum only
// after that sync (§10.2.1); see quorumIndex.
func (c *Core) appendEntry(kind EntryKind, data []byte) Entry {
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
		entry := c.appendEntry(EntryData, proposal.Data)
		result.Index, result.Term = entry.Index, entry.Term
	}
	c.output.Proposals = append(c.output.Proposals, result)
}

// refusal returns why this voter can't append entries now, or Accepted.
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
	if !c.quorumActive() {
		// A leader that can't reach a quorum steps down (§6.2).
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

func (c *Core) quorumActive() bool {
	return c.membership().hasQuorum(c.recentlyActive)
}

func (c *Core) recentlyActive(id uint64) bool {
	if id == c.config.ID {
		return true
	}
	member := c.progressOf(id)
	return member != nil && c.now.Sub(member.lastActive) < c.config.ElectionTimeout
}

// broadcastHeartbeat starts a new heartbeat round. A quorum of responses also
// confirms the queued reads.
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

// handleFollowerResponse handles an append or heartbeat response of this term.
func (c *Core) handleFollowerResponse(message Message) {
	member := c.progressOf(message.From)
	if member == nil {
		return
	}
	member.lastActive = c.now
	switch {
	case message.Type == MessageHeartbeatResponse:
		member.round = max(member.round, message.Round)
		c.confirmReads()
		c.resendLost(member)
	case message.Reject:
		c.handleReject(member, message)
	case message.LogIndex <= c.log.lastIndex():
		if member.recordAcknowledgement(message.LogIndex) {
			c.advanceCommit()
		}
		c.sendAppends(member)
		c.continueTransfer(member)
	}
}

// handleReject moves next back to the last index where the logs may match (§3.5).
func (c *Core) handleReject(member *progress, message Message) {
	stale := message.LogIndex <= member.match || member.state == sendingSnapshot ||
		(member.state == probing && message.LogIndex != member.next-1)
	if stale {
		return
	}
	next := c.log.lastAtOrBelowTerm(message.HintIndex, message.HintTerm) + 1
	member.becomeProbing(min(next, message.LogIndex))
	c.sendAppends(member)
}

// resendLost sends entries again to a follower that responded to a heartbeat but
// lacks entries, since the messages that carried them may have been lost.
func (c *Core) resendLost(member *progress) {
	switch member.state {
	case probing:
		member.probeSent = false
	case sendingSnapshot:
		if c.now.Sub(member.snapshotSentAt) >= c.snapshotResend() {
			member.becomeProbing(member.match + 1)
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

// snapshotResendTimeouts is the number of election timeouts after which an
// unacknowledged snapshot is sent again.
const snapshotResendTimeouts = 6

func (c *Core) snapshotResend() time.Duration {
	return snapshotResendTimeouts * c.config.ElectionTimeout
}

// replicate sends new entries and commit indexes to every member.
func (c *Core) replicate() {
	if c.role != Leader {
		return
	}
	for _, member := range c.leadership.members {
		c.sendAppends(member)
	}
}

// sendAppends sends entries as far as flow control allows, or an empty append if
// the follower lacks the latest commit index.
func (c *Core) sendAppends(member *progress) {
	for !member.paused(c.config.MaxInflight) {
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
	member.recordSent(previous+uint64(len(entries)), len(entries))
}

func (c *Core) sendSnapshot(member *progress) {
	if c.snapshot == nil {
		return
	}
	member.state = sendingSnapshot
	member.snapshotIndex, member.snapshotSentAt = c.snapshot.Index, c.now
	c.send(Message{Type: MessageSnapshot, To: member.id, Snapshot: c.snapshot})
}

// typicalMembers is more than the members of a group of five during a replacement.
const typicalMembers = 8

// quorumIndex returns the highest index that a quorum of voters has synced. The
// leader counts itself only up to its own last synced index.
func (c *Core) quorumIndex() uint64 {
	// The constant capacity avoids a heap allocation for typical groups.
	synced := make([]uint64, 0, typicalMembers)
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

// advanceCommit commits up to the index that a quorum has synced, if that entry
// is of this term: an entry of an earlier term can still be overwritten (§3.6.2).
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
	c.queueEarlyReads()
}

// committedInTerm reports whether an entry of the leader's term is committed.
// Before that the leader does not know the group's commit index (§6.4).
func (c *Core) committedInTerm() bool { return c.commit >= c.leadership.firstIndex }
