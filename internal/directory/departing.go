package directory

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Heartbeat takes in what a server says of itself. Leaving is acknowledged, by a nil error, only
// once a quorum has it; else the error is ErrUnavailable, as it is for a start that this node
// can't tell from one that left.
func (n *Node) Heartbeat(ctx context.Context, instance registry.Instance) error {
	if instance.State != registry.Leaving && !n.mayRegister(instance) {
		return errors.Wrap(ErrUnavailable, "the state is out of date: a new start can't be told from one that left")
	}
	n.report(instance)
	if instance.State == registry.Leaving {
		return n.Depart(ctx, registry.NameOf(instance.ID), instance.Born)
	}
	return nil
}

// mayRegister reports whether a heartbeat can be taken in. A departure that names no start
// holds for those that were heard of before it; where this node's state is out of date, it may
// lack a departure that came before a new start of the same server.
func (n *Node) mayRegister(instance registry.Instance) bool {
	if instance.Born == 0 {
		return true // Its id is never used again.
	}
	n.mutex.Lock()
	known := n.registry.Knows(instance.ID)
	n.mutex.Unlock()
	return known || n.freshSince(n.member.state(), steadyclock.Now()) > -StaleAfter
}

// Depart takes in that a server leaves or is gone: its start at a time, ms since 1970 by its own
// clock, or with 0 every start that was heard of before. It is acknowledged like leaving in
// Heartbeat.
func (n *Node) Depart(ctx context.Context, name string, born int64) error {
	message, done := n.departure(name, born)
	if done {
		return nil
	}
	began := steadyclock.Now()
	err := n.atLeader(ctx, func(ctx context.Context) error { return n.departHere(ctx, message) }, pathDepart, message, nil)
	n.record("depart", began, err, logrus.Fields{"instance": message.ID, "starts": message.Starts})
	return err
}

// departure returns what has to be recorded for a server to leave, or that it is recorded.
func (n *Node) departure(name string, born int64) (message departMessage, done bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	applied, starts := n.member.state(), n.registry.Starts(name)
	if born == 0 {
		message = departMessage{ID: name, Starts: lo.Without(starts, name), Name: name}
		// A name that is an id of its own is never used again.
		return message, applied.hasDeparted(name) && len(starts) == 1 && starts[0] == name
	}
	message = departMessage{ID: registry.LifeID(name, born)}
	if !lo.Contains(starts, message.ID) {
		// Its heartbeats, if there are any, may have named no start.
		message.Starts = []string{name}
	}
	return message, applied.hasDeparted(message.ID)
}

// departHere is Depart at the leader, which adds the starts that it knows of.
func (n *Node) departHere(ctx context.Context, message departMessage) error {
	if !n.mayAcknowledge() {
		return errNotFormed
	}
	ids := append([]string{message.ID}, message.Starts...)
	var names []string
	if message.Name != "" {
		names = []string{message.Name}
		n.mutex.Lock()
		ids = append(ids, n.registry.Starts(message.Name)...)
		n.mutex.Unlock()
	}
	_, err := n.propose(ctx, command{Departures: lo.Uniq(ids), Names: names})
	return err
}
