package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// sampleEvery is of how many ordinary answers one is logged. Requests that
// failed, were refused, came late or lack parts are always told.
const sampleEvery = 64

// outcomeQuarantined is that of requests that end their servers. A caller that sends one in a
// loop fills no log with it.
const outcomeQuarantined = "quarantined"

// tell counts and logs the end of a request.
func (s *exchangeState) tell(outcome string, status int, result scatter.Result) {
	took := steadyclock.Since(s.arrived)
	route, target := "", time.Duration(0)
	if s.route != nil {
		route, target = s.route.Name, s.route.Target
	}
	s.gateway.metrics.requests.WithLabelValues(outcome, strconv.Itoa(status)).Inc()
	s.gateway.metrics.seconds.Observe(took.Seconds())
	s.gateway.metrics.extras.Add(float64(result.Extras))
	s.gateway.metrics.denied.Add(float64(result.Denied))
	s.gateway.metrics.missing.Add(float64(s.told.missing))
	late := target > 0 && took > target
	ordinary := outcome == "answered" && !late && s.told.missing == 0 && status < 400
	if ordinary && s.gateway.answers.Add(1)%sampleEvery != 0 {
		return
	}
	if outcome == outcomeQuarantined {
		if _, tells := s.gateway.refusals.Take(steadyclock.Now()); !tells {
			return
		}
	}
	if ofTenant(result.Reason) {
		s.gateway.metrics.tenantRefusals.WithLabelValues(string(result.Reason)).Inc()
		if _, tells := s.gateway.tenantRefusals.Take(steadyclock.Now()); !tells {
			return
		}
	}
	fields := logrus.Fields{
		"request": s.id, "route": route, "version": s.version, "outcome": outcome, "status": status, "took": took,
		"attempts": result.Attempts, "extras": result.Extras, "denied": result.Denied, "late": late,
		"missing": s.told.missing, "slices": s.told.slices, "shards": s.told.shards,
		"fallbacks": s.told.fallbacks, "cut": s.told.cut,
	}
	viewed := s.gateway.viewed()
	fields["directory"], fields["view_age"] = viewed.node, viewed.age(steadyclock.Now(), s.gateway.started)
	if s.tenant != nil {
		fields["tenant"] = s.tenant.Name
	}
	if result.Reason != "" {
		fields["reason"], fields["verdict"] = result.Reason, result.Verdict
	}
	s.gateway.logger.WithFields(fields).Info("request")
}

// ofTenant reports whether a request was refused for what it carries or its tenant may send:
// one that goes on sending fills no log with it.
func ofTenant(reason verdict.Reason) bool {
	return reason == verdict.ReasonUnknownKey || reason == verdict.ReasonOverQuota
}

// maxNotedTold bounds the servers of which a step tells one by one: a line for each of 400
// servers, at the start or when the shards change, takes a router of 0.19 cores 50 ms.
const maxNotedTold = 4

// tellNoted logs the changed beliefs of a step: each of a few, or how many there are of
// each kind, with some of the servers.
func (l *loop) tellNoted() {
	if len(l.noted) == 0 {
		return
	}
	for belief, told := range lo.GroupBy(l.noted, func(noted scatter.Noted) string { return noted.Belief }) {
		if len(told) > maxNotedTold {
			some := lo.Map(told[:maxNotedTold], func(noted scatter.Noted, _ int) string { return noted.Server.ID })
			l.logger.WithFields(logrus.Fields{
				"servers": len(told), "some": strings.Join(some, " "),
				"leaving": lo.CountBy(told, func(noted scatter.Noted) bool { return noted.Server.Leaving }),
				"missing": lo.CountBy(told, func(noted scatter.Noted) bool { return noted.Server.Missing }),
			}).Info(belief)
			continue
		}
		for _, noted := range told {
			l.logger.WithFields(logrus.Fields{
				"server": noted.Server.ID, "service": noted.Server.Service, "address": noted.Server.Address,
				"detail": noted.Detail, "leaving": noted.Server.Leaving, "missing": noted.Server.Missing, "replaced": noted.Server.Replaced,
			}).Info(belief)
		}
	}
	l.noted = l.noted[:0]
}

// maxMissingTold bounds the lines of a request and router about missing parts.
const maxMissingTold = 4

// tellOverdue logs, in one line, which parts of a request have not come when they are
// due, and why.
func (l *loop) tellOverdue(waiting submitted, result scatter.Result) {
	causes := make([]string, 0, len(result.Lacking))
	for _, lack := range result.Lacking {
		causes = append(causes, lack.Service+":"+lack.Cause.String()+":"+lack.Server)
	}
	l.logger.WithFields(logrus.Fields{
		"request": waiting.request.ID, "route": waiting.arrived.Route.Name, "lacking": result.Lacked,
		"parts": strings.Join(causes, " "),
	}).Info("parts_overdue")
}

// tellLacking logs, for a service or shard that brought nothing, what was done
// to get it.
func (l *loop) tellLacking(request string, result scatter.Result) {
	for _, lack := range result.Lacking[:min(maxMissingTold, len(result.Lacking))] {
		l.logger.WithFields(logrus.Fields{
			"request": request, "service": lack.Service, "server": lack.Server, "failure": lack.Failure.String(),
			"cause": lack.Cause.String(), "open": lack.Open, "steps": stepsText(lack.Steps),
		}).Info("part_missing")
	}
}

// stepsText writes steps as "3.1ms sent i-1; 40ms hedged i-2".
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

// tellGatherers logs who gathers from now on: how many services this router has a share of,
// and the least and the most routers that share one.
func (g *Gateway) tellGatherers(calls float64, counted map[string]scatter.Gatherers) {
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
	told := gathererCount{calls: calls, services: len(counted), own: own, least: least, most: most}
	if told == g.gatherersTold {
		return
	}
	g.gatherersTold = told
	g.logger.WithFields(logrus.Fields{
		"calls": calls, "services": told.services, "shards": own, "least": least, "most": most,
	}).Info("gatherers_changed")
}

// gathererCount is what the log says of who gathers.
type gathererCount struct {
	calls                      float64
	services, own, least, most int
}
