package directory

import (
	"context"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Times of taking over the tables of other nodes.
const (
	// settleTime is for how long a node that has just started waits for all others: each
	// may lack what was told while it was cut off.
	settleTime = time.Second
	// reconcileInterval is how often a node looks whether it lacks a server.
	reconcileInterval = time.Second
	// takeOverTimeout bounds a call for a table.
	takeOverTimeout = 500 * time.Millisecond
)

// settle takes over the tables of the other nodes until all of them answered, or for
// settleTime, and one was settled; or until every server had time to announce itself.
// Only the first answer of a node is its whole table; taken holds how far each was taken
// over.
func (n *Node) settle(ctx context.Context, taken map[string]tablePosition) {
	n.mutex.Lock()
	settled := n.settled
	n.mutex.Unlock()
	if settled {
		return
	}
	if steadyclock.Since(n.started) > missingHeartbeats*n.config.HeartbeatInterval {
		n.setSettled("time")
		return
	}
	from, all := "", true
	for _, address := range n.peerAddresses() {
		otherSettled, err := n.takeOver(ctx, address, taken, shareInterval)
		all = all && err == nil
		if otherSettled {
			from = address
		}
	}
	if from != "" && (all || steadyclock.Since(n.started) > settleTime) {
		n.setSettled(from)
	}
}

// takeOver takes in what another node knows of servers beyond what was taken over before,
// and returns whether that node is settled.
func (n *Node) takeOver(ctx context.Context, address string, taken map[string]tablePosition, timeout time.Duration) (bool, error) {
	calling, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply tableReply
	if err := n.peers.call(calling, address, pathRegistry, taken[address], &reply); err != nil {
		return false, err
	}
	taken[address] = reply.Position
	n.takeIn(reply.shareMessage)
	return reply.Settled, nil
}

// runReconciling takes over the tables of the other nodes whenever one of them told that
// a server repeated itself which this node does not know: what it first said was lost on
// its way, in a cut for instance, and would not be told again.
func (n *Node) runReconciling(ctx context.Context) {
	taken := make(map[string]tablePosition)
	every(ctx, reconcileInterval, func() {
		n.mutex.Lock()
		lacking, before := n.lacking, n.registry.Revision()
		n.lacking = false
		n.mutex.Unlock()
		if !lacking {
			return
		}
		for _, address := range n.peerAddresses() {
			if _, err := n.takeOver(ctx, address, taken, takeOverTimeout); err != nil {
				n.logger.WithField("node", address).WithField("reason", err).Info("table_not_taken_over")
			}
		}
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.logger.WithField("changes", n.registry.Revision()-before).Info("table_reconciled")
	})
}

func (n *Node) setSettled(from string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.settled = true
	n.logger.WithField("from", from).WithField("instances", n.registry.Count(registry.Ready)).Info("registry_settled")
}

// table returns what this node knows of servers beyond a position in its table; all
// of it for a position of another source.
func (n *Node) table(known tablePosition) tableReply {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := steadyclock.Now()
	reply := tableReply{Position: tablePosition{Source: n.source, Revision: n.registry.Revision()}}
	reply.Settled = n.settled
	if known == reply.Position {
		return reply
	}
	since := uint64(0)
	if known.Source == n.source {
		since = known.Revision
	}
	reply.Instances = slices.DeleteFunc(n.registry.Since(now, since), func(instance registry.Instance) bool {
		return instance.State == registry.Missing && !instance.Replaced
	})
	reply.Routers = n.routers.within(now, routerLifetime)
	return reply
}
