package scatter

import (
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/rollout"
)

// RolloutsChanged reports, for all services with a rollout, which versions calls may go to.
type RolloutsChanged struct{ Rules map[string]rollout.Rule }

func (RolloutsChanged) isEvent() {}

// RolloutOutcome reports the outcome of an attempt at a service with a running rollout.
type RolloutOutcome struct {
	Service string
	Route   string
	// New says that the server runs the new version, Failed that the attempt failed.
	New      bool
	Failed   bool
	Duration time.Duration
}

func (RolloutOutcome) isCommand() {}

// undrawn marks a call whose canary draw has not been made yet.
const undrawn = -1

// choose returns the server for the next attempt of a call, under the rollout of its service.
func (e *Engine) choose(c *call) (*server, availability) {
	view := e.view(c)
	rule, ruled := e.rollouts[c.group.service]
	if !ruled {
		return c.group.choose(e.now, c, view)
	}
	if c.canaryDraw == undrawn {
		c.canaryDraw = e.random.Float64()
	}
	first := len(c.tried) == 0 && c.priorAttempts == 0
	view.rule, view.side = rule, rule.SideOf(c.canaryDraw, first, c.group.offersVersion(e.now, rule.Target))
	chosen, found := c.group.choose(e.now, c, view)
	if found != available && view.side == rollout.New && rule.Phase != rollout.Shifted {
		// A call that was drawn as a canary still gets a server if only the old version has
		// capacity.
		view.side = rollout.Old
		return c.group.choose(e.now, c, view)
	}
	return chosen, found
}

// updateRollouts sets which versions calls may go to. Servers of the old version are marked as
// leaving when a rollout ends: they stop without notice, and the directory may report it
// later.
func (e *Engine) updateRollouts(rules map[string]rollout.Rule) {
	for service, rule := range rules {
		if rule.Phase != rollout.Done || !e.rollouts[service].Phase.Running() {
			continue
		}
		for _, replaced := range e.group(service).servers {
			if replaced.Version != rule.Target && !replaced.Draining {
				replaced.Draining = true
				e.emit(LogServer{Server: replaced.Server, Event: "server_replaced"})
			}
		}
	}
	e.rollouts = rules
	e.dispatchWaiting()
}

// offersVersion reports whether a server of a version may get work.
func (g *group) offersVersion(now time.Time, version string) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool {
		return s.Version == version && s.usable() && s.condition(now) < missing
	})
}

// observeRollout reports an attempt at a service with a running rollout. Refusals and failed
// connections say nothing about the version.
func (e *Engine) observeRollout(ended *attempt, outcome Outcome) {
	rule, ruled := e.rollouts[ended.server.Service]
	if !ruled || !rule.Phase.Running() {
		return
	}
	observed := RolloutOutcome{
		Service: ended.server.Service, Route: ended.call.request.route.Name,
		New: ended.server.Version == rule.Target, Duration: e.now.Sub(ended.started),
	}
	switch outcome.Failure {
	case NoFailure:
		observed.Failed = outcome.Reply.ServerFailed()
	case Broken, TimedOut:
		observed.Failed = true
	case Aborted:
		// The true duration is at least as long.
	default:
		return
	}
	e.emit(observed)
}

// InFlightExcept counts the attempts in flight at servers of a service with any version but
// the given one.
func (e *Engine) InFlightExcept(service, version string) (count int) {
	for _, a := range e.attempts {
		if a.server.Service == service && a.server.Version != version {
			count++
		}
	}
	return count
}
