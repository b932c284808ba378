package policy

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/plan"
)

// Explain describes what a plan does with the requests of a route, for a
// person: whom it asks, how long it waits, what extra load it may cause and
// which statement decides when. An error means that there is no such route.
func Explain(p *plan.Plan, routeName string) (string, error) {
	if remote, found := p.RemoteRouteNamed(routeName); found {
		return explainRemote(p, remote), nil
	}
	route, found := p.RouteNamed(routeName)
	if !found {
		names := append(lo.Map(p.Routes, func(route plan.Route, _ int) string { return route.Name }),
			lo.Map(p.RemoteRoutes, func(route plan.RemoteRoute, _ int) string { return route.Name })...)
		return "", errors.Newf("unknown route %q%s", routeName, suggestion(routeName, names))
	}
	service, found := p.ServiceNamed(route.Service)
	if !found {
		return "", errors.Newf("route %q asks the unknown service %q", routeName, route.Service)
	}
	explanation := &explainer{route: route, service: service, policy: &route.Policy}
	explanation.write()
	return explanation.text.String(), nil
}

type explainer struct {
	route   *plan.Route
	service *plan.Service
	policy  *plan.Policy
	text    strings.Builder
}

// row writes one aligned line.
func (e *explainer) row(what, format string, arguments ...any) {
	fmt.Fprintf(&e.text, "  %-10s %s\n", what, fmt.Sprintf(format, arguments...))
}

func (e *explainer) write() {
	fmt.Fprintf(&e.text, "route %s (policy %s)\n", e.route.Name, e.policy.Name)
	e.asks()
	e.row("priority", "%s: %s", e.policy.Priority, priorityMeanings[e.policy.Priority])
	e.row("deadline", "%s from admission; a caller may ask for less", plan.DurationText(e.policy.Deadline))
	e.repetition()
	e.row("snapshot", "the newest index version that %s of the groups can serve%s",
		plan.PercentText(e.policy.SnapshotCoverage), e.countOf(e.policy.SnapshotCoverage))
	e.attempts()
	e.row("merge", "%s", mergeMeaning(e.policy.Merge))
	e.statements()
}

var priorityMeanings = map[plan.Priority]string{
	plan.PriorityBatch:       "refused first under overload",
	plan.PriorityNormal:      "refused after batch under overload",
	plan.PriorityInteractive: "refused last under overload",
}

// asks describes the back ends, by generation.
func (e *explainer) asks() {
	target := "every group"
	if e.route.Target == plan.TargetKey {
		target = "the one group that the request's key selects"
	}
	e.row("asks", "%s of service %s", target, e.service.Name)
	for _, generation := range e.service.Generations {
		size := sizeOf(generation)
		e.row("", "generation %d: %s, %s in %s, %s and %s", generation.Number,
			plural(size.groups, "group"), plural(size.replicas, "replica"), plural(size.zones, "zone"),
			plural(size.slots, "slot"), plural(size.connections, "connection"))
	}
	if e.service.CellRouters > 0 {
		e.row("", "through a cell of %s", plural(e.service.CellRouters, "router"))
	}
	if e.service.ColdStart > 0 {
		e.row("", "a replica's share of work ramps up for %s after it is first ready", plan.DurationText(e.service.ColdStart))
	}
}

// generationSize counts what a generation holds.
type generationSize struct {
	groups, replicas, zones, slots, connections int
}

func sizeOf(generation plan.Generation) generationSize {
	size := generationSize{groups: len(generation.Shards)}
	zones := map[string]bool{}
	for _, shard := range generation.Shards {
		for _, replica := range shard.Replicas {
			size.replicas++
			size.slots += replica.Slots
			size.connections += replica.Connections
			zones[replica.Zone] = true
		}
	}
	size.zones = len(zones)
	return size
}

func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}

func (e *explainer) repetition() {
	if e.policy.Once {
		e.row("repetition", "at most once: the request id is claimed before dispatch and kept for %s", plan.DurationText(e.policy.ClaimExpiry))
		return
	}
	e.row("repetition", "repeatable: a request may run more than once")
}

// attempts describes hedges and retries with the budgets that pay for them.
func (e *explainer) attempts() {
	hedge, retry := e.policy.Hedge, e.policy.Retry
	extra := 0.0
	if hedge.MaxPerShard == 0 {
		e.row("hedge", "off")
	} else {
		extra += e.service.HedgeBudget.Ratio
		e.row("hedge", "at most %d a group, after %s of the group's latency, but from %s to %s; budget %s",
			hedge.MaxPerShard, quantileText(hedge.Quantile), plan.DurationText(hedge.MinDelay), plan.DurationText(hedge.MaxDelay), budgetMeaning(e.service.HedgeBudget))
	}
	if retry.MaxPerShard == 0 {
		e.row("retry", "off")
	} else {
		extra += e.service.RetryBudget.Ratio
		e.row("retry", "at most %d a group%s%s; budget %s",
			retry.MaxPerShard, onlyIfNotRun(e.policy.Once), backoffMeaning(retry), budgetMeaning(e.service.RetryBudget))
	}
	e.row("load", "in the long run at most %.2f attempts a group and request", 1+extra)
}

func quantileText(quantile float64) string {
	return "p" + strings.TrimSuffix(plan.PercentText(quantile), "%")
}

func budgetMeaning(budget plan.Budget) string {
	if budget.Ratio == 0 {
		return "0, so none is ever sent"
	}
	return fmt.Sprintf("%s of first attempts, up to %.0f saved", plan.PercentText(budget.Ratio), budget.Burst)
}

func onlyIfNotRun(once bool) string {
	if once {
		return ", only on proof that the attempt did not run"
	}
	return ""
}

func backoffMeaning(retry plan.Retry) string {
	if retry.Backoff == 0 {
		return ""
	}
	return ", on the same replica after " + plan.DurationText(retry.Backoff)
}

func mergeMeaning(merge plan.Merge) string {
	if merge.Kind != plan.MergeTop {
		return "items one group after the other"
	}
	order := "lowest"
	if merge.Descending {
		order = "highest"
	}
	return fmt.Sprintf("the %d items with the %s %s", merge.Limit, order, merge.Field)
}

// statements lists the program and says how many groups each coverage means.
func (e *explainer) statements() {
	e.text.WriteString("  decides    by the first of these that holds:\n")
	for _, statement := range e.policy.Statements {
		line := fmt.Sprintf("    line %-4d %s", statement.Line, statement)
		if notes := e.coverageNotes(statement.Condition); len(notes) > 0 {
			line += "  [" + strings.Join(lo.Uniq(notes), ", ") + "]"
		}
		e.text.WriteString(line + "\n")
	}
	if last, ok := lo.Last(e.policy.Statements); ok && last.Condition.Kind == plan.ConditionElapsed {
		fmt.Fprintf(&e.text, "  so every request is decided %s before its deadline or earlier\n",
			plan.DurationText(e.policy.Deadline-last.Condition.Duration))
	}
}

// coverageNotes translates the coverages of a condition to groups.
func (e *explainer) coverageNotes(condition plan.Condition) []string {
	var notes []string
	if condition.Kind == plan.ConditionCoverage && e.route.Target == plan.TargetAll {
		notes = append(notes, plan.PercentText(condition.Ratio)+" is "+strings.Trim(e.countOf(condition.Ratio), " ()"))
	}
	for _, operand := range condition.Operands {
		notes = append(notes, e.coverageNotes(operand)...)
	}
	return notes
}

// countOf says how many groups satisfy a ratio, in each generation.
func (e *explainer) countOf(ratio float64) string {
	counts := lo.Map(e.service.Generations, func(generation plan.Generation, _ int) string {
		groups := len(generation.Shards)
		return fmt.Sprintf("%d of %d", shardsNeeded(ratio, groups), groups)
	})
	return " (" + strings.Join(lo.Uniq(counts), " or ") + ")"
}
