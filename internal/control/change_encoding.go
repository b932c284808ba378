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
// the next change need not rebuild its text. It keeps the compiler's own plan: the
// next plan shares parts with it, which makes comparing the two cheap.
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

// revisionText returns the text of a revision and whether it is retained. A text
// that can't be rebuilt gives an error with code DataLoss, since a retry can't
// succeed.
func (s *Server) revisionText(number uint64) (text string, kept bool, err error) {
	if latest, cached := s.compiled.get(number); cached {
		return latest.Text, true, nil
	}
	var full []byte
	var deltas [][]byte
	s.store.read(func(machine *state.Machine) { full, deltas, kept = machine.TextChain(number) })
	if !kept {
		return "", false, nil
	}
	rebuilt, err := rebuildText(full, deltas)
	if err != nil {
		return "", true, refuse(connect.CodeDataLoss, "the text of revision %d can't be read on this voter: %v", number, err)
	}
	return string(rebuilt), true, nil
}

func rebuildText(full []byte, deltas [][]byte) ([]byte, error) {
	text, err := decompress(full)
	if err != nil || len(deltas) == 0 {
		return text, err
	}
	return textdelta.Rebuild(text, deltas)
}

// encodeChange stores text and plan in a change, either as deltas against the
// revision that the change expects or in full. A delta needs only that base
// revision on the voter that applies it. The change is compared with the latest
// revision when it is applied, and a revision number denotes the same revision on
// every voter: commands are applied in log order, a leader reads only committed
// state, and a snapshot holds the complete chain from which the latest revision is
// rebuilt. A new leader, a truncated log or an entry committed long after it was
// proposed therefore can't see a different base.
func (s *Server) encodeChange(command *v1.ChangeCommand, next configdelta.Configuration) error {
	revision, latest, _ := s.store.Latest()
	expected := command.GetExpectedRevision()
	if expected < revision {
		// The latest revision never decreases, so the change is rejected when it
		// is applied, before its text or plan is read.
		return nil
	}
	if expected == revision && revision != 0 {
		encoded, err := s.encodeDeltas(command, latest, next)
		if err != nil || encoded {
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

// encodeDeltas stores text and plan in a change as deltas against the expected
// revision. It returns false if the history has no capacity for more deltas or the
// deltas don't reproduce the text and the plan.
func (s *Server) encodeDeltas(command *v1.ChangeCommand, basePlan *plan.Plan, next configdelta.Configuration) (bool, error) {
	expected := command.GetExpectedRevision()
	if !s.deltaFits(0, 0) {
		return false, nil
	}
	base, kept := s.compiled.get(expected)
	if !kept {
		var err error
		if base.Text, kept, err = s.revisionText(expected); err != nil {
			// The change is sent in full, so later deltas build on an undamaged text.
			s.logger.WithError(err).Error("text_damaged")
			return false, nil
		}
		base.Plan = basePlan
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

// deltaFits reports whether the applied state can take a delta of this size. If
// another revision is accepted in the meantime, the result no longer matters,
// since the change is then rejected.
func (s *Server) deltaFits(textBytes, planBytes int) (fits bool) {
	s.store.read(func(machine *state.Machine) { fits = machine.DeltaFits(textBytes, planBytes) })
	return fits
}

// latestFull returns text and plan of the latest revision, compressed and in full,
// as a change stores them.
func latestFull(machine *state.Machine) (text, packed []byte, err error) {
	full, deltas, _ := machine.TextChain(machine.Latest().Number)
	if len(deltas) == 0 && len(machine.PlanDeltas()) == 0 {
		return full, machine.CompressedPlan(), nil
	}
	rebuilt, err := rebuildText(full, deltas)
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
