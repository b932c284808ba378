package control

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/raftlog"
	"github.com/martenstage/martenstage/internal/state"
	"github.com/martenstage/martenstage/internal/textdelta"
)

// recoveryTermIncrement is added to the term in a recovery, so that the new term
// exceeds any that the lost voters can have reached: pre-vote keeps voters without
// a quorum from raising the term.
const recoveryTermIncrement = 1000

// recoveryAuthor is the author of the revisions that a recovery adds.
const recoveryAuthor = "recovery"

// Recovery creates a new group from the data folder, or a copy of it, of one voter
// of a group that has lost its quorum permanently.
type Recovery struct {
	// From is the data folder of the surviving voter and FromID its id. No process
	// may be using the folder; it is not modified.
	From   string
	FromID uint64
	// Folder is the new voter's data folder and must be empty. ID must never have
	// been used.
	Folder  string
	ID      uint64
	Address string
	// LostChanges is the maximum number of accepted changes that the survivor can
	// have missed. The latest text is accepted again that many times, because nodes
	// that hold a lost revision would otherwise confuse it with a new revision of
	// the same number.
	LostChanges int
}

// Recovered is the result of a recovery.
type Recovered struct {
	// LastIndex and LastTerm are those of the survivor's last log entry. Of several
	// survivors, the one with the highest term, then the highest index, lost the
	// least.
	LastIndex uint64
	LastTerm  uint64
	// SurvivorRevision is the latest revision of the survivor.
	SurvivorRevision uint64
	// FirstRevision is the first revision of the new group. It has the text of the
	// survivor's latest revision.
	FirstRevision uint64
}

// Run reads the survivor's folder and writes the new one. All log entries are
// applied, whether or not they are known to be committed. Changes and claims that
// the survivor does not hold are lost.
func (r Recovery) Run(now time.Time) (Recovered, error) {
	if folderIsEmpty(r.From) {
		return Recovered{}, exitcode.With(exitcode.DataFolder, errors.Newf("there is no state in %s", r.From))
	}
	if !folderIsEmpty(r.Folder) {
		return Recovered{}, exitcode.With(exitcode.DataFolder, errors.Newf("%s is not empty", r.Folder))
	}
	log, restored, err := raftlog.Open(raftlog.Options{Folder: r.From, VoterID: r.FromID})
	if err != nil {
		return Recovered{}, err
	}
	recovered, err := r.createGroup(restored, now)
	return recovered, errors.CombineErrors(err, log.Close())
}

func (r Recovery) createGroup(restored consensus.Restored, now time.Time) (Recovered, error) {
	survivor, err := readSurvivor(restored)
	if err != nil {
		return Recovered{}, err
	}
	recovered := Recovered{LastIndex: survivor.index, LastTerm: survivor.term, SurvivorRevision: survivor.machine.Latest().Number}
	membership, err := r.membership(survivor.membership)
	if err != nil {
		return Recovered{}, err
	}
	if err := r.resubmitLatest(survivor.machine, now); err != nil {
		return Recovered{}, err
	}
	recovered.FirstRevision = survivor.machine.Latest().Number
	data, err := survivor.machine.Snapshot()
	if err != nil {
		return Recovered{}, err
	}
	term := max(restored.HardState.Term, survivor.term) + recoveryTermIncrement
	log, _, err := raftlog.Open(raftlog.Options{Folder: r.Folder, VoterID: r.ID})
	if err != nil {
		return Recovered{}, err
	}
	err = log.Write([]*consensus.Persist{{
		HardState:  &consensus.HardState{Term: term},
		Snapshot:   &consensus.Snapshot{Index: survivor.index, Term: term, Membership: membership, Data: data},
		ReplaceLog: true,
	}})
	return recovered, errors.CombineErrors(err, log.Close())
}

// membership returns the membership of the new group. It lists the old ids as
// removed, so that they are never reused and messages of returning old voters
// match no member.
func (r Recovery) membership(old consensus.Membership) (consensus.Membership, error) {
	created := consensus.NewMembership([]consensus.Member{{ID: r.ID, Address: r.Address}})
	created.Removed = append(created.Removed, old.Removed...)
	for _, member := range old.Members {
		created.Removed = append(created.Removed, member.ID)
	}
	for _, used := range created.Removed {
		if used == r.ID {
			return created, exitcode.With(exitcode.Usage, errors.Newf("voter id %d was used before; choose a new one", r.ID))
		}
	}
	return created, nil
}

// resubmitLatest accepts the latest text again under higher revision numbers.
func (r Recovery) resubmitLatest(machine *state.Machine, now time.Time) error {
	if machine.Latest().Number == 0 {
		return nil
	}
	resubmitted, err := newResubmission(machine)
	if err != nil {
		return err
	}
	for range r.LostChanges {
		latest := machine.Latest()
		id := fmt.Sprintf("recovery-%d-after-%d", r.ID, latest.Number)
		command := &v1.ChangeCommand{
			ChangeId: id, ExpectedRevision: latest.Number, RequestHash: state.ApplyHash(id, 0),
			Author: recoveryAuthor, Comment: fmt.Sprintf("revision %d again, after the loss of the quorum", latest.Number),
		}
		if err := resubmitted.encode(command, machine); err != nil {
			return err
		}
		data, err := state.Encode(now, &v1.StateCommand{Body: &v1.StateCommand_Change{Change: command}})
		if err != nil {
			return err
		}
		if _, err := machine.Apply(data); err != nil {
			return err
		}
	}
	return nil
}

// resubmission holds the latest text and plan for resubmission: both in full, and
// the text also as a delta without changes.
type resubmission struct {
	text, plan []byte
	unchanged  []byte
}

func newResubmission(machine *state.Machine) (latest resubmission, err error) {
	if latest.text, latest.plan, err = latestFull(machine); err != nil {
		return latest, err
	}
	unpacked, err := decompress(latest.text)
	if err != nil {
		return latest, err
	}
	latest.unchanged, err = textdelta.Make(string(unpacked), string(unpacked))
	return latest, err
}

// encode stores text and plan in a change, as deltas if the history has capacity
// for them, so that it retains its older texts.
func (r resubmission) encode(command *v1.ChangeCommand, machine *state.Machine) error {
	unchanged, err := proto.Marshal(&v1.PlanDelta{BaseRevision: command.GetExpectedRevision()})
	if err != nil {
		return err
	}
	if machine.DeltaFits(len(r.unchanged), len(unchanged)) {
		command.TextDelta, command.PlanDelta = r.unchanged, unchanged
		return nil
	}
	command.CompressedText, command.CompressedPlan = r.text, r.plan
	return nil
}

// survivor is the state at the end of a voter's log.
type survivor struct {
	machine     *state.Machine
	membership  consensus.Membership
	index, term uint64
}

func readSurvivor(restored consensus.Restored) (survivor, error) {
	result := survivor{machine: state.New(state.DefaultLimits())}
	if snapshot := restored.Snapshot; snapshot != nil {
		if err := result.machine.Restore(snapshot.Data); err != nil {
			return result, err
		}
		result.membership, result.index, result.term = snapshot.Membership, snapshot.Index, snapshot.Term
	}
	for _, entry := range restored.Entries {
		if entry.Index <= result.index {
			continue
		}
		result.index, result.term = entry.Index, entry.Term
		if err := result.apply(entry); err != nil {
			return result, errors.Wrapf(err, "log entry %d", entry.Index)
		}
	}
	return result, nil
}

func (s *survivor) apply(entry consensus.Entry) (err error) {
	switch entry.Kind {
	case consensus.EntryData:
		_, err = s.machine.Apply(entry.Data)
	case consensus.EntryMembership:
		s.membership, err = consensus.DecodeMembership(entry.Data)
	}
	return err
}
