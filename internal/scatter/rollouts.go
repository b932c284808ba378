package scatter

import (
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/rollout"
)

// RolloutsChanged tells, for all services with a roll-out, which servers calls may go to.
type RolloutsChanged struct{ Rules map[string]rollout.Rule }

func (RolloutsChanged) isEvent() {}

// Observed tells how an attempt at a service with a running roll-out ended.
type Observed struct {
	Service string
	Route   string
	// New says that the server is of the new version, Bad that it failed.
	New  bool
	Bad  bool
	Took time.Duration
}

func (Observed) isCommand() {}

// undrawn is the draw of a call that was not made yet.
const undrawn = -1

// choose returns the server for the next attempt of a call, by the roll-out of its service.
func (e *Engine) choose(called *call) (*server, availability) {
	view := e.view(called)
	rule, ruled := e.rollouts[called.group.service]
	if !ruled {
		return called.group.choose(e.now, called, view)
	}
	if called.draw == undrawn {
		called.draw = e.random.Float64()
	}
	first := len(called.tried) == 0 && called.earlier == 0
	view.rule, view.side = rule, rule.SideOf(called.draw, first, called.group.offers(e.now, rule.Target))
	chosen, found := called.group.choose(e.now, called, view)
	if found != available && view.side == rollout.New && rule.Phase != rollout.Shifted {
		// A call is not worse served for being drawn as a canary.
		view.side = rollout.Old
		return called.group.choose(e.now, called, view)
	}
	return chosen, found
}

// changeRollouts takes in where calls may go. Servers that a roll-out has replaced leave with
// its end: they stop without a word, and what the directory tells of them may come later.
func (e *Engine) changeRollouts(rules map[string]rollout.Rule) {
	for service, rule := range rules {
		if rule.Phase != rollout.Done || !e.rollouts[service].Phase.Running() {
			continue
		}
		for _, replaced := range e.group(service).servers {
			if replaced.Version != rule.Target && !replaced.Leaving {
				replaced.Leaving = true
				e.emit(Noted{Server: replaced.Server, Belief: "server_replaced"})
			}
		}
	}
	e.rollouts = rules
	e.serveWaiting()
}

// offers reports whether a server of a version may get work.
func (g *group) offers(now time.Time, version string) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool {
		return s.Version == version && s.usable() && s.condition(now) < missing
	})
}

// observeRollout tells of an attempt at a service with a running roll-out. Refusals and
// connections that did not come up say nothing on the version.
func (e *Engine) observeRollout(ended *attempt, outcome Outcome) {
	rule, ruled := e.rollouts[ended.server.Service]
	if !ruled || !rule.Phase.Running() {
		return
	}
	observed := Observed{
		Service: ended.server.Service, Route: ended.call.request.route.Name,
		New: ended.server.Version == rule.Target, Took: e.now.Sub(ended.started),
	}
	switch outcome.Failure {
	case NoFailure:
		observed.Bad = outcome.Reply.ServerFailed()
	case Broken, TimedOut:
		observed.Bad = true
	case Aborted:
		// It took at least that long.
	default:
		return
	}
	e.emit(observed)
}

// InFlightBeside counts the attempts at servers of a service of any version but one.
func (e *Engine) InFlightBeside(service, version string) (count int) {
	for _, out := range e.attempts {
		if out.server.Service == service && out.server.Version != version {
			count++
		}
	}
	return count
}
