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

// recoveryTerms is by how much the term goes up in a recovery, so that it is
// above any that the lost voters can have reached: without a quorum they raise
// no term, thanks to the pre-vote.
const recoveryTerms = 1000

// recoveryAuthor is the author of the revisions that a recovery makes.
const recoveryAuthor = "recovery"

// Recovery founds a new group from the data folder of one voter of a group whose
// quorum is lost for good, or from a copy of such a folder.
type Recovery struct {
	// From is the folder of the surviving voter, FromID its id. No process may be
	// using it, and nothing in it is changed.
	From   string
	FromID uint64
	// Folder is the new voter's, and must be empty. ID must never have been used.
	Folder  string
	ID      uint64
	Address string
	// LostChanges bounds how many accepted changes the survivor can have missed.
	// The latest text is accepted again that many times, since nodes that hold
	// one of the lost revisions would take another text of its number for it.
	LostChanges int
}

// Recovered tells what a recovery found.
type Recovered struct {
	// LastIndex and LastTerm are those of the survivor's last entry: of several
	// survivors, the one with the highest term, then index, lost the least.
	LastIndex uint64
	LastTerm  uint64
	// Found is the latest revision of the survivor, First the one that the new
	// group begins with. Both have the same text.
	Found uint64
	First uint64
}

// Run reads the survivor's folder and writes the new one. Everything in the log
// counts, whether it is known to be accepted or not. Changes and claims that the
// survivor does not hold are lost.
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
	found, err := r.found(restored, now)
	return found, errors.CombineErrors(err, log.Close())
}

func (r Recovery) found(restored consensus.Restored, now time.Time) (Recovered, error) {
	survivor, err := readSurvivor(restored)
	if err != nil {
		return Recovered{}, err
	}
	recovered := Recovered{LastIndex: survivor.index, LastTerm: survivor.term, Found: survivor.machine.Latest().Number}
	membership, err := r.membership(survivor.membership)
	if err != nil {
		return Recovered{}, err
	}
	if err := r.repeatLatest(survivor.machine, now); err != nil {
		return Recovered{}, err
	}
	recovered.First = survivor.machine.Latest().Number
	data, err := survivor.machine.Snapshot()
	if err != nil {
		return Recovered{}, err
	}
	term := max(restored.HardState.Term, survivor.term) + recoveryTerms
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

// membership returns that of the new group. The old ids are never used again, so
// that messages of old voters that come back are for nobody.
func (r Recovery) membership(old consensus.Membership) (consensus.Membership, error) {
	founded := consensus.NewMembership([]consensus.Member{{ID: r.ID, Address: r.Address}})
	founded.Removed = append(founded.Removed, old.Removed...)
	for _, member := range old.Members {
		founded.Removed = append(founded.Removed, member.ID)
	}
	for _, used := range founded.Removed {
		if used == r.ID {
			return founded, exitcode.With(exitcode.Usage, errors.Newf("voter id %d was used before; choose a new one", r.ID))
		}
	}
	return founded, nil
}

// repeatLatest accepts the latest text again under higher numbers.
func (r Recovery) repeatLatest(machine *state.Machine, now time.Time) error {
	if machine.Latest().Number == 0 {
		return nil
	}
	again, err := newRepetition(machine)
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
		if err := again.encode(command, machine); err != nil {
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

// repetition is the latest text and plan, to be submitted again: whole, and the
// text as its difference from itself.
type repetition struct {
	text, plan []byte
	unchanged  []byte
}

func newRepetition(machine *state.Machine) (again repetition, err error) {
	if again.text, again.plan, err = wholeLatest(machine); err != nil {
		return again, err
	}
	unpacked, err := decompress(again.text)
	if err != nil {
		return again, err
	}
	again.unchanged, err = textdelta.Make(string(unpacked), string(unpacked))
	return again, err
}

// encode puts text and plan into a change, as differences where these fit, so
// that the history keeps its older texts.
func (r repetition) encode(command *v1.ChangeCommand, machine *state.Machine) error {
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
	read := survivor{machine: state.New(state.DefaultLimits())}
	if snapshot := restored.Snapshot; snapshot != nil {
		if err := read.machine.Restore(snapshot.Data); err != nil {
			return read, err
		}
		read.membership, read.index, read.term = snapshot.Membership, snapshot.Index, snapshot.Term
	}
	for _, entry := range restored.Entries {
		if entry.Index <= read.index {
			continue
		}
		read.index, read.term = entry.Index, entry.Term
		if err := read.apply(entry); err != nil {
			return read, errors.Wrapf(err, "log entry %d", entry.Index)
		}
	}
	return read, nil
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
