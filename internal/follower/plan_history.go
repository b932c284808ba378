package follower

import (
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/plan"
)

// maxPlanHistory is how many revisions are kept as bases of deltas. At 37,000
// changes a day they cover more than half a minute; a follower that lags
// further behind is sent the full plan.
const maxPlanHistory = 16

// planHistory encodes the latest plan for followers at any revision. It encodes
// once per revision instead of once per follower.
type planHistory struct {
	revisions []uint64
	plans     map[uint64]*plan.Plan
	latest    uint64
	// packed is the packed form of the latest plan, created when a follower
	// first needs the full plan.
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
	if len(h.revisions) > maxPlanHistory {
		delete(h.plans, h.revisions[0])
		h.revisions = h.revisions[1:]
	}
	h.packed = nil
	clear(h.deltas)
}

// encode sets the plan or the delta in the response to a follower with the
// given installed revision; neither if that is the latest.
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
	delta, cached := h.deltas[installed]
	if !cached {
		delta = plan.Delta(base, h.plans[h.latest])
		delta.BaseRevision = installed
		h.deltas[installed] = delta
	}
	return delta
}
