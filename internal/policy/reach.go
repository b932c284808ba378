package policy

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/plan"
)

// The analysis below evaluates a policy program at every moment that its
// conditions can tell apart: one representative for each interval between two
// thresholds of time and of coverage, times each combination of the covered
// groups and of "settled". That is exact, and small for programs that people
// write.

// maxAnalysisSteps bounds the evaluations of conditions. A program beyond it
// is not analyzed; it still ends with an unconditional statement.
const maxAnalysisSteps = 1 << 20

// maxAnalyzedGroups bounds the named groups, whose combinations are 2^n.
const maxAnalyzedGroups = 10

// reachAnalysis says for each statement whether its condition can hold, and
// whether it can be the one that decides. decidedBy is a statement that
// decides in its place.
type reachAnalysis struct {
	holds     []bool
	decides   []bool
	decidedBy []int
	// last is the statement that decided last while requests live.
	last int
	// leastAnswered is the least coverage with which a request is answered.
	leastAnswered float64
}

// moment is one state of a request, as far as conditions see it.
type moment struct {
	elapsed  time.Duration
	coverage float64
	covered  map[string]bool
	settled  bool
}

// thresholds are the values that the conditions of a program compare with.
type thresholds struct {
	times     []time.Duration
	coverages []float64
	groups    []string
	size      int
	// shards is how many target shards a request has; 0 means any number.
	shards int
}

// analyze examines a program for a number of target shards; 0 stands for any
// number. It returns false when the program is too large.
func analyze(statements []plan.Statement, shards int) (reachAnalysis, bool) {
	found := thresholds{times: []time.Duration{0}, coverages: []float64{0, 1}, shards: shards}
	for _, statement := range statements {
		found.collect(statement.Condition)
	}
	found.coverages = lo.Map(found.coverages, func(ratio float64, _ int) float64 { return found.reachable(ratio) })
	found.times = sortedUnique(found.times)
	found.coverages = sortedUnique(found.coverages)
	found.groups = sortedUnique(found.groups)
	if len(found.groups) > maxAnalyzedGroups {
		return reachAnalysis{}, false
	}
	flags := 1 << (len(found.groups) + 1)
	if len(found.times)*len(found.coverages)*flags*found.size > maxAnalysisSteps {
		return reachAnalysis{}, false
	}
	return found.evaluate(statements), true
}

// reachable returns the least coverage that satisfies a ratio with the number
// of shards: with 8 shards, 90% is satisfied by 8 of 8 only.
func (t *thresholds) reachable(ratio float64) float64 {
	if t.shards == 0 {
		return ratio
	}
	return float64(shardsNeeded(ratio, t.shards)) / float64(t.shards)
}

// shardsNeeded is the least number of covered shards that satisfies a ratio.
func shardsNeeded(ratio float64, shards int) int {
	needed := 0
	for needed < shards && float64(needed)/float64(shards) < ratio {
		needed++
	}
	return needed
}

func sortedUnique[T time.Duration | float64 | string](values []T) []T {
	slices.Sort(values)
	return slices.Compact(values)
}

func (t *thresholds) collect(condition plan.Condition) {
	t.size++
	switch condition.Kind {
	case plan.ConditionElapsed:
		t.times = append(t.times, condition.Duration)
	case plan.ConditionCoverage:
		t.coverages = append(t.coverages, condition.Ratio)
	case plan.ConditionCovered:
		t.groups = append(t.groups, condition.Shards...)
	}
	for _, operand := range condition.Operands {
		t.collect(operand)
	}
}

// evaluate goes through the moments in order of time. No request lives beyond
// the first time at which every state is decided.
func (t *thresholds) evaluate(statements []plan.Statement) reachAnalysis {
	analysis := reachAnalysis{
		holds:     make([]bool, len(statements)),
		decides:   make([]bool, len(statements)),
		decidedBy: make([]int, len(statements)),

		leastAnswered: 1,
	}
	over := false
	for _, elapsed := range t.times {
		allDecided := true
		for _, state := range t.statesAt(elapsed) {
			allDecided = analysis.visit(statements, state, over) && allDecided
		}
		over = over || allDecided
	}
	return analysis
}

// statesAt returns the states that can be told apart at one time.
func (t *thresholds) statesAt(elapsed time.Duration) []moment {
	var states []moment
	for _, coverage := range t.coverages {
		for flags := range 1 << (len(t.groups) + 1) {
			state := moment{elapsed: elapsed, coverage: coverage, covered: map[string]bool{}, settled: flags&1 == 1}
			for index, group := range t.groups {
				state.covered[group] = flags>>(index+1)&1 == 1
			}
			if t.possible(state) {
				states = append(states, state)
			}
		}
	}
	return states
}

// possible reports whether the covered groups fit the coverage: whole coverage
// covers every group.
func (t *thresholds) possible(state moment) bool {
	return state.coverage < 1 || lo.EveryBy(t.groups, func(group string) bool { return state.covered[group] })
}

// visit notes which statements hold in a state and which one decides; it
// returns false when none does. When requests are over before the state, none
// of them decides.
func (a *reachAnalysis) visit(statements []plan.Statement, state moment, over bool) bool {
	decider := -1
	if over {
		decider = a.last
	}
	for index, statement := range statements {
		if !holds(statement.Condition, state) {
			continue
		}
		a.holds[index] = true
		if decider < 0 {
			decider = index
			a.decides[index] = true
			a.last = index
			if statement.Action == plan.ActionAnswer {
				a.leastAnswered = min(a.leastAnswered, state.coverage)
			}
			continue
		}
		a.decidedBy[index] = decider
	}
	return decider >= 0
}

// holds evaluates a condition.
func holds(condition plan.Condition, state moment) bool {
	operandHolds := func(operand plan.Condition) bool { return holds(operand, state) }
	operandFails := func(operand plan.Condition) bool { return !holds(operand, state) }
	switch condition.Kind {
	case plan.ConditionAll:
		return !slices.ContainsFunc(condition.Operands, operandFails)
	case plan.ConditionAny:
		return slices.ContainsFunc(condition.Operands, operandHolds)
	case plan.ConditionNot:
		return !slices.ContainsFunc(condition.Operands, operandHolds)
	case plan.ConditionElapsed:
		return state.elapsed >= condition.Duration
	case plan.ConditionCoverage:
		return state.coverage >= condition.Ratio
	case plan.ConditionCovered:
		return !slices.ContainsFunc(condition.Shards, func(name string) bool { return !state.covered[name] })
	case plan.ConditionSettled:
		return state.settled
	default:
		return true
	}
}
