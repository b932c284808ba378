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
	// behindLogDelay is how long the state must be behind before that is logged.
	behindLogDelay = 300 * time.Millisecond
	// slowSync is the duration from which a write waiting for its sync is reported as the
	// cause.
	slowSync = 100 * time.Millisecond
	// maxLoggedIDs bounds the ids in a log line.
	maxLoggedIDs = 4
)

// stateWatch records since when a node's state is behind the known committed index, and whether
// that was logged.
type stateWatch struct {
	since  time.Time
	logged bool
}

// runStateWatch measures how far this node's state is behind the group's log, and logs when it
// falls behind and when it has caught up.
func (n *Node) runStateWatch(ctx context.Context) {
	var watch stateWatch
	runEvery(ctx, stateWatchInterval, func() { n.watchState(&watch) })
}

func (n *Node) watchState(watch *stateWatch) {
	now, status := steadyclock.Now(), n.status()
	behind := entriesBehind(status)
	n.metrics.behind.Set(float64(behind))
	n.metrics.stateAge.Set(n.stateAge(now).Seconds())
	n.watchAge(now, status)
	if behind == 0 {
		if watch.logged {
			n.logger.WithFields(logrus.Fields{"applied": status.Applied, "for": now.Sub(watch.since)}).Info("state_caught_up")
		}
		*watch = stateWatch{}
		return
	}
	if watch.since.IsZero() {
		watch.since = now
	}
	if watch.logged || now.Sub(watch.since) < behindLogDelay {
		return
	}
	watch.logged = true
	n.logger.WithFields(logrus.Fields{
		"applied": status.Applied, "committed": status.Commit, "entries": behind, "cause": behindCause(status),
		"unsynced_for": status.UnsyncedFor, "state_age": n.stateAge(now), "leader": status.Leader,
	}).Warn("state_behind")
}

// watchAge records whether the state is stale, and notifies the waiting routers if it has
// become so.
func (n *Node) watchAge(now time.Time, status voter.Status) {
	age := n.stateAge(now)
	stale := age > StaleAfter
	if n.stale.Swap(stale) == stale {
		return
	}
	entry := n.logger.WithFields(logrus.Fields{
		"state_age": age, "applied": status.Applied, "committed": status.Commit, "leader": status.Leader, "unsynced_for": status.UnsyncedFor,
	})
	if !stale {
		entry.Info("state_fresh")
		return
	}
	n.metrics.staleTransitions.Inc()
	entry.Warn("state_stale")
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.notifyRouters()
}

func entriesBehind(status voter.Status) uint64 {
	return status.Commit - min(status.Commit, status.Applied)
}

// behindCause names the cause of a node's state being behind.
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

// stateAge returns the time since the node's state was last known to hold everything
// acknowledged, or since the node's start if it never was.
func (n *Node) stateAge(now time.Time) time.Duration {
	confirmed := n.lastConfirmed.Load()
	if confirmed == nil || confirmed.machine != n.member.state() {
		return now.Sub(n.started)
	}
	return now.Sub(confirmed.asOf)
}

// reportDocument reports the version of the document that the state holds, logs it if it differs
// from the last reported one, and returns it.
func (n *Node) reportDocument(version, reported uint64) uint64 {
	n.metrics.version.Set(float64(version))
	if version == reported {
		return version
	}
	status := n.status()
	n.logger.WithFields(logrus.Fields{
		"version": version, "applied": status.Applied, "committed": status.Commit, "leader": status.Leader, "term": status.Term,
	}).Info("document_applied")
	return version
}

// logDepartures logs the departures that the state has applied, and at which index.
func (n *Node) logDepartures(ids []string, names []registry.NameDeparture) {
	if len(ids)+len(names) == 0 {
		return
	}
	status := n.status()
	n.logger.WithFields(logrus.Fields{
		"departures": len(ids), "names": len(names), "some": strings.Join(lo.Slice(ids, 0, maxLoggedIDs), " "),
		"applied": status.Applied, "committed": status.Commit,
	}).Info("departures_applied")
}
