package policy

import (
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/martenstage/martenstage/internal/plan"
)

// Bounds of a policy and of the routes. A policy travels once for each route
// that uses it.
const (
	maxStatements = 64
	maxTerms      = 256
	maxRoutes     = 10_000
)

// priorities are the words for the priority classes.
var priorities = map[string]plan.Priority{
	"batch":       plan.PriorityBatch,
	"normal":      plan.PriorityNormal,
	"interactive": plan.PriorityInteractive,
}

// policyCheck is the state of checking one policy.
type policyCheck struct {
	*checker
	node     *policyNode
	places   settingPlaces
	compiled plan.Policy
	covered  []lexer.Token
	// terms counts the comparisons and groups of all conditions.
	terms int
	// elapsed are the tokens of all times that conditions compare with.
	elapsed []timeToken
	// statements are the places of compiled.Statements.
	statements []lexer.Position
}

// timeToken is a duration with its place.
type timeToken struct {
	token    lexer.Token
	duration time.Duration
}

// policy checks a policy and keeps it for the routes.
func (c *checker) policy(node *policyNode) {
	c.report.name(node.Name, keywordPolicy)
	if !c.declare(keywordPolicy, node.Name) {
		return
	}
	check := &policyCheck{checker: c, node: node, places: settingPlaces{}}
	check.compiled = plan.Policy{
		Name:             node.Name.Value,
		Priority:         plan.PriorityNormal,
		SnapshotCoverage: 1,
		Merge:            plan.Merge{Kind: plan.MergeConcat},
	}
	for _, item := range node.Items {
		check.item(item)
	}
	check.requiredSettings()
	check.attempts()
	check.size()
	check.program()
	c.policies[node.Name.Value] = &checkedPolicy{compiled: check.compiled, covered: check.covered}
}

// item checks one line of a policy.
func (c *policyCheck) item(item *policyItemNode) {
	if item.Statement != nil {
		c.statement(item.Statement, item.Pos)
		return
	}
	if what := item.setting(); !c.places.first(c.report, what, item.Pos) {
		return
	}
	switch {
	case present(item.Deadline):
		c.compiled.Deadline, _ = c.report.duration(item.Deadline, durationBounds{"deadline", shortestDuration, longestDeadline})
	case present(item.Priority):
		c.priority(item.Priority)
	case present(item.OnceFor):
		c.compiled.Once = true
		c.compiled.ClaimExpiry, _ = c.report.duration(item.OnceFor, durationBounds{"once", shortestClaim, longestClaim})
	case present(item.SnapshotCoverage):
		const allowZero = false
		c.compiled.SnapshotCoverage, _ = c.report.percent(item.SnapshotCoverage, "snapshot coverage", allowZero)
	case item.Hedge != nil:
		c.hedge(item.Hedge)
	case item.Retry != nil:
		c.retry(item.Retry)
	case item.Merge != nil:
		c.merge(item.Merge)
	}
}

// setting names the setting that the item holds.
func (n *policyItemNode) setting() string {
	switch {
	case present(n.Deadline):
		return "deadline"
	case present(n.Priority):
		return "priority"
	case present(n.Repeatable):
		return "repeatable"
	case present(n.OnceFor):
		return "once"
	case present(n.SnapshotCoverage):
		return "snapshot coverage"
	case n.Hedge != nil:
		return "hedge"
	case n.Retry != nil:
		return "retry"
	default:
		return "merge"
	}
}

func (c *policyCheck) priority(token lexer.Token) {
	priority, found := priorities[token.Value]
	if !found {
		c.report.add(token.Pos, "priority is %s; it must be interactive, normal or batch%s",
			quote(token.Value), suggestion(token.Value, []string{"interactive", "normal", "batch"}))
		return
	}
	c.compiled.Priority = priority
}

func (c *policyCheck) hedge(node *hedgeNode) {
	bounds := durationBounds{"hedge", shortestDuration, longestDeadline}
	quantile, quantileOK := c.report.quantile(node.Quantile)
	least, leastOK := c.report.duration(node.Least, bounds)
	most, mostOK := c.report.duration(node.Most, bounds)
	limit := c.count(node.Limit, "hedge at most", maxHedges)
	if leastOK && mostOK && least > most {
		c.report.add(node.Least.Pos, "hedge: the least delay %s is above the longest, %s", node.Least.Value, node.Most.Value)
	}
	if quantileOK && leastOK && mostOK {
		c.compiled.Hedge = plan.Hedge{Quantile: quantile, MinDelay: least, MaxDelay: most, MaxPerShard: limit}
	}
}

func (c *policyCheck) retry(node *retryNode) {
	c.compiled.Retry.MaxPerShard = c.count(node.Limit, "retry at most", maxRetries)
	if present(node.Backoff) {
		c.compiled.Retry.Backoff, _ = c.report.duration(node.Backoff, durationBounds{"backoff", shortestDuration, longestDeadline})
	}
}

func (c *policyCheck) merge(node *mergeNode) {
	if present(node.Concat) {
		return // the default
	}
	c.compiled.Merge = plan.Merge{
		Kind:       plan.MergeTop,
		Limit:      c.count(node.Top, "merge top", maxTop),
		Field:      node.Field.Value,
		Descending: node.Order.Value == "descending",
	}
	c.report.name(node.Field, "field")
}

// requiredSettings reports what a policy must say and does not. Whether a
// request may be repeated has no default: either would be a silent promise.
func (c *policyCheck) requiredSettings() {
	once, isOnce := c.places["once"]
	_, isRepeatable := c.places["repeatable"]
	if isOnce && isRepeatable {
		c.report.add(once, "policy %s is repeatable on line %d and can't be once as well",
			c.compiled.Name, c.places["repeatable"].Line)
	}
	if c.source.wasDamaged(c.node.Pos, c.node.Close.Pos) {
		return
	}
	if _, found := c.places["deadline"]; !found {
		c.report.add(c.node.Name.Pos, "policy %s has no deadline", c.compiled.Name)
	}
	if !isOnce && !isRepeatable {
		c.report.add(c.node.Name.Pos, "policy %s must say repeatable, or once for a time", c.compiled.Name)
	}
}

// attempts checks hedge, retry and claim against each other and the deadline.
func (c *policyCheck) attempts() {
	deadline := c.compiled.Deadline
	if hedge, found := c.places["hedge"]; found && c.compiled.Once {
		c.report.add(hedge, "a request that runs at most once can't be hedged, because both attempts could run")
	}
	if deadline == 0 {
		return
	}
	if c.compiled.Hedge.MinDelay >= deadline {
		c.report.add(c.places["hedge"], "the hedge is sent after %s at the earliest, but the deadline is %s",
			plan.DurationText(c.compiled.Hedge.MinDelay), plan.DurationText(deadline))
	}
	if c.compiled.Retry.Backoff >= deadline {
		c.report.add(c.places["retry"], "the retry is sent after %s at the earliest, but the deadline is %s",
			plan.DurationText(c.compiled.Retry.Backoff), plan.DurationText(deadline))
	}
	if c.compiled.Once && c.compiled.ClaimExpiry > 0 && c.compiled.ClaimExpiry <= deadline {
		c.report.add(c.places["once"], "the claim expires after %s, before the request's deadline of %s",
			plan.DurationText(c.compiled.ClaimExpiry), plan.DurationText(deadline))
	}
}
