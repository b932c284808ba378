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

// Heartbeat records a heartbeat of a server. A heartbeat in the leaving state is acknowledged, by a
// nil error, only once a quorum has synced the departure; otherwise the error is ErrUnavailable.
// ErrUnavailable is also returned for an incarnation that this node can't tell from a departed one.
func (n *Node) Heartbeat(ctx context.Context, instance registry.Instance) error {
	if instance.State != registry.Leaving && !n.mayRegister(ctx, instance) {
		return errors.Wrap(ErrUnavailable, "the state is not confirmed: a new start can't be told from one that left")
	}
	n.recordHeartbeat(instance)
	if instance.State == registry.Leaving {
		return n.Depart(ctx, registry.NameOf(instance.ID), instance.StartedAt)
	}
	return nil
}

// mayRegister reports whether a heartbeat can be accepted. A departure that names no incarnation
// applies to the incarnations known before it, so before accepting an unknown incarnation of a
// server that keeps its name, this node's state must include every acknowledged departure.
func (n *Node) mayRegister(ctx context.Context, instance registry.Instance) bool {
	if instance.StartedAt == 0 {
		return true // Its id is never reused.
	}
	n.mutex.Lock()
	known := n.registry.Knows(instance.ID)
	n.mutex.Unlock()
	return known || n.awaitFresh(ctx, steadyclock.Now())
}

// Depart records that a server is leaving or has failed. startTime, in ms since 1970 by the
// server's clock, selects one incarnation; 0 selects all incarnations known so far. It is
// acknowledged like a leaving Heartbeat. With startTime 0 it is acknowledged only if some
// incarnation is known, because an unknown incarnation can't be told from a later one.
func (n *Node) Depart(ctx context.Context, name string, startTime int64) error {
	message, recorded := n.newDeparture(name, startTime)
	if recorded {
		return nil
	}
	receivedAt := steadyclock.Now()
	if message.Name != "" && n.mayMissIncarnations() {
		n.queryIncarnations(ctx, &message)
	}
	err := n.onLeader(ctx, func(ctx context.Context) error { return n.departAsLeader(ctx, message) }, pathDepart, message, nil)
	n.recordOperation("depart", receivedAt, err, logrus.Fields{"instance": message.ID, "starts": message.Starts})
	return err
}

// newDeparture returns the message that records a departure, or recorded if the log already has
// it.
func (n *Node) newDeparture(name string, startTime int64) (message departMessage, recorded bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	state, starts := n.member.state(), n.registry.Incarnations(name)
	if startTime == 0 {
		message = departMessage{ID: name, Starts: lo.Without(starts, name), Name: name, Known: n.knowsServer(name)}
		// A name that is itself an id is never reused.
		return message, state.hasDeparted(name) && len(starts) == 1 && starts[0] == name
	}
	message = departMessage{ID: registry.IncarnationID(name, startTime), Start: &departedIncarnation{Name: name, StartTime: startTime}}
	message.Starts = n.registry.Superseded(message.ID)
	if !lo.Contains(starts, message.ID) {
		// The server's heartbeats, if any, may not have named an incarnation.
		message.Starts = []string{name}
	}
	return message, state.hasDeparted(message.ID)
}

// knowsServer reports whether a departure of a server that names no incarnation can be told from a
// later incarnation. Once the node is settled, the registry shows whether servers keep their names
// at all. The caller holds the mutex.
func (n *Node) knowsServer(name string) bool {
	return n.registry.MayDepart(steadyclock.Now(), name) || n.settled && !n.registry.StableNames()
}

// mayMissIncarnations reports whether another node may know an incarnation of a server that this
// one does not: it shares its table only from time to time, and may be gone before it has.
func (n *Node) mayMissIncarnations() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return !n.settled || n.registry.StableNames()
}

// incarnationsTimeout bounds the query to the other nodes for the known incarnations of a server.
const incarnationsTimeout = 250 * time.Millisecond

// incarnationsRequest asks a node for the incarnations of a server that it knows.
type incarnationsRequest struct {
	Name string `json:"name"`
}

// incarnationsReply reports whether a node knows a server, and which of its incarnations.
type incarnationsReply struct {
	Known  bool     `json:"heard"`
	Starts []string `json:"starts,omitempty"`
}

// knownIncarnations answers another node that received a departure of a server without a start.
func (n *Node) knownIncarnations(request incarnationsRequest) incarnationsReply {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return incarnationsReply{Known: n.registry.MayDepart(steadyclock.Now(), request.Name), Starts: n.registry.Incarnations(request.Name)}
}

// queryIncarnations queries all other nodes concurrently for the incarnations of a server and adds
// them to its departure: a heartbeat acknowledged by another node reaches this one only with the
// next share.
func (n *Node) queryIncarnations(ctx context.Context, message *departMessage) {
	peers := n.peerAddresses()
	replies := make(chan incarnationsReply, len(peers))
	callCtx, cancel := context.WithTimeout(ctx, incarnationsTimeout)
	defer cancel()
	for _, address := range peers {
		go func() {
			var reply incarnationsReply
			if err := n.peers.call(callCtx, address, pathKnownIncarnations, incarnationsRequest{Name: message.Name}, &reply); err != nil {
				n.logger.WithField("node", address).WithField("instance", message.Name).WithField("reason", err).Info("starts_not_told")
			}
			replies <- reply
		}()
	}
	for range peers {
		reply := <-replies
		message.Known = message.Known || reply.Known
		message.Starts = lo.Uniq(append(message.Starts, lo.Without(reply.Starts, message.ID)...))
	}
}

// departAsLeader is Depart at the leader, which adds the incarnations that it knows.
func (n *Node) departAsLeader(ctx context.Context, message departMessage) error {
	if !n.mayAcknowledge() {
		return errNotFormed
	}
	proposed, known := n.departureCommand(message)
	_, err := n.propose(ctx, proposed)
	if err == nil && !known {
		return errUnknownServer
	}
	return err
}

// departureCommand returns the log command for a departure, including the incarnations that the
// leader knows, and whether the server is known.
func (n *Node) departureCommand(message departMessage) (proposed command, known bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	ids, known := append([]string{message.ID}, message.Starts...), true
	if message.Name != "" {
		proposed.Names = []string{message.Name}
		ids = append(ids, n.registry.Incarnations(message.Name)...)
		known = message.Known || n.knowsServer(message.Name)
	}
	if message.Start != nil {
		proposed.Starts = []departedIncarnation{*message.Start}
		ids = append(ids, n.registry.Superseded(message.ID)...)
	}
	proposed.Departures = lo.Uniq(ids)
	return proposed, known
}

// errUnknownServer is an ErrUnavailable: the ids that routers know of the server are marked as
// departed, but a later heartbeat would be accepted as a new incarnation.
var errUnknownServer = &refusedError{detail: "no node that answers has heard of the server"}
