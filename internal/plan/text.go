package plan

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
)

// setting is a setting's name and its value in configuration syntax.
type setting struct {
	name  string
	value string
}

// changedSettings describes the settings whose values differ. Both lists must
// hold the same names in the same order.
func changedSettings(before, after []setting) []string {
	var changed []string
	for index, earlier := range before {
		if later := after[index]; earlier.value != later.value {
			changed = append(changed, fmt.Sprintf("%s: %s -> %s", earlier.name, earlier.value, later.value))
		}
	}
	return changed
}

func serviceSettings(service Service) []setting {
	cell := "all routers"
	if service.CellRouters > 0 {
		cell = strconv.Itoa(service.CellRouters)
	}
	return []setting{
		{"hedge budget", service.HedgeBudget.String()},
		{"retry budget", service.RetryBudget.String()},
		{"cell routers", cell},
		{"cold start", DurationText(service.ColdStart)},
	}
}

func routeSettings(route Route) []setting {
	policy := route.Policy
	return []setting{
		{"service", route.Service},
		{"target", route.Target.String()},
		{"policy", policy.Name},
		{"deadline", DurationText(policy.Deadline)},
		{"priority", policy.Priority.String()},
		{"repetition", RepetitionText(policy)},
		{"snapshot coverage", PercentText(policy.SnapshotCoverage)},
		{"hedge", policy.Hedge.String()},
		{"retry", policy.Retry.String()},
		{"merge", policy.Merge.String()},
		{"statements", strings.Join(lo.Map(policy.Statements, func(statement Statement, _ int) string {
			return statement.String()
		}), "; ")},
	}
}

// RepetitionText returns in configuration syntax whether requests under the
// policy may run more than once.
func RepetitionText(policy Policy) string {
	if policy.Once {
		return "once for " + DurationText(policy.ClaimExpiry)
	}
	return "repeatable"
}

// DurationText formats a duration in the largest unit that needs no fraction.
// Durations that are not whole seconds are given in milliseconds.
func DurationText(duration time.Duration) string {
	units := []struct {
		size time.Duration
		name string
	}{{time.Hour, "h"}, {time.Minute, "m"}, {time.Second, "s"}}
	for _, unit := range units {
		if duration >= unit.size && duration%unit.size == 0 {
			return strconv.FormatInt(int64(duration/unit.size), 10) + unit.name
		}
	}
	return strconv.FormatFloat(float64(duration)/float64(time.Millisecond), 'f', -1, 64) + "ms"
}

// PercentText formats a ratio as a percentage.
func PercentText(ratio float64) string { return percentDigits(ratio) + "%" }

// percentDigits formats a ratio times 100. Rounding hides the floating-point error
// of the multiplication, such as 0.07*100 = 7.000000000000001.
func percentDigits(ratio float64) string {
	const digits = 10 // enough for every percentage in a configuration
	return strings.TrimSuffix(strings.TrimRight(strconv.FormatFloat(ratio*100, 'f', digits, 64), "0"), ".")
}

// String returns the budget in configuration syntax.
func (b Budget) String() string {
	return fmt.Sprintf("%s burst %s", PercentText(b.Ratio), strconv.FormatFloat(b.Burst, 'f', -1, 64))
}

// String returns the target in configuration syntax.
func (t Target) String() string {
	if t == TargetKey {
		return "key"
	}
	return "all"
}

// String returns the class in configuration syntax.
func (p Priority) String() string {
	switch p {
	case PriorityBatch:
		return "batch"
	case PriorityInteractive:
		return "interactive"
	default:
		return "normal"
	}
}

// String returns the hedge in configuration syntax.
func (h Hedge) String() string {
	if h.Quantile == 0 || h.MaxPerShard == 0 {
		return "off"
	}
	return fmt.Sprintf("at p%s between %s and %s at most %d",
		percentDigits(h.Quantile), DurationText(h.MinDelay), DurationText(h.MaxDelay), h.MaxPerShard)
}

// String returns the retry in configuration syntax.
func (r Retry) String() string {
	switch {
	case r.MaxPerShard == 0:
		return "off"
	case r.Backoff == 0:
		return fmt.Sprintf("at most %d", r.MaxPerShard)
	default:
		return fmt.Sprintf("at most %d backoff %s", r.MaxPerShard, DurationText(r.Backoff))
	}
}

// String returns the merge in configuration syntax.
func (m Merge) String() string {
	if m.Kind != MergeTop {
		return "concat"
	}
	order := "ascending"
	if m.Descending {
		order = "descending"
	}
	return fmt.Sprintf("top %d by %s %s", m.Limit, m.Field, order)
}

// String returns the action in configuration syntax.
func (a Action) String() string {
	if a == ActionFail {
		return "fail"
	}
	return "answer"
}

// String returns the statement in configuration syntax.
func (s Statement) String() string {
	switch s.Condition.Kind {
	case ConditionElapsed:
		return fmt.Sprintf("at %s %s", DurationText(s.Condition.Duration), s.Action)
	case ConditionAlways:
		return s.Action.String()
	default:
		return fmt.Sprintf("%s when %s", s.Action, s.Condition)
	}
}

// String returns the condition in configuration syntax.
func (c Condition) String() string {
	switch c.Kind {
	case ConditionAll:
		return c.joinOperands(" and ")
	case ConditionAny:
		return c.joinOperands(" or ")
	case ConditionNot:
		return c.negationText()
	case ConditionElapsed:
		return "elapsed >= " + DurationText(c.Duration)
	case ConditionCoverage:
		return "coverage >= " + PercentText(c.Ratio)
	case ConditionCovered:
		return "covered(" + strings.Join(c.Shards, ", ") + ")"
	case ConditionSettled:
		return "settled"
	default:
		return "always"
	}
}

func (c Condition) joinOperands(separator string) string {
	return strings.Join(lo.Map(c.Operands, func(operand Condition, _ int) string {
		if operand.Kind == ConditionAll || operand.Kind == ConditionAny {
			return "(" + operand.String() + ")"
		}
		return operand.String()
	}), separator)
}

func (c Condition) negationText() string {
	if len(c.Operands) != 1 {
		return "not ()"
	}
	operand := c.Operands[0]
	switch operand.Kind {
	case ConditionCoverage:
		return "coverage < " + PercentText(operand.Ratio)
	case ConditionElapsed:
		return "elapsed < " + DurationText(operand.Duration)
	case ConditionAll, ConditionAny:
		return "not (" + operand.String() + ")"
	default:
		return "not " + operand.String()
	}
}
