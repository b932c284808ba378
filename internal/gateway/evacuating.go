package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Times of moving requests out of an evacuated zone and back.
const (
	// evacuationShare is the part of Config.EvacuateWithin over which the services of an
	// evacuated zone are moved one after the other; the rest is for the order to reach this
	// router.
	evacuationShare = 0.4
	// evacuationInterval is how often routers recompute the gatherers during an evacuation.
	evacuationInterval = 200 * time.Millisecond
)

// applyEvacuations applies the set of evacuated zones. A router that has just reconnected or
// changed its directory node can't tell how old the order is, and applies it at once.
func (f *follower) applyEvacuations(reply directory.FollowReply, reconnected bool) {
	now := steadyclock.Now()
	newer := reply.EvacuationRevision > f.request.EvacuationRevision
	if newer {
		duration := time.Duration(evacuationShare * float64(f.gateway.config.EvacuateWithin))
		if reconnected || reply.Source != f.request.Source {
			duration = 0
		}
		f.request.EvacuationRevision = reply.EvacuationRevision
		f.evacuated = f.evacuated.Update(now, reply.Evacuated, duration)
		f.logEvacuations(reply.EvacuationRevision, duration)
	}
	if newer || f.evacuating {
		f.gateway.peers.setEvacuated(f.evacuated)
		f.gateway.loop.events <- scatter.ZonesEvacuated{View: f.evacuated}
	}
	f.evacuating = f.evacuated.Moving(now)
}

// logEvacuations logs the evacuated zones and updates their metric.
func (f *follower) logEvacuations(revision uint64, duration time.Duration) {
	zones := f.evacuated.Zones()
	f.gateway.metrics.evacuated.Set(float64(len(zones)))
	f.gateway.logger.WithFields(logrus.Fields{"revision": revision, "zones": zones, "over": duration}).Info("evacuations_changed")
}
