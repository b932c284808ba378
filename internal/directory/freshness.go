package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/wait"
)

// Intervals and limits for confirming the freshness of a node's state.
const (
	// freshnessInterval is how often a node has a quorum confirm its state, and
	// freshnessTimeout bounds one such round.
	freshnessInterval = 200 * time.Millisecond
	freshnessTimeout  = 400 * time.Millisecond
	// maxLeaderConfirmationAge is the age up to which a quorum's confirmation of the leader
	// suffices to grant quota tokens, which only one node may do: after it, another node may
	// lead.
	maxLeaderConfirmationAge = time.Second
	// StaleAfter is the age from which a node's state counts as stale: routers then switch to a
	// node with newer state.
	StaleAfter = 800 * time.Millisecond
	// neverConfirmed is reported for a state that no quorum has confirmed yet.
	neverConfirmed = -24 * time.Hour
)

// freshness records that a state machine held, at asOf, every log entry acknowledged before
// that time, such as documents and departures.
type freshness struct {
	machine *stateMachine
	asOf    time.Time
}

// confirmReply carries the log index that a quorum has confirmed, from the leader.
type confirmReply struct {
	Index uint64 `json:"index"`
	// Version is the document version, for nodes of the previous release.
	Version uint64 `json:"version"`
}

// runFreshness periodically has a quorum confirm that this node's state is current. Routers
// that are partitioned rely on the reported age: they refuse in time what a newer document may
// forbid.
func (n *Node) runFreshness(ctx context.Context) {
	interval := time.NewTicker(freshnessInterval)
	defer interval.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-interval.C:
		case <-n.confirmNow:
		}
		confirmCtx, cancel := context.WithTimeout(ctx, freshnessTimeout)
		n.confirmFreshness(confirmCtx)
		cancel()
	}
}

// probeReply answers a router that asks whether to follow this node. A stale state is confirmed
// at once: the node may only have lacked a leader until now.
func (n *Node) probeReply(receivedAt time.Time) FollowReply {
	age := n.freshnessAt(n.member.state(), receivedAt)
	if age < -StaleAfter {
		wait.Notify(n.confirmNow)
	}
	return FollowReply{Source: n.source, Group: n.group(), Fresh: &age}
}

func (n *Node) confirmFreshness(ctx context.Context) {
	// Load the state machine before the voter: if the voter is reopened in between, its state
	// machine is a different one, for which nothing is claimed here.
	start, state, member := steadyclock.Now(), n.member.state(), n.member.voter()
	var reply confirmReply
	err := n.onLeader(ctx, func(ctx context.Context) error {
		confirmed, err := n.confirmAsLeader(ctx)
		reply = confirmed
		return err
	}, pathConfirm, struct{}{}, &reply)
	if err == nil && reply.Index == 0 {
		err = errNoIndex
	}
	if err == nil {
		err = member.AwaitApplied(ctx, reply.Index)
	}
	if err != nil {
		n.logger.WithField("reason", err).Debug("freshness_not_confirmed")
		return
	}
	n.lastConfirmed.Store(&freshness{machine: state, asOf: start})
	n.mutex.Lock()
	defer n.mutex.Unlock()
	close(n.freshnessRenewed)
	n.freshnessRenewed = make(chan struct{})
}

// awaitFresh waits, up to freshnessTimeout, until the state holds everything acknowledged
// before a time, and reports whether it does.
func (n *Node) awaitFresh(ctx context.Context, since time.Time) bool {
	waitCtx, cancel := context.WithTimeout(ctx, freshnessTimeout)
	defer cancel()
	for {
		n.mutex.Lock()
		renewed := n.freshnessRenewed
		n.mutex.Unlock()
		if n.freshnessAt(n.member.state(), since) >= 0 {
			return true
		}
		wait.Notify(n.confirmNow)
		select {
		case <-renewed:
		case <-waitCtx.Done():
			return false
		}
	}
}

// errNoIndex reports a leader of the previous release, which confirms only documents.
var errNoIndex = errors.New("the leader does not tell the index")

// confirmAsLeader returns the committed index and document version, at the leader.
func (n *Node) confirmAsLeader(ctx context.Context) (confirmReply, error) {
	index, err := n.confirmIndex(ctx)
	if err != nil {
		return confirmReply{}, err
	}
	version, _, _ := n.member.state().document()
	return confirmReply{Index: index, Version: version}, nil
}

// freshnessAt returns, relative to a reference time, the last time at which a state machine is
// known to have held everything acknowledged; it is negative if that is before the reference.
func (n *Node) freshnessAt(state *stateMachine, reference time.Time) time.Duration {
	confirmed := n.lastConfirmed.Load()
	if confirmed == nil || confirmed.machine != state {
		return neverConfirmed
	}
	return confirmed.asOf.Sub(reference)
}
