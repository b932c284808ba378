package simulation

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/martenstage/martenstage/internal/configdelta"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/state"
	"github.com/martenstage/martenstage/internal/textdelta"
)

// newMachine returns the empty state of a group whose programs all know the
// newest format, as it is from the beginning of a simulated group.
func newMachine() *state.Machine {
	machine := state.New(state.DefaultLimits())
	raise := &v1.StateCommand{Body: &v1.StateCommand_Format{Format: &v1.FormatCommand{Format: state.LatestFormat}}}
	data, err := proto.Marshal(raise)
	if err == nil {
		_, err = machine.Apply(data)
	}
	if err != nil {
		panic(errors.Wrap(err, "raise the format of an empty state"))
	}
	return machine
}

// latestPlan returns the plan of the latest revision, read whole each time, so
// that it does not depend on what this voter saw before.
func latestPlan(machine *state.Machine) *plan.Plan {
	wire := &v1.Plan{}
	if err := proto.Unmarshal(machine.CompressedPlan(), wire); err != nil {
		panic(errors.Wrap(err, "a plan that was accepted can't be read"))
	}
	decoded, err := plan.FromProto(wire)
	if err == nil {
		decoded, err = configdelta.ApplyPlans(decoded, machine.Latest().Number, machine.PlanDeltas())
	}
	if err != nil {
		panic(errors.Wrap(err, "a plan that was accepted can't be read"))
	}
	return decoded
}

// latestText returns the text of the latest revision.
func latestText(machine *state.Machine) string {
	whole, deltas, _ := machine.TextChain(machine.Latest().Number)
	text, err := textdelta.Rebuild(whole, deltas)
	if err != nil {
		panic(errors.Wrap(err, "a text that was accepted can't be read"))
	}
	return string(text)
}

// encodeChange puts text and plan into a change: as differences from the latest
// revision when it is written against that one, whole otherwise.
func (c *control) encodeChange(command *v1.ChangeCommand, text string) error {
	compiled := c.voter.world.layout.compiled()[text]
	if machine := c.voter.machine; machine.Latest().Number == command.GetExpectedRevision() && machine.DeltaFits(0, 0) {
		base := configdelta.Configuration{Text: latestText(machine), Plan: c.plan}
		delta, made, err := configdelta.Make(command.GetExpectedRevision(), base, configdelta.Configuration{Text: text, Plan: compiled})
		if err != nil || made && machine.DeltaFits(delta.Size()) {
			command.TextDelta, command.PlanDelta = delta.Text, delta.Plan
			return err
		}
	}
	// The machine does not look into them, so that they need not be compressed here.
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(plan.ToProto(compiled))
	command.CompressedText, command.CompressedPlan = []byte(text), encoded
	return err
}

// revised checks a voter's state after the entry that made a revision: equal to
// that of the other voters, whatever each of them restored it from, and text and
// plan belong together, however many differences they are rebuilt from.
func (c *raftChecks) revised(v *voter, index uint64) {
	data, err := v.machine.Snapshot()
	if err != nil {
		c.world.fail("snapshot", "%s can't take a snapshot: %v", v.name(), err)
		return
	}
	digest := xxhash.Sum64(data)
	if known, seen := c.states[index]; seen && known != digest {
		c.world.fail("state_equal", "%s has another state than others after entry %d", v.name(), index)
	}
	c.states[index] = digest
	compiled := c.world.layout.compiled()[latestText(v.machine)]
	v.control.takePlan()
	if compiled == nil || !plan.Equal(compiled, v.control.plan) {
		c.world.fail("plan_of_text", "%s has a plan of another text for revision %d", v.name(), v.machine.Latest().Number)
	}
}
