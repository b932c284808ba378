package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/nearest"
	"github.com/martenstage/martenstage/internal/plan"
)

// Warning is something that compiles and is yet likely a mistake or a risk.
type Warning struct {
	// Place names the service, group, route or policy.
	Place   string
	Message string
}

// String returns place: message.
func (w Warning) String() string { return w.Place + ": " + w.Message }

// leastMargin is how long merging and sending an answer may take at the end of
// a request. A program that decides later makes late answers.
const leastMargin = 5 * time.Millisecond

// Lint examines a compiled plan.
func Lint(p *plan.Plan) []Warning {
	check := &linter{plan: p}
	for index := range p.Services {
		check.service(&p.Services[index])
	}
	for index := range p.Routes {
		if service, found := p.ServiceNamed(p.Routes[index].Service); found {
			check.route(&p.Routes[index], service)
		}
	}
	for _, region := range p.Regions {
		check.region(region)
	}
	return check.warnings
}

// LintText compiles a text and examines it. It finds what Lint does, and the
// policies that no route uses, which are not part of a plan.
func LintText(filename string, text []byte) ([]Warning, error) {
	compiled, check, err := compile(filename, string(text))
	if err != nil {
		return nil, err
	}
	warnings := Lint(compiled)
	names := lo.Keys(check.policies)
	slices.Sort(names)
	for _, name := range names {
		if !check.used[declarationKey{keywordPolicy, name}] {
			warnings = append(warnings, Warning{Place: "policy " + name, Message: "no route uses it"})
		}
	}
	return warnings, nil
}

type linter struct {
	plan     *plan.Plan
	warnings []Warning
}

func (l *linter) warn(place, format string, arguments ...any) {
	l.warnings = append(l.warnings, Warning{Place: place, Message: fmt.Sprintf(format, arguments...)})
}

func (l *linter) service(service *plan.Service) {
	place := "service " + service.Name
	routes := lo.Filter(l.plan.Routes, func(route plan.Route, _ int) bool { return route.Service == service.Name })
	if len(routes) == 0 {
		l.warn(place, "no route asks it")
	}
	hedged := lo.SomeBy(routes, func(route plan.Route) bool { return route.Policy.Hedge.MaxPerShard > 0 })
	retried := lo.SomeBy(routes, func(route plan.Route) bool { return route.Policy.Retry.MaxPerShard > 0 })
	if service.HedgeBudget.Ratio > 0 && len(routes) > 0 && !hedged {
		l.warn(place, "it has a hedge budget, but no route hedges")
	}
	if service.RetryBudget.Ratio > 0 && len(routes) > 0 && !retried {
		l.warn(place, "it has a retry budget, but no route retries")
	}
	l.zones(place, service)
	for _, generation := range service.Generations {
		for _, shard := range generation.Shards {
			l.shard(fmt.Sprintf("%s generation %d group %s", place, generation.Number, shard.Name), service, shard)
		}
	}
}

// shard looks for groups that one failure takes away.
func (l *linter) shard(place string, service *plan.Service, shard plan.Shard) {
	zones := lo.Uniq(lo.Map(shard.Replicas, func(replica plan.Replica, _ int) string { return replica.Zone }))
	switch {
	case len(shard.Replicas) == 1:
		l.warn(place, "it has a single replica; when that fails the group is missing from every answer")
	case len(zones) == 1:
		l.warn(place, "all %d replicas are in zone %s; when the zone fails the group is missing from every answer",
			len(shard.Replicas), zones[0])
	}
	for _, replica := range shard.Replicas {
		if replica.Slots > replica.Connections {
			l.warn(place, "replica %s has %d slots, but %d connections can't fill them", replica.Address, replica.Slots, replica.Connections)
		}
		if service.CellRouters > replica.Connections {
			l.warn(place, "replica %s has %d connections for a cell of %d routers; some routers get none",
				replica.Address, replica.Connections, service.CellRouters)
		}
	}
}

// zones looks for a zone that is likely a mistyped one: a single replica is in
// it, and its name is one typing error away from a zone with more.
func (l *linter) zones(place string, service *plan.Service) {
	counts := map[string]int{}
	for _, generation := range service.Generations {
		for _, shard := range generation.Shards {
			for _, replica := range shard.Replicas {
				counts[replica.Zone]++
			}
		}
	}
	names := lo.Keys(counts)
	slices.Sort(names)
	for _, name := range names {
		larger := lo.Filter(names, func(other string, _ int) bool { return counts[other] > 1 && !numbered(name, other) })
		if similar, found := nearest.Name(name, larger); counts[name] == 1 && found {
			l.warn(place, "zone %s has a single replica; did you mean %s?", name, similar)
		}
	}
}

// numbered reports whether two names differ in their last character only, as
// zone-1 and zone-2 do, which is no typing error.
func numbered(left, right string) bool {
	return len(left) == len(right) && strings.EqualFold(left[:len(left)-1], right[:len(right)-1])
}

func (l *linter) route(route *plan.Route, service *plan.Service) {
	place := "route " + route.Name
	policy := &route.Policy
	if policy.Hedge.MaxPerShard > 0 && service.HedgeBudget.Ratio == 0 {
		l.warn(place, "it hedges, but service %s has no hedge budget, so no hedge is ever sent", service.Name)
	}
	if policy.Retry.MaxPerShard > 0 && service.RetryBudget.Ratio == 0 {
		l.warn(place, "it retries, but service %s has no retry budget, so no retry is ever sent", service.Name)
	}
	last, ok := lo.Last(policy.Statements)
	if !ok || last.Condition.Kind != plan.ConditionElapsed {
		return
	}
	if margin := policy.Deadline - last.Condition.Duration; margin < leastMargin {
		l.warn(place, "its last statement leaves %s until the deadline to merge and send the answer; leave %s or more",
			plan.DurationText(margin), plan.DurationText(leastMargin))
	}
	if policy.Hedge.MinDelay >= last.Condition.Duration {
		l.warn(place, "its hedge is sent after %s at the earliest, when the last statement has decided", plan.DurationText(policy.Hedge.MinDelay))
	}
	l.program(place, route, service)
}

// program examines the statements for the number of groups of each generation.
func (l *linter) program(place string, route *plan.Route, service *plan.Service) {
	for _, generation := range service.Generations {
		shards := len(generation.Shards)
		if route.Target == plan.TargetKey {
			shards = 1
		}
		analysis, ok := analyze(route.Policy.Statements, shards)
		if !ok {
			l.warn(place, "its policy is too large to examine whether each statement can decide")
			return
		}
		for index, statement := range route.Policy.Statements {
			if !analysis.decides[index] {
				l.warn(place, "with %s in generation %d, the statement on line %d never decides: line %d decides first",
					plural(shards, "group"), generation.Number, statement.Line, route.Policy.Statements[analysis.decidedBy[index]].Line)
			}
		}
		if route.Policy.SnapshotCoverage < analysis.leastAnswered {
			l.warn(place, "with %s in generation %d, a snapshot that %s of the groups serve may be pinned, but no answer is given below a coverage of %s",
				plural(shards, "group"), generation.Number, plan.PercentText(route.Policy.SnapshotCoverage), plan.PercentText(analysis.leastAnswered))
		}
	}
}
