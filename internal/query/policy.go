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
		// A caller's deadline may be shorter than the policy's. The policy's statements
		// for its own deadline then apply at the caller's.
		elapsed = max(elapsed, r.route.Policy.Deadline)
	}
	for r.nextThreshold < len(r.route.elapsedThresholds) && r.route.elapsedThresholds[r.nextThreshold] <= elapsed {
		r.nextThreshold++
	}
	action := e.chooseAction(r, elapsed, final)
	switch action {
	case plan.ActionAnswer:
		e.respondWithParts(r)
	case plan.ActionFail:
		e.failByPolicy(r)
	default:
		return false
	}
	return true
}

// chooseAction returns the action to take now, or 0 for none yet.
func (e *Engine) chooseAction(r *request, elapsed time.Duration, final bool) plan.Action {
	if e.config.Tuning.waitsForAll() {
		if r.open == 0 || final {
			return plan.ActionAnswer
		}
		return 0
	}
	action := r.matchingAction(elapsed)
	if action == 0 && final {
		return plan.ActionAnswer
	}
	if action == 0 && r.open == 0 {
		return r.eventualAction()
	}
	return action
}

// eventualAction returns the action that a request without open shards will reach.
// Only elapsed time can still change a condition, so the policy's later thresholds
// are evaluated now: waiting for them would only delay the same answer.
func (r *request) eventualAction() plan.Action {
	for _, threshold := range r.route.elapsedThresholds[r.nextThreshold:] {
		if action := r.matchingAction(threshold); action != 0 {
			return action
		}
	}
	return plan.ActionAnswer
}

// matchingAction is the action of the first statement that holds, or 0.
func (r *request) matchingAction(elapsed time.Duration) plan.Action {
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
		return r.countTrue(condition.Operands, elapsed) == len(condition.Operands)
	case plan.ConditionAny:
		return r.countTrue(condition.Operands, elapsed) > 0
	case plan.ConditionNot:
		return r.countTrue(condition.Operands, elapsed) == 0
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

func (r *request) countTrue(operands []plan.Condition, elapsed time.Duration) int {
	count := 0
	for index := range operands {
		if r.holds(&operands[index], elapsed) {
			count++
		}
	}
	return count
}

// coversAll reports whether all named shards are covered. A request by key targets
// only one shard, so no other can be covered.
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
