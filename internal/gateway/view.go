package gateway

import (
	"strings"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// view tells which directory node a router's knowledge comes from, and how old it is.
type view struct {
	node, source string
	// at is when the node's state contained everything acknowledged; zero if no node has
	// reported it.
	at time.Time
}

// viewOf returns the view given by a reply to a call that was sent at sentAt.
func viewOf(node string, sentAt time.Time, reply directory.FollowReply) view {
	newView := view{node: node, source: reply.Source}
	if reply.Fresh != nil {
		newView.at = sentAt.Add(*reply.Fresh)
	}
	return newView
}

// age returns the greatest possible age of the view; it is counted from the second time if no
// node has reported one.
func (v view) age(now, from time.Time) time.Duration {
	if v.at.IsZero() {
		return now.Sub(from)
	}
	return now.Sub(v.at)
}

// currentView returns the current view.
func (g *Gateway) currentView() view {
	if held := g.view.Load(); held != nil {
		return *held
	}
	return view{}
}

// viewAge returns the greatest possible age of this router's knowledge of servers.
func (g *Gateway) viewAge(now time.Time) time.Duration { return g.currentView().age(now, g.started) }

// updateView stores a new view, and logs a change of the source.
func (f *follower) updateView(newView view) {
	before := f.gateway.currentView()
	if newView.at.Before(before.at) {
		newView.at = before.at
	}
	f.gateway.view.Store(&newView)
	if newView.source == before.source {
		return
	}
	now := steadyclock.Now()
	f.gateway.metrics.directoryChanges.Inc()
	f.gateway.logger.WithFields(logrus.Fields{
		"directory": newView.node, "source": newView.source, "before": before.node,
		"view_age": newView.age(now, f.gateway.started), "view_age_before": before.age(now, f.gateway.started),
	}).Info("directory_followed")
}

// maxLoggedDepartures bounds the ids in a log line about departures.
const maxLoggedDepartures = 4

// logDepartures logs which departures were applied, and from which node.
func (f *follower) logDepartures(ids []string, from view) {
	if len(ids) == 0 {
		return
	}
	f.gateway.metrics.departures.Add(float64(len(ids)))
	f.gateway.logger.WithFields(logrus.Fields{
		"departures": len(ids), "some": strings.Join(lo.Slice(ids, 0, maxLoggedDepartures), " "),
		"directory": from.node, "view_age": from.age(steadyclock.Now(), f.gateway.started),
	}).Info("departures_taken")
}
