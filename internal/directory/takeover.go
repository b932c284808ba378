package directory

import (
	"context"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Timeouts and intervals for copying the tables of other nodes.
const (
	// settleTimeout is how long a node that has just started waits for all other nodes: each
	// may lack what was shared while it was partitioned.
	settleTimeout = time.Second
	// reconcileInterval is how often a node checks whether its table is incomplete.
	reconcileInterval = time.Second
	// copyTableTimeout bounds a call for a table.
	copyTableTimeout = 500 * time.Millisecond
)

// settle copies the tables of the other nodes until one was settled and all of them have
// answered or settleTimeout has passed, or until every server had time to announce itself. Only
// the first reply of a node is its complete table; positions holds how far each was copied.
func (n *Node) settle(ctx context.Context, positions map[string]tablePosition) {
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
		otherSettled, err := n.copyTable(ctx, address, positions, shareInterval)
		all = all && err == nil
		if otherSettled {
			from = address
		}
	}
	if from != "" && (all || steadyclock.Since(n.started) > settleTimeout) {
		n.setSettled(from)
	}
}

// copyTable merges the servers that another node knows beyond the position copied so far, and
// returns whether that node is settled.
func (n *Node) copyTable(ctx context.Context, address string, positions map[string]tablePosition, timeout time.Duration) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply tableReply
	if err := n.peers.call(callCtx, address, pathRegistry, positions[address], &reply); err != nil {
		return false, err
	}
	positions[address] = reply.Position
	n.mergeShare(reply.shareMessage)
	return reply.Settled, nil
}

// runReconciling copies the tables of the other nodes whenever one of them has shared a plain
// heartbeat of a server unknown to this node: the message with that server was lost, for
// example in a partition, and would not be sent again.
func (n *Node) runReconciling(ctx context.Context) {
	positions := make(map[string]tablePosition)
	runEvery(ctx, reconcileInterval, func() {
		n.mutex.Lock()
		incomplete, before := n.tableIncomplete, n.registry.Revision()
		n.tableIncomplete = false
		n.mutex.Unlock()
		if !incomplete {
			return
		}
		for _, address := range n.peerAddresses() {
			if _, err := n.copyTable(ctx, address, positions, copyTableTimeout); err != nil {
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

// tableSince returns the servers that this node knows beyond a position in its table, or all of
// them for a position of another source.
func (n *Node) tableSince(position tablePosition) tableReply {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := steadyclock.Now()
	reply := tableReply{Position: tablePosition{Source: n.source, Revision: n.registry.Revision()}}
	reply.Settled = n.settled
	if position == reply.Position {
		return reply
	}
	since := uint64(0)
	if position.Source == n.source {
		since = position.Revision
	}
	reply.Instances = slices.DeleteFunc(n.registry.ChangedSince(now, since), func(instance registry.Instance) bool {
		return instance.State == registry.Missing && !instance.Replaced
	})
	reply.Routers = n.routers.activeWithin(now, routerLifetime)
	return reply
}
