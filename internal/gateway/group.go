package gateway

import (
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Directions of calls that reached another process than the one that they were meant for.
const (
	directionReceived = "received"
	directionSent     = "sent"
)

// group returns that of the directory nodes; 0 until one told.
func (g *Gateway) group() addressee.Group { return addressee.Group(g.knownGroup.Load()) }

// joinGroup takes in the group of the node that is followed. A router that knows its group keeps
// it.
func (g *Gateway) joinGroup(group addressee.Group, node string) {
	if group != 0 && g.knownGroup.CompareAndSwap(0, uint64(group)) {
		g.logger.WithFields(logrus.Fields{"group": group, "directory": node}).Info("group_joined")
	}
}

// seedsToName returns the seeds as long as the router knows no group, for nodes of another one to
// refuse it: an address of a seed may have passed to them.
func (f *follower) seedsToName() []string {
	if f.gateway.group() != 0 {
		return nil
	}
	return f.gateway.seedList()
}

// checkGroup returns a *addressee.MisdirectedError for a directory node of another group, whose
// documents, servers and orders are not those of this router.
func (f *follower) checkGroup(group addressee.Group, node string) error {
	own := f.gateway.group()
	if !own.Differs(group) {
		return nil
	}
	err := &addressee.MisdirectedError{Expected: addressee.Identity{Group: own}, Found: addressee.Identity{Group: group}}
	f.gateway.noteAnswer(err)
	return errors.Wrap(err, node)
}

// identity is this router as others know it.
func (g *Gateway) identity() addressee.Identity {
	return addressee.Identity{Group: g.group(), Name: g.config.Name}
}

// noteMisdirected tells of a call that this router got in the place of another process.
func (g *Gateway) noteMisdirected(refused *addressee.MisdirectedError) {
	g.tellMisdirected(directionReceived, refused)
}

// noteAnswer tells of a call that another process answered than the one that was meant, if an
// error says so.
func (g *Gateway) noteAnswer(err error) {
	var misdirected *addressee.MisdirectedError
	if errors.As(err, &misdirected) {
		g.tellMisdirected(directionSent, misdirected)
	}
}

func (g *Gateway) tellMisdirected(direction string, call *addressee.MisdirectedError) {
	g.metrics.misdirected.WithLabelValues(direction).Inc()
	leftOut, tells := g.misdirected.Take(steadyclock.Now())
	if !tells {
		return
	}
	g.logger.WithFields(logrus.Fields{
		"direction": direction, "expected": call.Expected.Name, "expected_group": call.Expected.Group,
		"found": call.Found.Name, "found_group": call.Found.Group, "refused": call.Refused, "left_out": leftOut,
	}).Warn("call_misdirected")
}
