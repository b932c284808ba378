package scatter

import (
	"maps"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/loadview"
)

// ConditionsShared reports the servers that routers of the site find in trouble. Each event
// replaces the previous one, and an event without servers discards it. Config.SharedConditions
// enables its use.
type ConditionsShared struct {
	// At is the time as of which the figures were valid, by the clock of Engine.Step
	// (loadview.Held.At). The weight of the figures falls with their age.
	At time.Time
	// Servers are the servers in trouble, by ID.
	Servers map[string]loadview.ServerState
}

func (ConditionsShared) isEvent() {}

// exploreInterval is the mean time between the attempts of all gatherers together that find
// out whether a server in trouble has recovered.
const exploreInterval = time.Second

// sharedFigure is what other routers report of a server in trouble.
type sharedFigure struct {
	known bool
	state loadview.ServerState
	// at is when the server was last observed.
	at time.Time
	// The next exploring attempt is due exploreAfter × the weight of the figure after
	// exploredAt.
	exploredAt   time.Time
	exploreAfter time.Duration
}

// weight is that of the figure: it counts less from loadview.FullWeightAge on, and nothing from
// loadview.MaxAge on.
func (f *sharedFigure) weight(now time.Time) float64 {
	if !f.known {
		return 0
	}
	return loadview.Held{At: f.at}.Weight(now)
}

// shareConditions replaces the shared figures.
func (e *Engine) shareConditions(event ConditionsShared) {
	if !e.config.SharedConditions {
		return
	}
	previous := e.named
	e.conditions, e.named = event, nil
	for _, named := range previous {
		named.shared.known = false
	}
	for _, id := range slices.Sorted(maps.Keys(event.Servers)) {
		if known, ok := e.servers[id]; ok {
			e.applyCondition(known)
		}
	}
	for _, named := range previous {
		if !named.shared.known {
			named.shared = sharedFigure{}
			e.dispatchQueue(named.Service)
		}
	}
}

// applyCondition records the shared figure of a server that has one with a weight.
func (e *Engine) applyCondition(of *server) {
	state, ok := e.conditions.Servers[of.ID]
	if !ok || state.Condition == loadview.Sound {
		return
	}
	at := e.conditions.At.Add(-state.Age)
	if e.conditions.At.IsZero() || (loadview.Held{At: at}).Weight(e.now) <= 0 {
		return
	}
	of.shared.known, of.shared.state, of.shared.at = true, state, at
	e.named = append(e.named, of)
	if of.shared.exploredAt.IsZero() {
		e.scheduleExploring(of)
	}
}

// scheduleExploring draws when this router next sends an exploring attempt to a server. The
// intervals are exponential, so that the attempts of all gatherers are spread over time.
func (e *Engine) scheduleExploring(of *server) {
	if !of.shared.known {
		return
	}
	gatherers := e.routers
	if counted := e.group(of.Service).gatherers; counted.Self {
		gatherers = counted.Count
	}
	of.shared.exploredAt = e.now
	of.shared.exploreAfter = time.Duration(e.exploring.ExpFloat64() * float64(max(1, gatherers)) * float64(exploreInterval))
}

// explores reports whether a call may find out whether a server has recovered: its first
// attempt, if another one can follow.
func (c *call) explores() bool {
	return c.request.route.Repeatable && len(c.tried) == 0 && c.priorAttempts == 0 && c.maxAttempts() > 1
}

// exploreDue reports whether this router should find out whether the server has recovered. A
// router that has heard from the server since the figure knows.
func (s *server) exploreDue(now time.Time) bool {
	weight := s.shared.weight(now)
	if weight <= 0 || len(s.inFlight) > 0 || s.outweighs(s.shared.state.Condition) {
		return false
	}
	return float64(now.Sub(s.shared.exploredAt)) >= weight*float64(s.shared.exploreAfter)
}

// outweighs reports whether an answer that this router received since the time of the shared
// figure outweighs it. A refusal shows that a server is up, but not how long its work takes.
func (s *server) outweighs(condition loadview.Condition) bool {
	if condition == loadview.Slow {
		return s.lastReplyAt.After(s.shared.at)
	}
	return s.heardAt.After(s.shared.at)
}

// sharedSilent reports whether other routers find the server silent and this one has not heard
// from it since.
func (s *server) sharedSilent(now time.Time) bool {
	return s.shared.known && s.shared.state.Condition == loadview.Silent && s.shared.weight(now) > 0 && !s.outweighs(loadview.Silent)
}

// expectedPace is the pace that is expected of the server: its own observed one, or the shared
// one if that is greater and newer.
func (s *server) expectedPace(now time.Time) float64 {
	pace := s.currentPace(now)
	if !s.shared.known || s.outweighs(loadview.Slow) {
		return pace
	}
	return max(pace, 1+(s.shared.state.Pace-1)*s.shared.weight(now))
}

// expectedRefusals is the share of attempts that the server is expected to refuse.
func (s *server) expectedRefusals(now time.Time) float64 {
	refusals := s.refusals.current(now)
	if !s.shared.known || s.outweighs(loadview.Refusing) {
		return refusals
	}
	return max(refusals, s.shared.state.Refusals*s.shared.weight(now))
}
