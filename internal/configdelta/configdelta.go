// Package configdelta computes and applies the deltas in which configuration changes
// are logged. Texts use package textdelta, plans use plan.Delta.
//
// The package has no I/O and no state. The leader computes deltas; every voter
// applies those of plans, and those of texts only when a text is read.
package configdelta

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/textdelta"
)

// Configuration is a configuration text and its compiled plan.
type Configuration struct {
	Text string
	Plan *plan.Plan
}

// Delta holds the encoded deltas between two configurations.
type Delta struct {
	Text []byte
	Plan []byte
}

// Size returns the sizes of both deltas in bytes.
func (d Delta) Size() (text, plan int) { return len(d.Text), len(d.Plan) }

// Make returns the delta from base, which has the given revision, to next. It
// returns false if applying the plan delta does not yield next's plan, so that a
// fault in computing one costs only the bytes of a full revision and cannot stop a
// voter from applying the log. The source lines of statements, which are used only
// in messages, stay those of base where nothing else of a route changed.
func Make(revision uint64, base, next Configuration) (Delta, bool, error) {
	delta := plan.Delta(base.Plan, next.Plan)
	delta.BaseRevision = revision
	result, err := plan.ApplyDelta(base.Plan, delta)
	if err != nil || !plan.Equal(result, next.Plan) {
		return Delta{}, false, nil
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(delta)
	if err != nil {
		return Delta{}, false, errors.Wrap(err, "encode a plan delta")
	}
	text, err := textdelta.Make(base.Text, next.Text)
	return Delta{Text: text, Plan: encoded}, err == nil, err
}

// ApplyPlan applies an encoded plan delta to base, the plan of the given revision.
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

// ApplyPlans applies consecutive plan deltas, one per revision, that lead from base
// to the plan of the given revision.
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
