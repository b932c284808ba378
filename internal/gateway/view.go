package gateway

import (
	"strings"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// view says by which directory node's word a router goes, and how old that word is.
type view struct {
	node, source string
	// at is when the node's state held all that had been acknowledged; zero if no node told.
	at time.Time
}

// viewOf returns the view that a reply to a call gives, which was sent at a time.
func viewOf(node string, asked time.Time, reply directory.FollowReply) view {
	taken := view{node: node, source: reply.Source}
	if reply.Fresh != nil {
		taken.at = asked.Add(*reply.Fresh)
	}
	return taken
}

// age is how old what the router knows is at most; from is when that is counted from where no
// node told.
func (v view) age(now, from time.Time) time.Duration {
	if v.at.IsZero() {
		return now.Sub(from)
	}
	return now.Sub(v.at)
}

// viewed returns the present view.
func (g *Gateway) viewed() view {
	if held := g.view.Load(); held != nil {
		return *held
	}
	return view{}
}

// viewAge is how old what this router knows of servers is at most.
func (g *Gateway) viewAge(now time.Time) time.Duration { return g.viewed().age(now, g.started) }

// takeView takes in whose word the router goes by, and logs when that is another node's.
func (f *follower) takeView(taken view) {
	before := f.gateway.viewed()
	if taken.at.Before(before.at) {
		taken.at = before.at
	}
	f.gateway.view.Store(&taken)
	if taken.source == before.source {
		return
	}
	now := steadyclock.Now()
	f.gateway.metrics.directoryChanges.Inc()
	f.gateway.logger.WithFields(logrus.Fields{
		"directory": taken.node, "source": taken.source, "before": before.node,
		"view_age": taken.age(now, f.gateway.started), "view_age_before": before.age(now, f.gateway.started),
	}).Info("directory_followed")
}

// maxDeparturesTold bounds the ids that a line about departures names.
const maxDeparturesTold = 4

// tellDepartures logs which departures were taken in, and from whom.
func (f *follower) tellDepartures(ids []string, from view) {
	if len(ids) == 0 {
		return
	}
	f.gateway.metrics.departures.Add(float64(len(ids)))
	f.gateway.logger.WithFields(logrus.Fields{
		"departures": len(ids), "some": strings.Join(lo.Slice(ids, 0, maxDeparturesTold), " "),
		"directory": from.node, "view_age": from.age(steadyclock.Now(), f.gateway.started),
	}).Info("departures_taken")
}
