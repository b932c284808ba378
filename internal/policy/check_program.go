package policy

import (
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/martenstage/martenstage/internal/plan"
)

// anyNumberOfShards analyzes a policy apart from the routes that use it.
const anyNumberOfShards = 0

// actions are the words for the actions of a statement.
var actions = map[string]plan.Action{"answer": plan.ActionAnswer, "fail": plan.ActionFail}

// statement compiles one statement of the policy program.
func (c *policyCheck) statement(node *statementNode, place lexer.Position) {
	if len(c.compiled.Statements) == maxStatements {
		c.report.add(place, "policy %s has more than %d statements", c.compiled.Name, maxStatements)
		return
	}
	statement := plan.Statement{Line: place.Line}
	if present(node.At) {
		duration, ok := c.report.duration(node.At, durationBounds{"at", shortestDuration, longestDeadline})
		if !ok {
			return
		}
		statement.Action = actions[node.AtAction.Value]
		statement.Condition = plan.Condition{Kind: plan.ConditionElapsed, Duration: duration}
		c.elapsed = append(c.elapsed, timeToken{token: node.At, duration: duration})
	} else {
		statement.Action = actions[node.Action.Value]
		statement.Condition = c.any(node.Condition)
	}
	c.compiled.Statements = append(c.compiled.Statements, statement)
	c.statements = append(c.statements, place)
}

func (c *policyCheck) any(node *anyNode) plan.Condition {
	operands := make([]plan.Condition, 0, len(node.Operands))
	for _, operand := range node.Operands {
		operands = append(operands, c.all(operand))
	}
	return combined(plan.ConditionAny, operands)
}

func (c *policyCheck) all(node *allNode) plan.Condition {
	operands := make([]plan.Condition, 0, len(node.Operands))
	for _, operand := range node.Operands {
		operands = append(operands, c.term(operand))
	}
	return combined(plan.ConditionAll, operands)
}

// combined returns a lone operand as it is.
func combined(kind plan.ConditionKind, operands []plan.Condition) plan.Condition {
	if len(operands) == 1 {
		return operands[0]
	}
	return plan.Condition{Kind: kind, Operands: operands}
}

func negated(operand plan.Condition) plan.Condition {
	return plan.Condition{Kind: plan.ConditionNot, Operands: []plan.Condition{operand}}
}

func (c *policyCheck) term(node *termNode) plan.Condition {
	c.terms++
	switch {
	case node.Not != nil:
		return negated(c.term(node.Not))
	case node.Nested != nil:
		return c.any(node.Nested)
	case node.Coverage != nil:
		const allowZero = false // it would hold always
		ratio, _ := c.report.percent(node.Coverage.Value, "coverage", allowZero)
		return compared(node.Coverage, plan.Condition{Kind: plan.ConditionCoverage, Ratio: ratio})
	case node.Elapsed != nil:
		token := node.Elapsed.Value
		duration, ok := c.report.duration(token, durationBounds{"elapsed", shortestDuration, longestDeadline})
		if ok {
			c.elapsed = append(c.elapsed, timeToken{token: token, duration: duration})
		}
		return compared(node.Elapsed, plan.Condition{Kind: plan.ConditionElapsed, Duration: duration})
	case node.Covered != nil:
		return c.coveredTerm(node.Covered)
	default:
		return plan.Condition{Kind: plan.ConditionSettled}
	}
}

// compared turns "x < value" into "not x >= value".
func compared(node *comparisonNode, atLeast plan.Condition) plan.Condition {
	if node.Operator.Value == "<" {
		return negated(atLeast)
	}
	return atLeast
}

func (c *policyCheck) coveredTerm(node *coveredNode) plan.Condition {
	condition := plan.Condition{Kind: plan.ConditionCovered}
	seen := map[string]bool{}
	for _, group := range node.Groups {
		if seen[group.Name.Value] {
			c.report.add(group.Name.Pos, "group %s is named twice", group.Name.Value)
			continue
		}
		seen[group.Name.Value] = true
		c.terms++
		condition.Shards = append(condition.Shards, group.Name.Value)
		c.covered = append(c.covered, group.Name)
	}
	return condition
}

// size bounds the conditions. Those of a policy beyond it are dropped, so that
// no route goes through them again.
func (c *policyCheck) size() {
	if c.terms <= maxTerms {
		return
	}
	c.report.add(c.node.Name.Pos, "the conditions of policy %s have %d terms; the limit is %d", c.compiled.Name, c.terms, maxTerms)
	c.covered, c.compiled.Statements = nil, nil
}

// program checks that the statements surely decide before the deadline, and
// that each of them can decide.
func (c *policyCheck) program() {
	if c.compiled.Deadline == 0 || !c.timesBeforeDeadline() || c.source.wasDamaged(c.node.Pos, c.node.Close.Pos) {
		return
	}
	count := len(c.compiled.Statements)
	if c.terms > maxTerms {
		return
	}
	if count == 0 {
		c.report.add(c.node.Name.Pos, "policy %s never answers; end it with a statement such as: at %s answer",
			c.compiled.Name, plan.DurationText(c.compiled.Deadline*9/10))
		return
	}
	last := c.compiled.Statements[count-1]
	if last.Condition.Kind != plan.ConditionElapsed {
		c.report.add(c.statements[count-1], "policy %s might not answer before its deadline; end it with a statement such as: at %s answer",
			c.compiled.Name, plan.DurationText(c.compiled.Deadline*9/10))
		return
	}
	if c.timesBeforeLast(last.Condition.Duration) {
		c.reachability()
	}
}

// timesBeforeDeadline reports every time that no request lives to see because
// of the deadline.
func (c *policyCheck) timesBeforeDeadline() bool {
	ok := true
	for _, elapsed := range c.elapsed {
		if elapsed.duration >= c.compiled.Deadline {
			c.report.add(elapsed.token.Pos, "%s is never reached: the deadline is %s",
				elapsed.token.Value, plan.DurationText(c.compiled.Deadline))
			ok = false
		}
	}
	return ok
}

// timesBeforeLast reports every time past the last statement.
func (c *policyCheck) timesBeforeLast(last time.Duration) bool {
	ok := true
	for _, elapsed := range c.elapsed {
		if elapsed.duration > last {
			c.report.add(elapsed.token.Pos, "%s is never reached: the last statement decides at %s",
				elapsed.token.Value, plan.DurationText(last))
			ok = false
		}
	}
	return ok
}

// reachability reports statements that never decide.
func (c *policyCheck) reachability() {
	analysis, ok := analyze(c.compiled.Statements, anyNumberOfShards)
	if !ok {
		return
	}
	for index, place := range c.statements {
		switch {
		case !analysis.holds[index]:
			c.report.add(place, "the condition can never hold")
		case !analysis.decides[index]:
			c.report.add(place, "the statement is unreachable: line %d decides first whenever it holds",
				c.compiled.Statements[analysis.decidedBy[index]].Line)
		}
	}
}
