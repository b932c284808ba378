package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Core is one voter. It is not safe for concurrent use.
type Core struct {
	config Config
	random *rand.Rand
	now    time.Time
	output Output

	hardState   HardState
	role        Role
	leader      uint64
	halted      bool
	log         entryLog
	memberships membershipLog
	snapshot    *Snapshot
	commit      uint64
	// deliveredIndex is the last index delivered for applying.
	deliveredIndex uint64

	persistence persistence

	// electionDeadline is when a non-leader campaigns; leaderContact is the time
	// of the last message from the leader.
	electionDeadline time.Time
	leaderContact    time.Time
	votes            map[uint64]bool
	// seenLeaderSinceStart is set once this voter has led or received a message from a leader.
	seenLeaderSinceStart bool
	// transferCampaign is set if the leader requested the election by a transfer.
	transferCampaign bool

	leadership leadership
}

// New returns a voter that continues from the restored state. It fails if the
// configuration is invalid or the restored state is inconsistent.
func New(config Config, restored Restored) (*Core, error) {
	config = config.WithDefaults()
	if config.ID == 0 {
		return nil, errors.New("consensus: the voter id must not be 0")
	}
	if config.Heartbeat*2 > config.ElectionTimeout {
		return nil, errors.Newf("consensus: heartbeat %s must be at most half of the election timeout %s",
			config.Heartbeat, config.ElectionTimeout)
	}
	core := &Core{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, config.ID)),
		hardState: restored.HardState,
	}
	if err := core.restore(restored); err != nil {
		return nil, err
	}
	core.persistence.initialize(core.hardState, core.log.lastIndex())
	return core, nil
}

func (c *Core) restore(restored Restored) error {
	if snapshot := restored.Snapshot; snapshot != nil {
		c.snapshot = snapshot
		c.commit, c.deliveredIndex = snapshot.Index, snapshot.Index
		c.memberships.reset(snapshot.Index, snapshot.Membership)
		c.log.reset(snapshot.Index, snapshot.Term)
	}
	if len(restored.Entries) == 0 {
		return nil
	}
	first := restored.Entries[0]
	if first.Index > c.commit+1 || first.Index == 0 {
		return errors.Newf("consensus: the log begins at %d but the state ends at %d", first.Index, c.commit)
	}
	if first.Index <= c.commit {
		// The term of the entry before the first one is not stored, so the first
		// entry becomes the base.
		c.log.reset(first.Index, first.Term)
	}
	for i, entry := range restored.Entries {
		if entry.Index != first.Index+uint64(i) {
			return errors.Newf("consensus: entry %d follows entry %d", entry.Index, first.Index+uint64(i)-1)
		}
		if err := c.restoreEntry(entry); err != nil {
			return err
		}
	}
	if c.snapshot != nil && !c.log.matches(c.snapshot.Index, c.snapshot.Term) {
		// A crash happened after a snapshot was installed and before it replaced
		// the old log.
		c.log.reset(c.snapshot.Index, c.snapshot.Term)
		c.memberships.reset(c.snapshot.Index, c.snapshot.Membership)
	}
	return nil
}

func (c *Core) restoreEntry(entry Entry) error {
	if entry.Index < c.log.firstIndex() {
		return nil
	}
	c.log.entries = append(c.log.entries, entry)
	if entry.Kind != EntryMembership || entry.Index <= c.commit {
		return nil
	}
	membership, err := DecodeMembership(entry.Data)
	if err != nil {
		return errors.Wrapf(err, "consensus: membership entry %d", entry.Index)
	}
	c.memberships.append(entry.Index, membership)
	return nil
}

// Step handles one event and returns the actions that the caller must carry
// out. The time never goes back: an earlier now is ignored.
func (c *Core) Step(now time.Time, event Event) Output {
	if now.After(c.now) {
		c.now = now
	}
	if c.electionDeadline.IsZero() {
		c.start()
	}
	c.output = Output{}
	c.handle(event)
	// Deadlines are checked after the event: a process that was suspended must
	// handle a queued message before it suspects the leader that sent it.
	if !c.halted {
		c.checkDeadlines()
	}
	return c.finish()
}

// start sets the first election deadline. A single voter campaigns at once.
func (c *Core) start() {
	c.resetElectionDeadline()
	if c.promotable() && c.membership().Voters() == 1 {
		c.electionDeadline = c.now
	}
}

func (c *Core) handle(event Event) {
	switch event := event.(type) {
	case Receive:
		if !c.halted {
			c.receive(event.Message)
		}
	case Propose:
		for _, proposal := range event.Proposals {
			c.propose(proposal)
		}
		c.replicate()
	case ConfirmRead:
		c.confirmRead(event.Token)
	case ChangeMembership:
		c.changeMembership(event)
	case TransferLeadership:
		c.startTransfer(event.To)
	case Persisted:
		c.persisted(event.Sequence)
	case SnapshotTaken:
		c.snapshotTaken(event.Index, event.Data)
	case DiskFailed:
		c.halt()
	case DeadlineReached:
	}
}

func (c *Core) checkDeadlines() {
	if c.role == Leader {
		c.checkLeaderDeadlines()
		return
	}
	if c.now.Before(c.electionDeadline) {
		return
	}
	if c.promotable() {
		c.campaign(false)
		return
	}
	c.leader = 0
	c.resetElectionDeadline()
}

// finish adds the state changes of the step to the output.
func (c *Core) finish() Output {
	if c.halted {
		// After a disk failure nothing that depends on a sync may be sent.
		c.output.Persist, c.output.AfterPersist = nil, nil
	} else {
		c.output.Persist = c.persistence.issue(c.hardState, &c.log)
		if c.persistence.idle() {
			// Everything is synced already, so these messages may be sent at once.
			c.output.Messages = append(c.output.Messages, c.output.AfterPersist...)
			c.output.AfterPersist = nil
		}
		c.deliverCommitted()
	}
	c.output.State = c.softState()
	c.output.NextDeadline = c.nextDeadline()
	return c.output
}

func (c *Core) softState() SoftState {
	return SoftState{Role: c.role, Leader: c.leader, Term: c.hardState.Term, Commit: c.commit, Halted: c.halted}
}

func (c *Core) nextDeadline() time.Time {
	switch {
	case c.halted:
		return time.Time{}
	case c.role == Leader:
		return c.leadership.heartbeatDue
	}
	return c.electionDeadline
}

// deliverCommitted delivers entries that are committed and synced locally. An
// entry committed by other voters waits for the local sync, so that the state
// machine is never ahead of the log that it would be rebuilt from.
func (c *Core) deliverCommitted() {
	if restore := c.persistence.takeSyncedRestore(); restore != nil {
		c.output.Restore = restore
		c.deliveredIndex = restore.Index
	}
	if c.persistence.restoring() {
		return
	}
	upTo := min(c.commit, c.persistence.lastIndex)
	if upTo > c.deliveredIndex {
		c.output.Committed = c.log.between(c.deliveredIndex+1, upTo)
		c.deliveredIndex = upTo
	}
}

// send queues a message that depends on no durable state but the term.
func (c *Core) send(message Message) {
	if !c.persistence.hardStateSynced(c.hardState) {
		// The message carries a term that would be lost in a crash now.
		c.sendAfterPersist(message)
		return
	}
	c.output.Messages = append(c.output.Messages, c.withSenderAndTerm(message))
}

// sendAfterPersist queues a message that must not be sent before all state is synced.
func (c *Core) sendAfterPersist(message Message) {
	c.output.AfterPersist = append(c.output.AfterPersist, c.withSenderAndTerm(message))
}

func (c *Core) withSenderAndTerm(message Message) Message {
	message.From = c.config.ID
	if message.Term == 0 {
		message.Term = c.hardState.Term
	}
	return message
}

func (c *Core) membership() Membership { return c.memberships.current() }

// promotable reports whether this voter may campaign. Learners, removed voters
// and voters without a log may not.
func (c *Core) promotable() bool { return c.membership().IsVoter(c.config.ID) }

// Divisors of the election timeout for a voter that has had no contact with a leader
// since its start. If the whole group restarted, there is no leader to disrupt; if
// there is a leader, the voters in contact with it reject the pre-vote, so an early
// campaign is harmless.
const (
	startTimeoutDivisor = 8
	startJitterDivisor  = 2
)

func (c *Core) resetElectionDeadline() {
	minimum, jitter := c.config.ElectionTimeout, c.config.ElectionTimeout
	if !c.seenLeaderSinceStart {
		minimum, jitter = minimum/startTimeoutDivisor, jitter/startJitterDivisor
	}
	c.electionDeadline = c.now.Add(minimum + time.Duration(c.random.Int64N(int64(jitter))))
}

// halt stops this voter from participating in the group until it is restarted.
func (c *Core) halt() {
	if c.halted {
		return
	}
	if c.role == Leader {
		// Only a hint: the receiver must still win an election with its own log.
		if successor := c.mostUpToDateFollower(); successor != 0 {
			c.send(Message{Type: MessageTimeoutNow, To: successor})
		}
	}
	c.becomeFollower(c.hardState.Term, 0)
	c.halted = true
}
