package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/wait"
)

// Times of keeping a node's state fresh.
const (
	// freshnessInterval is how often a node has a quorum confirm what it holds, and
	// freshnessTimeout bounds one such round.
	freshnessInterval = 200 * time.Millisecond
	freshnessTimeout  = 400 * time.Millisecond
	// leaderFreshness is how lately a quorum has to have confirmed a leader for it to spend
	// what only one node may: another one may lead by now.
	leaderFreshness = time.Second
	// StaleAfter is from which age on a node's state counts as out of date: routers leave the
	// node for one whose state is newer.
	StaleAfter = 800 * time.Millisecond
	// notFresh is told of a state that no quorum has confirmed yet.
	notFresh = -24 * time.Hour
)

// freshness says that a machine held, at a time, all that had been acknowledged before it:
// documents, departures and every other entry of the log.
type freshness struct {
	of *machine
	at time.Time
}

// confirmReply carries from the leader up to which index a quorum has confirmed the log.
type confirmReply struct {
	Index uint64 `json:"index"`
	// Version is that of the document, for nodes of the version before.
	Version uint64 `json:"version"`
}

// runFreshness has a quorum confirm, again and again, that what this node holds is not out
// of date. It is what routers that were cut off are told by: they refuse in time what a
// newer document may forbid.
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
		confirming, cancel := context.WithTimeout(ctx, freshnessTimeout)
		n.renewFreshness(confirming)
		cancel()
	}
}

// freshProbe answers a router that asks whether to follow this node. A state that is out of
// date is confirmed at once: the node may only have had no leader until now.
func (n *Node) freshProbe(arrived time.Time) FollowReply {
	fresh := n.freshSince(n.member.state(), arrived)
	if fresh < -StaleAfter {
		wait.Notify(n.confirmNow)
	}
	return FollowReply{Source: n.source, Group: n.group(), Fresh: &fresh}
}

func (n *Node) renewFreshness(ctx context.Context) {
	// The machine before the voter: of a voter that is opened in between, the machine is
	// another one, of which nothing is claimed here.
	began, applied, member := steadyclock.Now(), n.member.state(), n.member.voter()
	var reply confirmReply
	err := n.atLeader(ctx, func(ctx context.Context) error {
		confirmed, err := n.confirmHere(ctx)
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
	n.confirmed.Store(&freshness{of: applied, at: began})
	n.mutex.Lock()
	defer n.mutex.Unlock()
	close(n.renewed)
	n.renewed = make(chan struct{})
}

// awaitFresh waits until the state holds all that was acknowledged before a time, within
// freshnessTimeout, and reports whether it does.
func (n *Node) awaitFresh(ctx context.Context, from time.Time) bool {
	waiting, cancel := context.WithTimeout(ctx, freshnessTimeout)
	defer cancel()
	for {
		n.mutex.Lock()
		renewed := n.renewed
		n.mutex.Unlock()
		if n.freshSince(n.member.state(), from) >= 0 {
			return true
		}
		wait.Notify(n.confirmNow)
		select {
		case <-renewed:
		case <-waiting.Done():
			return false
		}
	}
}

// errNoIndex is of a leader of the version before, which confirms documents alone.
var errNoIndex = errors.New("the leader does not tell the index")

// confirmHere returns, at the leader, what is committed for certain.
func (n *Node) confirmHere(ctx context.Context) (confirmReply, error) {
	index, err := n.confirmIndex(ctx)
	if err != nil {
		return confirmReply{}, err
	}
	version, _, _ := n.member.state().document()
	return confirmReply{Index: index, Version: version}, nil
}

// freshSince returns, from a time on, when a machine held all that had been acknowledged;
// it is before that time unless it was confirmed later.
func (n *Node) freshSince(applied *machine, from time.Time) time.Duration {
	held := n.confirmed.Load()
	if held == nil || held.of != applied {
		return notFresh
	}
	return held.at.Sub(from)
}
