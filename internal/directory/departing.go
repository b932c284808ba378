package directory

import (
	"context"
	"time"

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
	if instance.State != registry.Leaving && !n.mayRegister(ctx, instance) {
		return errors.Wrap(ErrUnavailable, "the state is not confirmed: a new start can't be told from one that left")
	}
	n.report(instance)
	if instance.State == registry.Leaving {
		return n.Depart(ctx, registry.NameOf(instance.ID), instance.Born)
	}
	return nil
}

// mayRegister reports whether a heartbeat can be taken in. A departure that names no start
// holds for those that were heard of before it: before a new start of a server that keeps its name
// is taken in, this node's state has to hold each departure that was acknowledged.
func (n *Node) mayRegister(ctx context.Context, instance registry.Instance) bool {
	if instance.Born == 0 {
		return true // Its id is never used again.
	}
	n.mutex.Lock()
	known := n.registry.Knows(instance.ID)
	n.mutex.Unlock()
	return known || n.awaitFresh(ctx, steadyclock.Now())
}

// Depart takes in that a server leaves or is gone: its start at a time, ms since 1970 by its own
// clock, or with 0 every start that was heard of before. It is acknowledged like leaving in
// Heartbeat; without a start only where one is known, since what nobody has heard of can't be told
// from a later start.
func (n *Node) Depart(ctx context.Context, name string, born int64) error {
	message, done := n.departure(name, born)
	if done {
		return nil
	}
	began := steadyclock.Now()
	if message.Name != "" && !message.Known {
		n.askHeard(ctx, &message)
	}
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
		message = departMessage{ID: name, Starts: lo.Without(starts, name), Name: name, Known: n.knows(name)}
		// A name that is an id of its own is never used again.
		return message, applied.hasDeparted(name) && len(starts) == 1 && starts[0] == name
	}
	message = departMessage{ID: registry.LifeID(name, born), Start: &departedStart{Name: name, Born: born}}
	message.Starts = n.registry.Former(message.ID)
	if !lo.Contains(starts, message.ID) {
		// Its heartbeats, if there are any, may have named no start.
		message.Starts = []string{name}
	}
	return message, applied.hasDeparted(message.ID)
}

// knows reports whether a departure of a server that names no start can be told from a later
// start. That servers don't keep their names shows once all had time to announce themselves. The
// caller holds the mutex.
func (n *Node) knows(name string) bool {
	return n.registry.Heard(steadyclock.Now(), name) || n.settled && !n.registry.KeepNames()
}

// heardTimeout bounds the call by which a node asks the others for the starts of a server.
const heardTimeout = 250 * time.Millisecond

// heardRequest asks a node whether it has heard of a server.
type heardRequest struct {
	Name string `json:"name"`
}

// heardReply says whether a node has heard of a server, and of which of its starts.
type heardReply struct {
	Heard  bool     `json:"heard"`
	Starts []string `json:"starts,omitempty"`
}

// heard answers another node that was told of the departure of a server that it has not heard of.
func (n *Node) heard(asked heardRequest) heardReply {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return heardReply{Heard: n.registry.Heard(steadyclock.Now(), asked.Name), Starts: n.registry.Starts(asked.Name)}
}

// askHeard asks all other nodes at once for the starts of a server and adds them to its departure: a
// heartbeat that one of them has acknowledged is shared with this one only a while later.
func (n *Node) askHeard(ctx context.Context, message *departMessage) {
	others := n.peerAddresses()
	replies := make(chan heardReply, len(others))
	calling, cancel := context.WithTimeout(ctx, heardTimeout)
	defer cancel()
	for _, address := range others {
		go func() {
			var reply heardReply
			if err := n.peers.call(calling, address, pathHeard, heardRequest{Name: message.Name}, &reply); err != nil {
				n.logger.WithField("node", address).WithField("instance", message.Name).WithField("reason", err).Info("starts_not_told")
			}
			replies <- reply
		}()
	}
	for range others {
		reply := <-replies
		message.Known = message.Known || reply.Heard
		message.Starts = lo.Uniq(append(message.Starts, lo.Without(reply.Starts, message.ID)...))
	}
}

// departHere is Depart at the leader, which adds the starts that it knows of.
func (n *Node) departHere(ctx context.Context, message departMessage) error {
	if !n.mayAcknowledge() {
		return errNotFormed
	}
	departed, known := n.departedBy(message)
	_, err := n.propose(ctx, departed)
	if err == nil && !known {
		return errNotHeard
	}
	return err
}

// departedBy returns what a departure binds by what the leader knows as well, and whether the server
// is known.
func (n *Node) departedBy(message departMessage) (departed command, known bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	ids, known := append([]string{message.ID}, message.Starts...), true
	if message.Name != "" {
		departed.Names = []string{message.Name}
		ids = append(ids, n.registry.Starts(message.Name)...)
		known = message.Known || n.knows(message.Name)
	}
	if message.Start != nil {
		departed.Starts = []departedStart{*message.Start}
		ids = append(ids, n.registry.Former(message.ID)...)
	}
	departed.Departures = lo.Uniq(ids)
	return departed, known
}

// errNotHeard is an ErrUnavailable: what is known to routers of the server leaves, but a heartbeat
// that is still to come would be taken for one of a new start.
var errNotHeard = &refusedError{detail: "no node that answers has heard of the server"}
