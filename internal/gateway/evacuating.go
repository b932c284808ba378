package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Times of moving requests out of a zone that is evacuated, and back.
const (
	// evacuationPart of the time within which nothing may go to an evacuated zone any
	// more is taken for its services to leave one after the other; the rest is for the
	// order to come here.
	evacuationPart = 0.4
	// evacuationStep is how often routers work out anew who gathers meanwhile.
	evacuationStep = 200 * time.Millisecond
)

// takeEvacuations takes in which zones are evacuated. A router that heard nothing for a
// while, or that heard it from another node, can't tell how old the order is, and carries
// it out at once.
func (f *follower) takeEvacuations(reply directory.FollowReply, regained bool) {
	now := steadyclock.Now()
	newer := reply.Evacuations > f.request.Evacuations
	if newer {
		over := time.Duration(evacuationPart * float64(f.gateway.config.EvacuateWithin))
		if regained || reply.Whole {
			over = 0
		}
		f.request.Evacuations = reply.Evacuations
		f.evacuated = f.evacuated.Take(now, reply.Evacuated, over)
		f.tellEvacuated(reply.Evacuations, over)
	}
	if newer || f.moving {
		f.gateway.peers.setEvacuated(f.evacuated)
		f.gateway.loop.events <- scatter.ZonesEvacuated{View: f.evacuated}
	}
	f.moving = f.evacuated.Moving(now)
}

// tellEvacuated logs and counts the zones that are evacuated.
func (f *follower) tellEvacuated(revision uint64, over time.Duration) {
	zones := f.evacuated.Zones()
	f.gateway.metrics.evacuated.Set(float64(len(zones)))
	f.gateway.logger.WithFields(logrus.Fields{"revision": revision, "zones": zones, "over": over}).Info("evacuations_changed")
}
