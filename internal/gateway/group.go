package gateway

import (
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Directions of misdirected calls, which reached another process than the intended one.
const (
	directionReceived = "received"
	directionSent     = "sent"
)

// group returns the group of the directory nodes; 0 until a node has reported it.
func (g *Gateway) group() addressee.Group { return addressee.Group(g.knownGroup.Load()) }

// joinGroup adopts the group of the followed node. A router that knows its group keeps it.
func (g *Gateway) joinGroup(group addressee.Group, node string) {
	if group != 0 && g.knownGroup.CompareAndSwap(0, uint64(group)) {
		g.logger.WithFields(logrus.Fields{"group": group, "directory": node}).Info("group_joined")
	}
}

// seedsToSend returns the seeds while the router knows no group. Nodes of another group, which
// may have taken over the address of a seed, refuse a router by them.
func (f *follower) seedsToSend() []string {
	if f.gateway.group() != 0 {
		return nil
	}
	return f.gateway.seedList()
}

// checkGroup returns a *addressee.MisdirectedError if a directory node belongs to another
// group, whose documents, servers and orders must not be applied.
func (f *follower) checkGroup(group addressee.Group, node string) error {
	own := f.gateway.group()
	if !own.Differs(group) {
		return nil
	}
	err := &addressee.MisdirectedError{Expected: addressee.Identity{Group: own}, Found: addressee.Identity{Group: group}}
	f.gateway.recordMisdirectedAnswer(err)
	return errors.Wrap(err, node)
}

// identity returns the identity of this router in calls between processes.
func (g *Gateway) identity() addressee.Identity {
	return addressee.Identity{Group: g.group(), Name: g.config.Name}
}

// recordMisdirected records a call that this router received in place of another process.
func (g *Gateway) recordMisdirected(refused *addressee.MisdirectedError) {
	g.logMisdirected(directionReceived, refused)
}

// recordMisdirectedAnswer records a call that the wrong process answered, if err says so.
func (g *Gateway) recordMisdirectedAnswer(err error) {
	var misdirected *addressee.MisdirectedError
	if errors.As(err, &misdirected) {
		g.logMisdirected(directionSent, misdirected)
	}
}

func (g *Gateway) logMisdirected(direction string, call *addressee.MisdirectedError) {
	g.metrics.misdirected.WithLabelValues(direction).Inc()
	omitted, allowed := g.misdirectedLines.Allow(steadyclock.Now())
	if !allowed {
		return
	}
	g.logger.WithFields(logrus.Fields{
		"direction": direction, "expected": call.Expected.Name, "expected_group": call.Expected.Group,
		"found": call.Found.Name, "found_group": call.Found.Group, "refused": call.Refused, "left_out": omitted,
	}).Warn("call_misdirected")
}
