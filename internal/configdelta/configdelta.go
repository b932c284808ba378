// Package configdelta makes the differences by which a configuration change is
// logged, and turns them back into texts and plans: a text by textdelta, a plan
// by plan.Delta.
//
// The package has no I/O and no state. The leader makes differences; every
// voter applies those of plans, and those of texts when somebody reads one.
package configdelta

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/textdelta"
)

// Configuration is a text with the plan that it compiles to.
type Configuration struct {
	Text string
	Plan *plan.Plan
}

// Delta is the difference between two configurations, encoded.
type Delta struct {
	Text []byte
	Plan []byte
}

// Size returns the bytes of both differences.
func (d Delta) Size() (text, plan int) { return len(d.Text), len(d.Plan) }

// Make returns the difference of next from base, which has a revision. It
// returns false when the plan's difference does not lead to the plan, so that a
// fault in making one costs bytes, and no voter its way along the log. Source
// lines of statements, which serve messages only, stay those of base where
// nothing else of a route changed.
func Make(revision uint64, base, next Configuration) (Delta, bool, error) {
	delta := plan.Delta(base.Plan, next.Plan)
	delta.BaseRevision = revision
	reached, err := plan.ApplyDelta(base.Plan, delta)
	if err != nil || !plan.Equal(reached, next.Plan) {
		return Delta{}, false, nil
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(delta)
	if err != nil {
		return Delta{}, false, errors.Wrap(err, "encode a plan delta")
	}
	text, err := textdelta.Make(base.Text, next.Text)
	return Delta{Text: text, Plan: encoded}, err == nil, err
}

// ApplyPlan returns the plan that a difference leads to from the plan of a
// revision.
func ApplyPlan(base *plan.Plan, revision uint64, encoded []byte) (*plan.Plan, error) {
	delta := &v1.PlanDelta{}
	if err := proto.Unmarshal(encoded, delta); err != nil {
		return nil, errors.Wrap(err, "decode a plan delta")
	}
	if delta.GetBaseRevision() != revision {
		return nil, errors.Newf("a plan delta is of revision %d, not %d", delta.GetBaseRevision(), revision)
	}
	return plan.ApplyDelta(base, delta)
}

// ApplyPlans applies the differences that lead from base to the plan of a
// revision, one for each revision.
func ApplyPlans(base *plan.Plan, revision uint64, deltas [][]byte) (*plan.Plan, error) {
	first := revision - uint64(len(deltas))
	for index, delta := range deltas {
		next, err := ApplyPlan(base, first+uint64(index), delta)
		if err != nil {
			return nil, err
		}
		base = next
	}
	return base, nil
}
