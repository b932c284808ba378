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
	// handedOut is the last index given out for applying.
	handedOut uint64

	persistence persistence

	// electionDeadline is when a non-leader campaigns; leaderContact is when it
	// last heard from the leader.
	electionDeadline time.Time
	leaderContact    time.Time
	votes            map[uint64]bool
	// ledSinceStart says that this voter has led or heard a leader since its start.
	ledSinceStart bool
	// transferCampaign says that the election was asked for by the leader.
	transferCampaign bool

	leadership leadership
}

// New returns a voter that goes on from what its disk held. It fails when the
// restored state contradicts itself.
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
	core.persistence.restored(core.hardState, core.log.lastIndex())
	return core, nil
}

func (c *Core) restore(restored Restored) error {
	if snapshot := restored.Snapshot; snapshot != nil {
		c.snapshot = snapshot
		c.commit, c.handedOut = snapshot.Index, snapshot.Index
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
		// The entry before the first is gone, and with it the term to check the
		// first one by; so the first one becomes the base.
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
		// A snapshot was installed, and a crash kept the old log from being
		// replaced by it.
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

// Step handles one event at a time that never goes back and returns what must
// be done.
func (c *Core) Step(now time.Time, event Event) Output {
	if now.After(c.now) {
		c.now = now
	}
	if c.electionDeadline.IsZero() {
		c.start()
	}
	c.output = Output{}
	c.handle(event)
	// Deadlines come after the event: a process that slept must take in the
	// message that waited before it suspects the leader that sent it.
	if !c.halted {
		c.checkDeadlines()
	}
	return c.finish()
}

// start sets the first deadline. An only voter has nobody to wait for.
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
	case Wake:
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

// finish collects what the step changed into the output.
func (c *Core) finish() Output {
	if c.halted {
		// A voter whose disk failed promises nothing any more.
		c.output.Persist, c.output.AfterPersist = nil, nil
	} else {
		c.output.Persist = c.persistence.issue(c.hardState, &c.log)
		if c.persistence.idle() {
			// Everything is synced already, so the promises may leave at once.
			c.output.Messages = append(c.output.Messages, c.output.AfterPersist...)
			c.output.AfterPersist = nil
		}
		c.handOutCommitted()
	}
	c.output.State = c.softState()
	c.output.Wake = c.nextWake()
	return c.output
}

func (c *Core) softState() SoftState {
	return SoftState{Role: c.role, Leader: c.leader, Term: c.hardState.Term, Commit: c.commit, Halted: c.halted}
}

func (c *Core) nextWake() time.Time {
	switch {
	case c.halted:
		return time.Time{}
	case c.role == Leader:
		return c.leadership.heartbeatDue
	}
	return c.electionDeadline
}

// handOutCommitted gives out entries that are committed and synced here. An
// entry that is committed elsewhere waits for the local sync, so that the
// state machine is never ahead of the log that it would be rebuilt from.
func (c *Core) handOutCommitted() {
	if restore := c.persistence.takeRestorable(); restore != nil {
		c.output.Restore = restore
		c.handedOut = restore.Index
	}
	if c.persistence.restoring() {
		return
	}
	upTo := min(c.commit, c.persistence.lastIndex)
	if upTo > c.handedOut {
		c.output.Committed = c.log.between(c.handedOut+1, upTo)
		c.handedOut = upTo
	}
}

// send queues a message that promises nothing beyond the term.
func (c *Core) send(message Message) {
	if !c.persistence.hardStateSynced(c.hardState) {
		// The message shows a term that a crash could still make us forget.
		c.promise(message)
		return
	}
	c.output.Messages = append(c.output.Messages, c.stamped(message))
}

// promise queues a message that must not leave before all state is synced.
func (c *Core) promise(message Message) {
	c.output.AfterPersist = append(c.output.AfterPersist, c.stamped(message))
}

func (c *Core) stamped(message Message) Message {
	message.From = c.config.ID
	if message.Term == 0 {
		message.Term = c.hardState.Term
	}
	return message
}

func (c *Core) membership() Membership { return c.memberships.current() }

// promotable reports whether this voter may campaign: learners, removed voters
// and voters that hold no log yet may not.
func (c *Core) promotable() bool { return c.membership().IsVoter(c.config.ID) }

// Parts of the election timeout within which a voter campaigns that has not heard a
// leader since its start: when all restarted there is nobody to spare, and where there
// is a leader the voters that hear it give no pre-vote, so that asking costs nothing.
const (
	startTimeoutPart = 8
	startJitterPart  = 2
)

func (c *Core) resetElectionDeadline() {
	least, span := c.config.ElectionTimeout, c.config.ElectionTimeout
	if !c.ledSinceStart {
		least, span = least/startTimeoutPart, span/startJitterPart
	}
	c.electionDeadline = c.now.Add(least + time.Duration(c.random.Int64N(int64(span))))
}

// halt ends this voter's part in the group until it is restarted.
func (c *Core) halt() {
	if c.halted {
		return
	}
	if c.role == Leader {
		// Only a hint: the receiver still has to win an election by its own log.
		if successor := c.longestFollower(); successor != 0 {
			c.send(Message{Type: MessageTimeoutNow, To: successor})
		}
	}
	c.becomeFollower(c.hardState.Term, 0)
	c.halted = true
}
