package follower

import (
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/plan"
)

// keptPlans is how many revisions back a follower is sent a delta. At 37,000
// changes a day they cover more than half a minute; whoever is further behind
// is sent the whole plan.
const keptPlans = 16

// planHistory encodes the latest plan for followers at any revision, once for
// each revision and not once for each follower.
type planHistory struct {
	revisions []uint64
	plans     map[uint64]*plan.Plan
	latest    uint64
	// packed is the latest plan, packed when the first follower needs it whole.
	packed []byte
	deltas map[uint64]*v1.PlanDelta
}

func newPlanHistory() *planHistory {
	return &planHistory{plans: make(map[uint64]*plan.Plan), deltas: make(map[uint64]*v1.PlanDelta)}
}

// install makes a revision the latest. Lower ones are ignored.
func (h *planHistory) install(revision uint64, latest *plan.Plan) {
	if revision <= h.latest {
		return
	}
	h.latest = revision
	h.revisions = append(h.revisions, revision)
	h.plans[revision] = latest
	if len(h.revisions) > keptPlans {
		delete(h.plans, h.revisions[0])
		h.revisions = h.revisions[1:]
	}
	h.packed = nil
	clear(h.deltas)
}

// encode sets the plan or the delta of a response to a follower that has a
// revision installed; neither when it has the latest.
func (h *planHistory) encode(installed uint64, response *v1.SyncResponse) {
	if installed >= h.latest {
		return
	}
	if base, kept := h.plans[installed]; kept {
		response.Delta = h.delta(installed, base)
		return
	}
	if h.packed == nil {
		packed, err := plan.Pack(h.plans[h.latest])
		if err != nil {
			response.Plan = plan.ToProto(h.plans[h.latest])
			return
		}
		h.packed = packed
	}
	response.PackedPlan = h.packed
}

func (h *planHistory) delta(installed uint64, base *plan.Plan) *v1.PlanDelta {
	known, cached := h.deltas[installed]
	if !cached {
		known = plan.Delta(base, h.plans[h.latest])
		known.BaseRevision = installed
		h.deltas[installed] = known
	}
	return known
}
