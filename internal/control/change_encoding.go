package control

import (
	"sync"

	"connectrpc.com/connect"

	"github.com/martenstage/martenstage/internal/configdelta"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/state"
	"github.com/martenstage/martenstage/internal/textdelta"
)

// configurationCache holds the newest revision that this voter compiled, so that
// the next change need not rebuild its text. The plan is the compiler's own, whose
// parts the next plan shares, which makes comparing them cheap.
type configurationCache struct {
	mutex    sync.Mutex
	revision uint64
	latest   configdelta.Configuration
}

func (c *configurationCache) put(revision uint64, latest configdelta.Configuration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if revision > c.revision {
		c.revision, c.latest = revision, latest
	}
}

func (c *configurationCache) get(revision uint64) (configdelta.Configuration, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.latest, c.revision == revision && revision != 0
}

// text returns the text of a revision, and whether it is kept. A text that can't
// be rebuilt is an error of code DataLoss, which no other attempt would mend.
func (s *Server) text(number uint64) (text string, kept bool, err error) {
	if latest, cached := s.compiled.get(number); cached {
		return latest.Text, true, nil
	}
	var whole []byte
	var deltas [][]byte
	s.store.read(func(machine *state.Machine) { whole, deltas, kept = machine.TextChain(number) })
	if !kept {
		return "", false, nil
	}
	rebuilt, err := rebuildText(whole, deltas)
	if err != nil {
		return "", true, refuse(connect.CodeDataLoss, "the text of revision %d can't be read on this voter: %v", number, err)
	}
	return string(rebuilt), true, nil
}

func rebuildText(whole []byte, deltas [][]byte) ([]byte, error) {
	text, err := decompress(whole)
	if err != nil || len(deltas) == 0 {
		return text, err
	}
	return textdelta.Rebuild(text, deltas)
}

// encodeChange puts text and plan into a change: as differences from the
// revision that it is written against, or whole.
//
// Differences need no more than that revision on the voter that applies them.
// The change is compared with the latest revision when it is applied, and a
// revision of a number is the same one on every voter for good: commands are
// applied in the order of the log, a leader reads only what is committed, and a
// snapshot holds the whole chain that the latest revision is rebuilt from. So
// neither a new leader, a log that was cut, nor an entry that is committed long
// after it was proposed can meet another base.
func (s *Server) encodeChange(command *v1.ChangeCommand, next configdelta.Configuration) error {
	revision, latest, _ := s.store.Latest()
	expected := command.GetExpectedRevision()
	if expected < revision {
		// The latest revision only goes up, so the comparison refuses the change
		// when it is applied, without a look at text or plan.
		return nil
	}
	if expected == revision && revision != 0 {
		fitting, err := s.encodeDeltas(command, latest, next)
		if err != nil || fitting {
			return err
		}
	}
	var err error
	if command.CompressedPlan, err = plan.Pack(next.Plan); err != nil {
		return err
	}
	command.CompressedText, err = compress([]byte(next.Text))
	return err
}

// encodeDeltas puts text and plan into a change as differences from the revision
// that it expects. It returns false when the history has no room for them or
// they would not lead to the text and the plan.
func (s *Server) encodeDeltas(command *v1.ChangeCommand, applied *plan.Plan, next configdelta.Configuration) (bool, error) {
	expected := command.GetExpectedRevision()
	if !s.deltaFits(0, 0) {
		return false, nil
	}
	base, kept := s.compiled.get(expected)
	if !kept {
		var err error
		if base.Text, kept, err = s.text(expected); err != nil {
			// The change goes whole, and the history has a sound text to build on.
			s.logger.WithError(err).Error("text_damaged")
			return false, nil
		}
		base.Plan = applied
	}
	if !kept {
		return false, nil
	}
	delta, made, err := configdelta.Make(expected, base, next)
	if err != nil || !made || !s.deltaFits(delta.Size()) {
		return false, err
	}
	command.TextDelta, command.PlanDelta = delta.Text, delta.Plan
	return true, nil
}

// deltaFits asks the applied state. If another revision came first meanwhile,
// the answer is about that one and does not matter: the change is refused.
func (s *Server) deltaFits(textBytes, planBytes int) (fits bool) {
	s.store.read(func(machine *state.Machine) { fits = machine.DeltaFits(textBytes, planBytes) })
	return fits
}

// wholeLatest returns text and plan of the latest revision as a change holds
// them whole.
func wholeLatest(machine *state.Machine) (text, packed []byte, err error) {
	whole, deltas, _ := machine.TextChain(machine.Latest().Number)
	if len(deltas) == 0 && len(machine.PlanDeltas()) == 0 {
		return whole, machine.CompressedPlan(), nil
	}
	rebuilt, err := rebuildText(whole, deltas)
	if err != nil {
		return nil, nil, err
	}
	store := &Store{machine: machine, decode: plan.FromProto}
	latest, err := store.latestPlan(machine.Latest().Number)
	if err != nil {
		return nil, nil, err
	}
	if text, err = compress(rebuilt); err != nil {
		return nil, nil, err
	}
	packed, err = plan.Pack(latest)
	return text, packed, err
}
