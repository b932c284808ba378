package gateway

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// One of sampleEvery ordinary responses is logged. Requests that failed, were refused,
// exceeded their target or lack parts are always logged.
const sampleEvery = 64

// outcomeQuarantined is the outcome of quarantined requests. Their log lines are limited, so
// that a caller that sends one in a loop does not flood the log.
const outcomeQuarantined = "quarantined"

// recordOutcome counts and logs the end of a request.
func (s *exchangeState) recordOutcome(outcome string, status int, result scatter.Result) {
	took := steadyclock.Since(s.arrived)
	target := time.Duration(0)
	if s.route != nil {
		target = s.route.Target
	}
	s.gateway.metrics.requests.WithLabelValues(outcome, strconv.Itoa(status)).Inc()
	s.gateway.metrics.seconds.Observe(took.Seconds())
	s.gateway.metrics.extras.Add(float64(result.Extras))
	s.gateway.metrics.denied.Add(float64(result.Denied))
	s.gateway.metrics.missing.Add(float64(s.gathered.missing))
	late := target > 0 && took > target
	ordinary := outcome == "answered" && !late && s.gathered.missing == 0 && status < 400
	if ordinary && s.gateway.answers.Add(1)%sampleEvery != 0 {
		return
	}
	if outcome == outcomeQuarantined {
		if _, allowed := s.gateway.quarantineRefusalLines.Allow(steadyclock.Now()); !allowed {
			return
		}
	}
	if !s.allowRefusalLine(result.Reason) {
		return
	}
	s.logOutcome(outcome, status, took, late, result)
}

// logOutcome logs the end of a request.
func (s *exchangeState) logOutcome(outcome string, status int, took time.Duration, late bool, result scatter.Result) {
	route := ""
	if s.route != nil {
		route = s.route.Name
	}
	fields := logrus.Fields{
		"request": s.id, "route": route, "version": s.version, "outcome": outcome, "status": status, "took": took,
		"attempts": result.Attempts, "extras": result.Extras, "denied": result.Denied, "late": late,
		"missing": s.gathered.missing, "slices": s.gathered.slices, "shards": s.gathered.shards,
		"fallbacks": s.gathered.fallbacks, "cut": s.gathered.cut,
	}
	viewed := s.gateway.currentView()
	fields["directory"], fields["view_age"] = viewed.node, viewed.age(steadyclock.Now(), s.gateway.started)
	if s.tenant != nil {
		fields["tenant"] = s.tenant.Name
	}
	if result.Reason != "" {
		fields["reason"], fields["verdict"] = result.Reason, result.Verdict
	}
	if s.refusal != nil {
		maps.Copy(fields, s.refusal.fields())
	}
	s.gateway.logger.WithFields(fields).Info("request")
}

// allowRefusalLine counts refusals of tenants and reports whether a line about a request that was
// refused for the given reason may be written.
func (s *exchangeState) allowRefusalLine(reason verdict.Reason) bool {
	allowed := true
	switch {
	case isTenantRefusal(reason):
		s.gateway.metrics.tenantRefusals.WithLabelValues(string(reason)).Inc()
		_, allowed = s.gateway.tenantRefusalLines.Allow(steadyclock.Now())
	case reason == verdict.ReasonNoCapacity:
		_, allowed = s.gateway.capacityRefusalLines.Allow(steadyclock.Now())
	case reason == verdict.ReasonDeadlinePassed:
		_, allowed = s.gateway.expiredRefusalLines.Allow(steadyclock.Now())
	}
	return allowed
}

// isTenantRefusal reports whether a request was refused for its key or for its tenant's limit.
// Their log lines are limited, so that a caller that keeps sending does not flood the log.
func isTenantRefusal(reason verdict.Reason) bool {
	return reason == verdict.ReasonUnknownKey || reason == verdict.ReasonOverQuota
}

// maxLoggedItems bounds the servers that a step logs one by one: a line for each of 400
// servers, at the start or when the shards change, takes 50 ms on a router with 0.19 cores.
const maxLoggedItems = 4

// logStateChanges logs the server state changes of a step: each change if there are few,
// otherwise the number of each kind with some of the servers.
func (l *loop) logStateChanges() {
	if len(l.stateChanges) == 0 {
		return
	}
	for event, changes := range lo.GroupBy(l.stateChanges, func(noted scatter.LogServer) string { return noted.Event }) {
		if len(changes) > maxLoggedItems {
			some := lo.Map(changes[:maxLoggedItems], func(noted scatter.LogServer, _ int) string { return noted.Server.ID })
			l.logger.WithFields(logrus.Fields{
				"servers": len(changes), "some": strings.Join(some, " "),
				"leaving": lo.CountBy(changes, func(noted scatter.LogServer) bool { return noted.Server.Draining }),
				"missing": lo.CountBy(changes, func(noted scatter.LogServer) bool { return noted.Server.Missing }),
			}).Info(event)
			continue
		}
		for _, noted := range changes {
			l.logger.WithFields(logrus.Fields{
				"server": noted.Server.ID, "service": noted.Server.Service, "address": noted.Server.Address,
				"detail": noted.Detail, "leaving": noted.Server.Draining, "missing": noted.Server.Missing, "replaced": noted.Server.Replaced,
			}).Info(event)
		}
	}
	l.stateChanges = l.stateChanges[:0]
}

// maxMissingPartLines bounds the log lines about missing parts of a request.
const maxMissingPartLines = 4

// logOverdueParts logs, in one line, which parts of a request have not arrived when they are
// due, and why.
func (l *loop) logOverdueParts(submitted *submission, result scatter.Result) {
	causes := make([]string, 0, len(result.MissingParts))
	for _, lack := range result.MissingParts {
		causes = append(causes, lack.Service+":"+lack.Cause.String()+":"+lack.Server)
	}
	l.logger.WithFields(logrus.Fields{
		"request": submitted.request.ID, "route": submitted.arrived.Route.Name, "lacking": result.MissingCount,
		"parts": strings.Join(causes, " "),
	}).Info("parts_overdue")
}

// logMissingParts logs the attempts made for each service or shard that returned nothing.
func (l *loop) logMissingParts(request string, result scatter.Result) {
	for _, lack := range result.MissingParts[:min(maxMissingPartLines, len(result.MissingParts))] {
		l.logger.WithFields(logrus.Fields{
			"request": request, "service": lack.Service, "server": lack.Server, "failure": lack.Failure.String(),
			"cause": lack.Cause.String(), "open": lack.InFlight, "steps": stepsText(lack.Steps),
		}).Info("part_missing")
	}
}

// stepsText formats steps as "3.1ms sent i-1; 40ms hedged i-2".
func stepsText(steps []scatter.Step) string {
	texts := make([]string, 0, len(steps))
	for _, step := range steps {
		text := step.After.Round(100*time.Microsecond).String() + " " + step.Kind.String()
		if step.Server != "" {
			text += " " + step.Server
		}
		if step.Kind == scatter.StepEnded {
			text += " " + step.Failure.String()
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, "; ")
}

// logGatherers logs how gathering is distributed: how many services this router gathers a
// share of, and the least and the greatest number of routers that share a service.
func (g *Gateway) logGatherers(calls float64, counted map[string]scatter.Gatherers) {
	own, least, most := 0, 0, 0
	for _, gatherers := range counted {
		if gatherers.Self {
			own++
		}
		if least == 0 || gatherers.Count < least {
			least = gatherers.Count
		}
		most = max(most, gatherers.Count)
	}
	summary := gathererSummary{calls: calls, services: len(counted), own: own, least: least, most: most}
	if summary == g.loggedGatherers {
		return
	}
	g.loggedGatherers = summary
	g.logger.WithFields(logrus.Fields{
		"calls": calls, "services": summary.services, "shards": own, "least": least, "most": most,
	}).Info("gatherers_changed")
}

// gathererSummary describes how gathering is distributed in the log.
type gathererSummary struct {
	calls                      float64
	services, own, least, most int
}
