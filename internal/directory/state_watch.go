package directory

import (
	"context"
	"strings"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/voter"
)

const (
	// stateWatchInterval is how often a node compares its state with the group's log.
	stateWatchInterval = 50 * time.Millisecond
	// behindTold is for how long the state has to be behind until a line says so.
	behindTold = 300 * time.Millisecond
	// slowSync is from when on a write that waits for its sync is what holds the state up.
	slowSync = 100 * time.Millisecond
	// maxTold bounds the ids that a line names.
	maxTold = 4
)

// stateWatch is since when a node's state is behind what it knows to be committed.
type stateWatch struct {
	since time.Time
	told  bool
}

// runStateWatch measures how far this node's state is behind the group's log, and logs when it
// falls behind and when it has caught up.
func (n *Node) runStateWatch(ctx context.Context) {
	var watch stateWatch
	every(ctx, stateWatchInterval, func() { n.watchState(&watch) })
}

func (n *Node) watchState(watch *stateWatch) {
	now, status := steadyclock.Now(), n.status()
	behind := entriesBehind(status)
	n.metrics.behind.Set(float64(behind))
	n.metrics.stateAge.Set(n.stateAge(now).Seconds())
	n.watchAge(now, status)
	if behind == 0 {
		if watch.told {
			n.logger.WithFields(logrus.Fields{"applied": status.Applied, "for": now.Sub(watch.since)}).Info("state_caught_up")
		}
		*watch = stateWatch{}
		return
	}
	if watch.since.IsZero() {
		watch.since = now
	}
	if watch.told || now.Sub(watch.since) < behindTold {
		return
	}
	watch.told = true
	n.logger.WithFields(logrus.Fields{
		"applied": status.Applied, "committed": status.Commit, "entries": behind, "cause": behindCause(status),
		"unsynced_for": status.UnsyncedFor, "state_age": n.stateAge(now), "leader": status.Leader,
	}).Warn("state_behind")
}

// watchAge takes in whether the state is out of date, and wakes the routers that wait here if it
// has become so.
func (n *Node) watchAge(now time.Time, status voter.Status) {
	age := n.stateAge(now)
	stale := age > StaleAfter
	if n.stale.Swap(stale) == stale {
		return
	}
	told := n.logger.WithFields(logrus.Fields{
		"state_age": age, "applied": status.Applied, "committed": status.Commit, "leader": status.Leader, "unsynced_for": status.UnsyncedFor,
	})
	if !stale {
		told.Info("state_fresh")
		return
	}
	n.metrics.staleTimes.Inc()
	told.Warn("state_stale")
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.announce()
}

func entriesBehind(status voter.Status) uint64 {
	return status.Commit - min(status.Commit, status.Applied)
}

// behindCause names what holds a node's state up.
func behindCause(status voter.Status) string {
	switch {
	case status.DiskError != nil:
		return "disk_failed"
	case status.UnsyncedFor > slowSync:
		return "disk_slow"
	case status.Leader == 0 && status.Role != consensus.Leader:
		return "no_leader"
	}
	return "applying"
}

// stateAge is how long ago the node's state was last known to hold all that was acknowledged;
// since the node's start if it never was.
func (n *Node) stateAge(now time.Time) time.Duration {
	held := n.confirmed.Load()
	if held == nil || held.of != n.member.state() {
		return now.Sub(n.started)
	}
	return now.Sub(held.at)
}

// tellDepartures logs which departures the state took in, at which index.
func (n *Node) tellDepartures(ids []string, names []registry.NameDeparture) {
	if len(ids)+len(names) == 0 {
		return
	}
	status := n.status()
	n.logger.WithFields(logrus.Fields{
		"departures": len(ids), "names": len(names), "some": strings.Join(lo.Slice(ids, 0, maxTold), " "),
		"applied": status.Applied, "committed": status.Commit,
	}).Info("departures_applied")
}
