package query

import (
	"time"

	"github.com/martenstage/martenstage/internal/plan"
)

// decide evaluates the policy and ends the request if a statement holds. It
// reports whether the request has ended.
func (e *Engine) decide(r *request) bool {
	elapsed := e.now.Sub(r.arrived)
	final := !e.now.Before(r.decideBy)
	if final {
		// A caller's deadline may be shorter than the policy's. The operator's
		// word for the last moment then counts at this one.
		elapsed = max(elapsed, r.route.Policy.Deadline)
	}
	for r.moment < len(r.route.moments) && r.route.moments[r.moment] <= elapsed {
		r.moment++
	}
	action := e.actionOf(r, elapsed, final)
	switch action {
	case plan.ActionAnswer:
		e.answer(r)
	case plan.ActionFail:
		e.giveUp(r)
	default:
		return false
	}
	return true
}

// actionOf returns what is to be done now, or 0 for nothing yet.
func (e *Engine) actionOf(r *request, elapsed time.Duration, final bool) plan.Action {
	if e.config.Tuning.waitsForAll() {
		if r.open == 0 || final {
			return plan.ActionAnswer
		}
		return 0
	}
	action := r.firstAction(elapsed)
	if action == 0 && final {
		return plan.ActionAnswer
	}
	if action == 0 && r.open == 0 {
		return r.foregoneAction()
	}
	return action
}

// foregoneAction is what a request without open shards will come to. Only the
// time can still change a condition, so the policy's later moments are looked
// at now: waiting for them would make the same answer later.
func (r *request) foregoneAction() plan.Action {
	for _, moment := range r.route.moments[r.moment:] {
		if action := r.firstAction(moment); action != 0 {
			return action
		}
	}
	return plan.ActionAnswer
}

// firstAction is the action of the first statement that holds, or 0.
func (r *request) firstAction(elapsed time.Duration) plan.Action {
	for index := range r.route.Policy.Statements {
		statement := &r.route.Policy.Statements[index]
		if r.holds(&statement.Condition, elapsed) {
			return statement.Action
		}
	}
	return 0
}

func (r *request) holds(condition *plan.Condition, elapsed time.Duration) bool {
	switch condition.Kind {
	case plan.ConditionAlways:
		return true
	case plan.ConditionAll:
		return r.countHolding(condition.Operands, elapsed) == len(condition.Operands)
	case plan.ConditionAny:
		return r.countHolding(condition.Operands, elapsed) > 0
	case plan.ConditionNot:
		return r.countHolding(condition.Operands, elapsed) == 0
	case plan.ConditionElapsed:
		return elapsed >= condition.Duration
	case plan.ConditionCoverage:
		return float64(r.covered) >= condition.Ratio*float64(len(r.shards))
	case plan.ConditionCovered:
		return r.coversAll(condition.Shards)
	case plan.ConditionSettled:
		return r.open == 0
	default:
		return false
	}
}

func (r *request) countHolding(operands []plan.Condition, elapsed time.Duration) int {
	count := 0
	for index := range operands {
		if r.holds(&operands[index], elapsed) {
			count++
		}
	}
	return count
}

// coversAll reports whether all named shards are covered. A request by key
// targets one shard alone, so that no other can be covered.
func (r *request) coversAll(names []string) bool {
	for _, name := range names {
		index, known := r.partition.names[name]
		if !known {
			return false
		}
		if r.route.Target == plan.TargetKey {
			if r.shards[0].group.Index() != index || r.shards[0].phase != shardCovered {
				return false
			}
		} else if r.shards[index].phase != shardCovered {
			return false
		}
	}
	return true
}
