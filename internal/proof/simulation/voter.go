package simulation

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/proof/simulation/disk"
	"github.com/martenstage/martenstage/internal/proof/simulation/network"
	"github.com/martenstage/martenstage/internal/state"
)

// Ends of a proposal that say nothing about what became of it, or that it
// became nothing.
var (
	errOutcomeUnknown = errors.New("the outcome is not known")
	errNotLeader      = errors.New("not the leader")
	errNotProposed    = errors.New("refused before anything was appended")
)

const (
	electionTimeout = 500 * time.Millisecond
	heartbeat       = 100 * time.Millisecond
	// snapshotEntries is small, so that snapshots are taken and sent in most
	// runs.
	snapshotEntries = 60
	// stalledTimeouts is after how many election timeouts of waiting for its
	// disk a leader hands over.
	stalledTimeouts = 2
)

// awaited is a proposal that is in the log and not applied yet.
type awaited struct {
	term uint64
	done func(any, error)
}

// pendingRead waits for the state machine to reach an index.
type pendingRead struct {
	index uint64
	done  func(error)
}

// voter drives a consensus core in the order of package voter: messages leave
// at once, promises once what they rest on is synced, and entries are applied
// when they are committed.
type voter struct {
	process
	id      uint64
	core    *consensus.Core
	disk    *disk.Disk
	machine *state.Machine
	wake    alarm
	state   consensus.SoftState

	inbox    []consensus.Event
	stepping bool
	tokens   uint64
	// proposals and reads are answered by token, outcomes by index.
	proposals map[uint64]func(any, error)
	outcomes  map[uint64]awaited
	reads     map[uint64]func(error)
	waiting   []pendingRead
	applied   uint64
	// sinceSnapshot counts the entries applied since the last one.
	sinceSnapshot int
	failed        bool
	issued        uint64
	synced        uint64
	unsyncedSince time.Time
	control       *control
}

func newVoter(world *World, at seat, id uint64) *voter {
	v := &voter{process: newProcess(world, at), id: id}
	v.wake = alarm{process: &v.process, act: func() { v.step(consensus.DeadlineReached{}) }}
	v.control = newControl(v)
	return v
}

// start begins a run of the voter from what its disk holds.
func (v *voter) start() {
	if v.running {
		return
	}
	v.begin()
	restored := v.disk.Restored()
	core, err := consensus.New(consensus.Config{
		ID: v.id, Seed: v.world.seed + v.boot<<32, ElectionTimeout: electionTimeout, Heartbeat: heartbeat,
	}, restored)
	if err != nil {
		v.world.fail("voter_restart", "%s does not restart: %v", v.name(), err)
		v.end()
		return
	}
	v.core, v.machine, v.applied = core, newMachine(), 0
	v.inbox, v.stepping, v.failed = nil, false, false
	v.proposals, v.outcomes, v.reads = map[uint64]func(any, error){}, map[uint64]awaited{}, map[uint64]func(error){}
	v.waiting, v.sinceSnapshot, v.issued, v.synced = nil, 0, 0, 0
	v.state = consensus.SoftState{}
	if restored.Snapshot != nil {
		v.restore(restored.Snapshot)
	}
	v.world.raft.restarted(v, restored)
	v.world.trace.note(v.name(), "voter_started", "id", v.id, "boot", v.boot, "entries", len(restored.Entries), "applied", v.applied)
	v.step(consensus.DeadlineReached{})
	v.control.start()
	v.watchDisk()
}

func (v *voter) crash() {
	if !v.running {
		return
	}
	v.disk.Crash()
	v.end()
}

// step hands the core one event. What its output leads to may bring further
// ones, which follow when the output is dealt with.
func (v *voter) step(event consensus.Event) {
	v.inbox = append(v.inbox, event)
	if v.stepping {
		return
	}
	v.stepping = true
	boot := v.boot
	for next := 0; next < len(v.inbox) && v.boot == boot; next++ {
		v.carryOut(v.core.Step(v.now(), v.inbox[next]))
	}
	if v.boot == boot {
		clear(v.inbox)
		v.inbox = v.inbox[:0]
	}
	v.stepping = false
}

func (v *voter) carryOut(output consensus.Output) {
	v.world.raft.stepped(v, output)
	v.noteState(output.State)
	v.send(output.Messages)
	v.persist(output)
	if output.Restore != nil {
		v.restore(output.Restore)
	}
	for _, entry := range output.Committed {
		v.apply(entry)
	}
	v.answer(output)
	v.wake.set(output.NextDeadline)
	v.takeSnapshot()
}

func (v *voter) send(messages []consensus.Message) {
	for _, message := range messages {
		to := v.world.voterOf(message.To)
		if to == nil {
			continue
		}
		v.world.trace.message(v.name(), &message)
		// One event for all arrivals: a message may come twice.
		var received consensus.Event = consensus.Receive{Message: message}
		id := message.To
		v.world.network.Send(network.Message{From: &v.place, To: &to.place, Repeatable: true, Arrive: func() {
			to.receive(id, received)
		}})
	}
}

// receive takes in a message to a voter of an id, now or when the voter thaws.
func (v *voter) receive(id uint64, received consensus.Event) {
	if !v.frozen {
		if v.running && v.id == id {
			v.step(received)
		}
		return
	}
	v.deliver(v.boot, func() { v.receive(id, received) })
}

// persist writes a unit and lets go of the promises that rest on it, and on all
// before it, once it is synced.
func (v *voter) persist(output consensus.Output) {
	if output.Persist == nil && len(output.AfterPersist) == 0 {
		return
	}
	if output.Persist != nil {
		if v.issued == v.synced {
			v.unsyncedSince = v.now()
		}
		v.issued = output.Persist.Sequence
	}
	if v.world.mutations.promiseEarly(v, output) {
		v.send(output.AfterPersist)
		output.AfterPersist = nil
	}
	boot, unit, promises := v.boot, output.Persist, output.AfterPersist
	v.disk.Write(unit, func(err error) {
		v.deliver(boot, func() { v.written(unit, promises, err) })
	})
}

func (v *voter) written(unit *consensus.Persist, promises []consensus.Message, err error) {
	if v.failed {
		return
	}
	if err != nil {
		v.failed = true
		v.world.trace.note(v.name(), "disk_failed")
		v.step(consensus.DiskFailed{})
		v.failUpTo(^uint64(0))
		return
	}
	v.send(promises)
	if unit != nil {
		v.synced, v.unsyncedSince = unit.Sequence, v.now()
		v.step(consensus.Persisted{Sequence: unit.Sequence})
	}
}

// watchDisk lets a leader hand over when its disk does not answer.
func (v *voter) watchDisk() {
	v.after(heartbeat, v.watchDisk)
	stalled := v.issued != v.synced && v.now().Sub(v.unsyncedSince) > stalledTimeouts*electionTimeout
	if stalled && v.state.Role == consensus.Leader {
		v.step(consensus.TransferLeadership{})
	}
}

func (v *voter) noteState(current consensus.SoftState) {
	before := v.state
	v.state = current
	if before.Role == consensus.Leader && current.Role != consensus.Leader {
		// The new leader soon commits or overwrites what is still open.
		v.after(2*electionTimeout, func() {
			if v.state.Role != consensus.Leader {
				v.failUpTo(^uint64(0))
			}
		})
	}
	if current.Role == consensus.Leader && (before.Role != consensus.Leader || before.Term != current.Term) {
		v.world.leaderChanges++
		v.world.trace.note(v.name(), "leads", "term", current.Term, "id", v.id)
	}
}

func (v *voter) restore(snapshot *consensus.Snapshot) {
	if err := v.machine.Restore(snapshot.Data); err != nil {
		v.world.fail("restore", "%s can't restore a snapshot: %v", v.name(), err)
		return
	}
	v.failUpTo(snapshot.Index)
	v.advance(snapshot.Index)
	v.sinceSnapshot = 0
	v.world.raft.restored(v, snapshot)
	v.control.applied()
}

func (v *voter) apply(entry consensus.Entry) {
	v.world.raft.apply(v, entry)
	var result any
	before := v.machine.Latest().Number
	if entry.Kind == consensus.EntryData {
		applied, err := v.machine.Apply(entry.Data)
		if err != nil {
			v.world.fail("apply", "%s can't apply entry %d: %v", v.name(), entry.Index, err)
			return
		}
		result = applied
	}
	if v.machine.Latest().Number != before {
		v.world.raft.revised(v, entry.Index)
	}
	v.sinceSnapshot++
	v.advance(entry.Index)
	if waiting, ok := v.outcomes[entry.Index]; ok {
		delete(v.outcomes, entry.Index)
		if waiting.term != entry.Term {
			waiting.done(nil, errNotLeader) // overwritten: it can never be committed
		} else {
			waiting.done(result, nil)
		}
	}
	v.control.applied()
}

func (v *voter) advance(index uint64) {
	v.applied = max(v.applied, index)
	waiting := v.waiting
	v.waiting = nil
	for _, read := range waiting {
		if read.index <= v.applied {
			read.done(nil)
		} else {
			v.waiting = append(v.waiting, read)
		}
	}
}

func (v *voter) takeSnapshot() {
	if v.sinceSnapshot < snapshotEntries {
		return
	}
	v.sinceSnapshot = 0
	data, err := v.machine.Snapshot()
	if err != nil {
		v.world.fail("snapshot", "%s can't take a snapshot: %v", v.name(), err)
		return
	}
	v.step(consensus.SnapshotTaken{Index: v.applied, Data: data})
}

// propose appends data to the group's log; done gets what applying it gave.
func (v *voter) propose(data []byte, done func(any, error)) {
	v.tokens++
	v.proposals[v.tokens] = done
	v.step(consensus.Propose{Proposals: []consensus.Proposal{{Token: v.tokens, Data: data}}})
}

// change proposes a change of the group's members.
func (v *voter) change(change consensus.Change, done func(any, error)) {
	v.tokens++
	v.proposals[v.tokens] = done
	v.step(consensus.ChangeMembership{Token: v.tokens, Change: change})
}

// confirmRead calls done without an error once the local state holds every
// commit made before, confirmed by a quorum.
func (v *voter) confirmRead(done func(error)) {
	v.tokens++
	v.reads[v.tokens] = done
	v.world.raft.readBegan(v.id, v.boot, v.tokens)
	v.step(consensus.ConfirmRead{Token: v.tokens})
}

func (v *voter) answer(output consensus.Output) {
	for _, result := range output.Proposals {
		done := v.proposals[result.Token]
		delete(v.proposals, result.Token)
		switch result.Refusal {
		case consensus.Accepted:
			if former, ok := v.outcomes[result.Index]; ok {
				former.done(nil, errNotLeader) // overwritten
			}
			v.outcomes[result.Index] = awaited{term: result.Term, done: done}
		case consensus.RefusedNotLeader:
			done(nil, errNotLeader)
		default:
			done(nil, errNotProposed)
		}
	}
	for _, result := range output.Reads {
		done := v.reads[result.Token]
		delete(v.reads, result.Token)
		switch {
		case result.Refusal != consensus.Accepted:
			done(errNotLeader)
		case result.Index <= v.applied:
			done(nil)
		default:
			v.waiting = append(v.waiting, pendingRead{index: result.Index, done: done})
		}
	}
}

// failUpTo ends open proposals up to an index, lowest first.
func (v *voter) failUpTo(last uint64) {
	for _, index := range sortedKeys(v.outcomes) {
		if index <= last {
			waiting := v.outcomes[index]
			delete(v.outcomes, index)
			waiting.done(nil, errOutcomeUnknown)
		}
	}
}

// initialState is what the first voters find on their disks.
func initialState(voters []seat) consensus.Restored {
	members := make([]consensus.Member, len(voters))
	for index, at := range voters {
		members[index] = consensus.Member{ID: uint64(index + 1), Address: at.name}
	}
	return consensus.Restored{
		HardState: consensus.HardState{Term: 1},
		Entries: []consensus.Entry{{
			Index: 1, Term: 1, Kind: consensus.EntryMembership,
			Data: consensus.EncodeMembership(consensus.NewMembership(members)),
		}},
	}
}
