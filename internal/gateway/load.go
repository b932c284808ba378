package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

const (
	// loadFollowWait is how long a node holds a follow call while the router has services to
	// report or holds a view. Beyond loadFollowRouters routers it is longer by
	// loadFollowWaitPerRouter for each, so that the nodes get at most 2,000 calls a second.
	loadFollowWait          = 250 * time.Millisecond
	loadFollowWaitPerRouter = 500 * time.Microsecond
	loadFollowRouters       = 500
	// loadLineInterval is the least time between two log lines about changed views: under a
	// shortage, a view is published up to four times a second.
	loadLineInterval = time.Second
)

// loadState is what a router knows of the load of the site. It is safe for concurrent use.
type loadState struct {
	demand *demandMeter
	// held is the view received last; nil for none.
	held atomic.Pointer[loadview.Held]
	// nextLine is when a changed view may be logged again. conditions are the servers in trouble
	// of the view received last. Only the follower's goroutine uses them.
	nextLine   time.Time
	conditions map[string]loadview.ServerState
}

func newLoadState(now time.Time) *loadState { return &loadState{demand: newDemandMeter(now)} }

// heldView returns the view received last; the zero value for none.
func (l *loadState) heldView() loadview.Held {
	if held := l.held.Load(); held != nil {
		return *held
	}
	return loadview.Held{}
}

// age returns the age of the figures; 0 without a view or if it has no entries.
func (l *loadState) age(now time.Time) time.Duration {
	held := l.heldView()
	if held.View.Empty() {
		return 0
	}
	return now.Sub(held.At)
}

// followWait returns how long a node may hold the next follow call. A view whose figures have
// become too old, as without a leader, is no reason for shorter calls.
func (l *loadState) followWait(now time.Time, report *loadview.Report, routers int) time.Duration {
	held := l.heldView()
	if (report == nil || len(report.Services) == 0) && (held.View.Empty() || held.Weight(now) == 0) {
		return followWait
	}
	return min(followWait, loadInterval(routers))
}

// loadInterval returns the interval of reports under load.
func loadInterval(routers int) time.Duration {
	return loadFollowWait + time.Duration(max(0, routers-loadFollowRouters))*loadFollowWaitPerRouter
}

// reportsTrouble reports whether a report names servers in trouble.
func reportsTrouble(report *loadview.Report) bool {
	return report != nil && lo.SomeBy(report.Services, func(s loadview.ServiceReport) bool { return len(s.Servers) > 0 })
}

// refreshReport replaces the report of the follow call that is under way if servers have come into
// trouble since it was sent, and reports whether it did: with a call that a node holds for
// followWait, other routers would know of them too late.
func (f *follower) refreshReport(ctx context.Context) bool {
	if f.request.Load == nil || reportsTrouble(f.request.Load) {
		return false
	}
	report := f.gateway.loadReport(ctx)
	if !reportsTrouble(report) {
		return false
	}
	f.request.Load = report
	return true
}

// loadReport returns what this router observed. Without reports it is empty, because a node sends
// no view to a router that reports nothing, and nil if no part of the router needs the view.
func (g *Gateway) loadReport(ctx context.Context) *loadview.Report {
	parts := g.config.Parts
	switch {
	case parts.LoadReports:
	case parts.Admission || parts.SharedConditions:
		return &loadview.Report{}
	default:
		return nil
	}
	observed := g.loop.observedLoad(ctx)
	report := &loadview.Report{Services: observed.Services, Heard: observed.Heard, Troubled: observed.Troubled}
	report.Routes, report.Tenants = g.load.demand.report(steadyclock.Now(), observed.Work)
	return report
}

// observedLoad returns what the engine observed; the zero value if the context has ended.
func (l *loop) observedLoad(ctx context.Context) scatter.EngineLoad {
	observed := make(chan scatter.EngineLoad, 1)
	select {
	case l.loadRequests <- observed:
	case <-ctx.Done():
		return scatter.EngineLoad{}
	}
	select {
	case load := <-observed:
		return load
	case <-ctx.Done():
		return scatter.EngineLoad{}
	}
}

// applyLoad holds the view of a reply to a call that was sent at sentAt, if it is newer than the
// one that is held. A view without entries ends the effect of the previous one.
func (f *follower) applyLoad(reply directory.FollowReply, sentAt time.Time) {
	if reply.Load == nil || reply.LoadAt == nil {
		return
	}
	load, now := f.gateway.load, steadyclock.Now()
	before := load.heldView()
	if !reply.Load.Newer(before.View) {
		return
	}
	// Figures that claim to be of the future would not expire.
	at := sentAt.Add(*reply.LoadAt)
	if at.After(now) {
		at = now
	}
	load.held.Store(&loadview.Held{View: *reply.Load, At: at})
	f.request.LoadTerm, f.request.LoadRevision = reply.Load.Term, reply.Load.Revision
	load.demand.setShort(now, reply.Load.Routes)
	conditions := conditionsOf(reply.Load)
	if f.gateway.config.Parts.SharedConditions {
		f.gateway.loop.events <- scatter.ConditionsShared{At: at, Servers: conditions}
	}
	f.logView(now, before, conditions)
	load.conditions = conditions
}

// conditionsOf returns the servers in trouble of a view, by id.
func conditionsOf(view *loadview.View) map[string]loadview.ServerState {
	conditions := make(map[string]loadview.ServerState)
	for _, service := range view.Services {
		for _, server := range service.Servers {
			conditions[server.ID] = server
		}
	}
	return conditions
}

// logView logs that a new view is held, at most once in loadLineInterval, and the servers that are
// in trouble since this view or in another condition than before, at most maxLoggedItems.
func (f *follower) logView(now time.Time, before loadview.Held, conditions map[string]loadview.ServerState) {
	load, logger := f.gateway.load, f.gateway.logger
	held := load.heldView()
	if before.View.Empty() && held.View.Empty() {
		return
	}
	if !now.Before(load.nextLine) || held.View.Empty() {
		load.nextLine = now.Add(loadLineInterval)
		logger.WithFields(logrus.Fields{
			"term": held.View.Term, "revision": held.View.Revision, "routes": len(held.View.Routes), "services": len(held.View.Services),
			"tenants": len(held.View.Tenants), "load_age": now.Sub(held.At), "directory": f.node,
		}).Info("load_view_changed")
	}
	lines := 0
	for id, server := range conditions {
		if known, ok := load.conditions[id]; ok && known.Condition == server.Condition {
			continue
		}
		if lines++; lines > maxLoggedItems {
			return
		}
		logger.WithFields(logrus.Fields{
			"server": id, "condition": server.Condition.String(), "pace": server.Pace, "refusals": server.Refusals, "observed_ago": server.Age,
		}).Info("server_shared")
	}
}
