package scatter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/latency"
	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/routing"
)

// EngineLoad is what an engine observed itself; it holds no figure of ConditionsShared.
type EngineLoad struct {
	// Services are those on which calls wait or whose servers are in trouble: those with the
	// most servers in trouble, then the most waiting calls, first; at most loadview.MaxServices.
	Services []loadview.ServiceReport
	// Work is how long an attempt of a route occupies a slot of a sound server, by the name of
	// the route. Routes with too few observations are absent.
	Work map[string]time.Duration
	// Heard counts the servers that answered within the last 2 s, and Troubled those of them
	// that are in trouble.
	Heard    int
	Troubled int
}

// Parameters of the load report.
const (
	// heardWindow is how recent an answer must be for its server to count in EngineLoad.Heard.
	heardWindow = 2 * time.Second
	// briefPause is how long a server may be silent without being reported: servers pause for
	// 150 ms every few seconds, and then work on what has arrived meanwhile.
	briefPause = 250 * time.Millisecond
	// lateWake is how late a timer may run before the router counts as having been suspended.
	// What it did not receive meanwhile says nothing about servers.
	lateWake = 100 * time.Millisecond
	// Figures are reported in steps, so that a report changes only if they do.
	paceSteps, refusalSteps = 10, 20
)

// observation is what this router observed of a server, for the load report.
type observation struct {
	// listed says that the server is in Engine.recent.
	listed bool
	// heardAt is when the last answer arrived, refusals and error replies included.
	heardAt time.Time
	// unheardSince is when the first attempt after the last answer was sent, zero if there is
	// none; unheardUntil is when the last such attempt ended.
	unheardSince time.Time
	unheardUntil time.Time
	// slowEndedAt is when the first of the latest slow answers arrived, zero after an answer in
	// the usual time; slowConfirmed says that a brief pause does not explain them.
	slowEndedAt   time.Time
	slowConfirmed bool
	// failedOutright says that the last failure was not just a missing answer.
	failedOutright bool
}

// noteSent records that an attempt is sent to a server.
func (e *Engine) noteSent(to *server) {
	if !to.listed {
		to.listed = true
		e.recent = append(e.recent, to)
	}
	if to.unheardSince.IsZero() {
		to.unheardSince = e.now
	}
}

// noteLate records that timers ran late, because the router was suspended or has too little
// processor time.
func (e *Engine) noteLate() {
	if len(e.timers) > 0 && e.now.Sub(e.timers[0].at) > lateWake {
		e.lateAt = e.now
	}
}

// observe records the end of an attempt, before recordOutcome changes the state of the server.
func (e *Engine) observe(ended *attempt, outcome Outcome, took time.Duration) {
	from := ended.server
	switch outcome.Failure {
	case NoFailure, Refused:
		from.heardAt, from.unheardSince, from.unheardUntil = e.now, time.Time{}, time.Time{}
		from.failedOutright = false
	case NotSent:
		if from.unheardSince.Equal(ended.started) {
			from.unheardSince = time.Time{}
		}
	default:
		from.unheardUntil = e.now
		from.failedOutright = outcome.Failure != Aborted && outcome.Failure != TimedOut
	}
	if outcome.Failure == NoFailure && outcome.Reply.Succeeded() && !ended.started.Before(e.lateAt) {
		e.observeWork(ended, outcome, took)
	}
}

// observeWork records how long a server took for an answer.
func (e *Engine) observeWork(ended *attempt, outcome Outcome, took time.Duration) {
	from, route := ended.server, ended.call.request.route
	if from.currentPace(e.now) < loadview.SlowPace && from.refusals.current(e.now) <= loadview.RefusingShare {
		e.soundTimes(route).Observe(e.now, took)
	}
	if e.ratio(route, took) < loadview.SlowPace {
		from.slowEndedAt, from.slowConfirmed = time.Time{}, false
		return
	}
	if from.slowEndedAt.IsZero() {
		from.slowEndedAt = e.now
	} else if !ended.started.Before(from.slowEndedAt) {
		from.slowConfirmed = true
	}
	if outcome.Load.Slowness >= loadview.SlowPace {
		from.slowConfirmed = true
	}
}

// soundTimes returns the histogram of a route's attempts at sound servers.
func (e *Engine) soundTimes(route *routing.Route) *latency.Histogram {
	existing, ok := e.sound[route.Name]
	if !ok {
		existing = latency.NewHistogram(latency.DefaultHalfLife)
		e.sound[route.Name] = existing
	}
	return existing
}

// LoadReport returns what the engine observed up to now. Like Step, it must be called by the
// goroutine that owns the engine. Its cost grows with the servers that were used within the
// last seconds and with the waiting calls, not with the servers of the site.
func (e *Engine) LoadReport(now time.Time) EngineLoad {
	load := EngineLoad{Work: make(map[string]time.Duration)}
	reports := make(map[string]*loadview.ServiceReport)
	at := func(service string) *loadview.ServiceReport {
		if reports[service] == nil {
			reports[service] = &loadview.ServiceReport{Service: service}
		}
		return reports[service]
	}
	e.recent = slices.DeleteFunc(e.recent, func(s *server) bool { return s.unlist(now) })
	for _, s := range e.recent {
		heard := !s.heardAt.IsZero() && now.Sub(s.heardAt) <= heardWindow
		if heard {
			load.Heard++
		}
		state := s.observedState(now, e.lateAt)
		if state.Condition == loadview.Sound || !s.usable() {
			continue
		}
		report := at(s.Service)
		report.Servers = append(report.Servers, state)
		if heard {
			load.Troubled++
		}
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(g *group) bool { return g.unlist() })
	for _, g := range e.waiting {
		at(g.service).Waiting = g.waitingCalls()
	}
	load.Services = sortReports(reports)
	e.reportWork(load.Work)
	return load
}

// reportWork adds the work of the routes that have enough observations.
func (e *Engine) reportWork(work map[string]time.Duration) {
	for route, observed := range e.sound {
		if observed.Count() >= minObservations {
			work[route] = observed.Quantile(unqueuedQuantile)
		}
	}
}

// sortReports orders and bounds the reports of services.
func sortReports(reports map[string]*loadview.ServiceReport) []loadview.ServiceReport {
	var sorted []loadview.ServiceReport
	for _, report := range reports {
		slices.SortFunc(report.Servers, func(a, b loadview.ServerState) int { return cmp.Compare(a.ID, b.ID) })
		sorted = append(sorted, *report)
	}
	slices.SortFunc(sorted, func(a, b loadview.ServiceReport) int {
		return cmp.Or(cmp.Compare(len(b.Servers), len(a.Servers)), cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Service, b.Service))
	})
	return sorted[:min(len(sorted), loadview.MaxServices)]
}

// unlist reports whether nothing recent is known of the server, and marks it as not listed
// then.
func (s *server) unlist(now time.Time) bool {
	oldest := now.Add(-loadview.MaxAge)
	if len(s.inFlight) > 0 || s.lastSentAt.After(oldest) || s.heardAt.After(oldest) || s.unheardUntil.After(oldest) {
		return false
	}
	s.listed = false
	return true
}

// observedState returns the state of the server by this router's observations of the last
// loadview.MaxAge. Older ones are left out, since pace and refusals decay too slowly to show
// that a server has recovered which gets no attempts.
func (s *server) observedState(now, lateAt time.Time) loadview.ServerState {
	pace, refusals := s.currentPace(now), s.refusals.current(now)
	state := loadview.ServerState{
		ID: s.ID, Pace: math.Round(pace*paceSteps) / paceSteps,
		Refusals: math.Round(refusals*refusalSteps) / refusalSteps,
	}
	silentAge, silent := s.silence(now, lateAt)
	paceAge, refusalsAge := now.Sub(s.paceAt), now.Sub(s.refusals.updatedAt)
	switch {
	case silent:
		state.Condition, state.Age = loadview.Silent, silentAge
	case refusals > loadview.RefusingShare && refusalsAge < loadview.MaxAge:
		state.Condition, state.Age = loadview.Refusing, refusalsAge
	case pace >= loadview.SlowPace && s.slowConfirmed && paceAge < loadview.MaxAge:
		state.Condition, state.Age = loadview.Slow, paceAge
	}
	return state
}

// silence reports whether the server is silent, and how long ago that was last observed. A
// server that failed counts until it answers. Missing answers count only if they span more
// than a brief pause, without the time in which this router was suspended itself.
func (s *server) silence(now, lateAt time.Time) (age time.Duration, silent bool) {
	if s.failures > 0 && s.failedOutright {
		age = now.Sub(s.suspectedAt)
		return age, age < loadview.MaxAge
	}
	if s.unheardSince.IsZero() {
		return 0, false
	}
	since, until := s.unheardSince, s.unheardUntil
	if lateAt.After(since) {
		since = lateAt
	}
	if s.stalled(now) {
		until = now
	}
	age = now.Sub(until)
	return age, until.Sub(since) > briefPause && age < loadview.MaxAge
}
