package scatter_test

import (
	"strconv"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// reporter is implemented by tests and property tests.
type reporter interface {
	require.TestingT
	Helper()
}

// harness drives an engine and records its commands.
type harness struct {
	t       reporter
	engine  *scatter.Engine
	now     time.Time
	wake    time.Time
	sent    []scatter.Send
	aborted map[scatter.AttemptID]bool
	results map[scatter.RequestID]scatter.Result
	// deadlines are those of all requests, dropped the requests that were abandoned.
	deadlines map[scatter.RequestID]time.Time
	dropped   map[scatter.RequestID]bool
	parts     map[scatter.RequestID][]scatter.Part
	overdue   map[scatter.RequestID]scatter.Result
	last      scatter.RequestID
	claims    []scatter.Claim
	logged    []scatter.LogServer
}

func newHarness(t reporter, limits scatter.BudgetLimits) *harness {
	return &harness{
		t: t, now: origin, engine: scatter.New(scatter.Config{Zone: "a", Seed: 1, Budget: limits}),
		deadlines: map[scatter.RequestID]time.Time{}, dropped: map[scatter.RequestID]bool{},
		aborted: map[scatter.AttemptID]bool{}, results: map[scatter.RequestID]scatter.Result{},
		parts: map[scatter.RequestID][]scatter.Part{}, overdue: map[scatter.RequestID]scatter.Result{},
	}
}

var ampleBudget = scatter.BudgetLimits{Ratio: 1, Slack: 1000}

func (h *harness) step(event scatter.Event) {
	if arrived, ok := event.(scatter.Arrived); ok {
		h.deadlines[arrived.ID] = arrived.Deadline
	}
	for _, command := range h.engine.Step(h.now, event) {
		switch command := command.(type) {
		case scatter.Send:
			h.requireOpen(command.Request, command)
			h.requireTimeLeft(command.Request, command)
			h.sent = append(h.sent, command)
		case scatter.Abort:
			h.aborted[command.Attempt] = true
		case scatter.Respond:
			_, twice := h.results[command.Request]
			require.False(h.t, twice, "a request is answered twice")
			h.results[command.Request] = command.Result
		case scatter.Dropped:
			h.dropped[command.Request] = true
		case scatter.Part:
			h.requireOpen(command.Request, command)
			h.parts[command.Request] = append(h.parts[command.Request], command)
		case scatter.Overdue:
			h.requireOpen(command.Request, command)
			h.overdue[command.Request] = command.Result
		case scatter.Claim:
			h.requireOpen(command.Request, command)
			h.requireTimeLeft(command.Request, command)
			h.claims = append(h.claims, command)
		case scatter.LogServer:
			h.logged = append(h.logged, command)
		case scatter.Wake:
			h.wake = command.At
		}
	}
}

// requireOpen checks that a command is for a request that has neither been answered nor
// abandoned.
func (h *harness) requireOpen(id scatter.RequestID, command scatter.Command) {
	h.t.Helper()
	if _, answered := h.results[id]; answered || h.dropped[id] {
		require.Fail(h.t, "command for a request that has ended", "request %d: %T", id, command)
	}
}

// requireTimeLeft checks that a command is for a request whose deadline has not passed.
func (h *harness) requireTimeLeft(id scatter.RequestID, command scatter.Command) {
	h.t.Helper()
	require.True(h.t, h.now.Before(h.deadlines[id]), "request %d has no time left: %T", id, command)
}

// advance lets time pass and fires the timers that come due.
func (h *harness) advance(by time.Duration) {
	until := h.now.Add(by)
	for !h.wake.IsZero() && !h.wake.After(until) {
		if h.wake.After(h.now) {
			h.now = h.wake
		}
		h.wake = time.Time{}
		h.step(scatter.TimerFired{})
	}
	h.now = until
	h.step(scatter.TimerFired{})
}

// servers adds a number of servers of a service, named service/0 and so on.
func (h *harness) servers(service string, count int) {
	for number := range count {
		id := service + "/" + strconv.Itoa(number)
		h.step(scatter.ServersChanged{Servers: []scatter.Server{{ID: id, Service: service, Address: id, Zone: "a", Slots: 2}}})
	}
}

func gatherRoute(shards ...string) *routing.Route {
	return &routing.Route{
		Name: "gather", Repeatable: true, Timeout: time.Second, Target: 100 * time.Millisecond,
		MaxAttempts: 2, Shards: shards, TopRecords: 10, LeastShare: 0.5,
	}
}

func singleRoute(repeatable bool) *routing.Route {
	return &routing.Route{
		Name: "single", Repeatable: repeatable, Timeout: time.Second, Target: 200 * time.Millisecond, MaxAttempts: 2,
		Targets: []routing.Target{{Service: "s", Weight: 1}},
	}
}

// arrive submits a request of a route and returns its id.
func (h *harness) arrive(route *routing.Route) scatter.RequestID {
	h.last++
	services := route.Shards
	if !route.Gathers() {
		services = []string{route.ServiceOf("x")}
	}
	arrived := scatter.Arrived{ID: h.last, Route: route, Services: services, Deadline: h.now.Add(route.Timeout)}
	if route.Target > 0 {
		arrived.Due = h.now.Add(route.Target)
	}
	h.step(arrived)
	return h.last
}

func (h *harness) end(send scatter.Send, outcome scatter.Outcome) {
	h.step(scatter.Ended{Attempt: send.Attempt, Outcome: outcome})
}

func good(body string) scatter.Outcome {
	return scatter.Outcome{Verdict: verdict.Ran, Reply: &message.Reply{Status: 200, Body: []byte(body), Stamp: "stamp-" + body}}
}

func failure(kind scatter.Failure, known verdict.Verdict) scatter.Outcome {
	return scatter.Outcome{Failure: kind, Verdict: known}
}

// take removes and returns the recorded sends.
func (h *harness) take() []scatter.Send {
	sent := h.sent
	h.sent = nil
	return sent
}

// result returns the result of a request, which must have ended.
func (h *harness) result(id scatter.RequestID) scatter.Result {
	h.t.Helper()
	result, answered := h.results[id]
	require.True(h.t, answered, "no answer")
	return result
}

func (h *harness) unanswered(id scatter.RequestID) {
	h.t.Helper()
	require.NotContains(h.t, h.results, id)
}
