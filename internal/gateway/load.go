package gateway

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

const (
	// loadFollowWait is how long a node holds a follow call while the held view is short. Beyond loadFollowRouters routers it is longer by
	// loadFollowWaitPerRouter for each, so that the nodes get at most 2,000 calls a second.
	loadFollowWait          = 250 * time.Millisecond
	loadFollowWaitPerRouter = 500 * time.Microsecond
	loadFollowRouters       = 500
	// refreshMinInterval is the minimum time between two follow calls that replace a held one.
	refreshMinInterval = 400 * time.Millisecond
	// loadLineInterval is the least time between two log lines about changed views: under a
	// shortage, a view is published up to four times a second.
	loadLineInterval = time.Second
)

// loadState is what a router knows of the load of the site. It is safe for concurrent use.
type loadState struct {
	demand *demandMeter
	// held is the view received last; nil for none.
	held atomic.Pointer[loadview.Held]
	// nextLine is when a changed view may be logged again. logged are the servers in trouble of
	// the view logged last. Only the follower's goroutine uses them.
	nextLine time.Time
	logged   map[string]loadview.ServerState
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

// followWait returns how long a node may hold the next follow call. Demand changes fast while a
// route is short; servers that come into trouble are reported at once (refreshReport). A view whose
// figures have become too old, as without a leader, is no reason for shorter calls.
func (l *loadState) followWait(now time.Time, routers int) time.Duration {
	held := l.heldView()
	if !held.View.Short() || held.Weight(now) == 0 {
		return followWait
	}
	return min(followWait, loadInterval(routers))
}

// loadInterval returns the interval of reports under load.
func loadInterval(routers int) time.Duration {
	return loadFollowWait + time.Duration(max(0, routers-loadFollowRouters))*loadFollowWaitPerRouter
}

// refreshReport replaces the report of the follow call that is under way if servers have come into
// trouble since it was sent, and reports whether it did: with a call that a node holds for
// followWait, other routers would know of them too late. Each such call needs a new connection, so
// that they are refreshMinInterval apart.
func (f *follower) refreshReport(ctx context.Context) bool {
	now := steadyclock.Now()
	if f.request.Load == nil || now.Sub(f.refreshedAt) < refreshMinInterval {
		return false
	}
	report := f.gateway.loadReport(ctx)
	if report == nil || !report.NamesMore(f.request.Load) {
		return false
	}
	f.request.Load, f.refreshedAt = report, now
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

// logView logs that a new view is held, at most once in loadLineInterval, with the number of servers
// in trouble by condition and the names of some that have come into trouble since the last line.
func (f *follower) logView(now time.Time, before loadview.Held, conditions map[string]loadview.ServerState) {
	load := f.gateway.load
	held := load.heldView()
	if before.View.Empty() && held.View.Empty() || now.Before(load.nextLine) && !held.View.Empty() {
		return
	}
	load.nextLine = now.Add(loadLineInterval)
	counts := make(map[loadview.Condition]int)
	var some []string
	for id, server := range conditions {
		counts[server.Condition]++
		if load.logged[id].Condition != server.Condition && len(some) < maxLoggedItems {
			some = append(some, id+":"+server.Condition.String())
		}
	}
	load.logged = conditions
	f.gateway.logger.WithFields(logrus.Fields{
		"term": held.View.Term, "revision": held.View.Revision, "routes": len(held.View.Routes), "services": len(held.View.Services),
		"tenants": len(held.View.Tenants), "load_age": now.Sub(held.At), "directory": f.node, "slow": counts[loadview.Slow],
		"refusing": counts[loadview.Refusing], "silent": counts[loadview.Silent], "some": strings.Join(some, " "),
	}).Info("load_view_changed")
}
