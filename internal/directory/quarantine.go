package directory

import (
	"context"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Lifetimes of statuses. Ages count from when the current leader first held the record: they
// restart with a new leader or a restart of all nodes, so that a status never ends too early.
const (
	// quarantineLifetime is after how long a quarantined request may be tried at one server
	// again, since the servers may have been fixed.
	quarantineLifetime = time.Hour
	// suspicionLifetime is after how long a suspected request that did not recur is dropped.
	suspicionLifetime = 10 * time.Minute
	// expiryInterval is how often the leader checks for expired records.
	expiryInterval = 10 * time.Second
)

// maxOrders bounds the commands of one message.
const maxOrders = 256

// QuarantineOrders are commands of a router or an operator about requests that crash servers.
type QuarantineOrders struct {
	Orders []quarantine.Command `json:"orders"`
}

// QuarantineReply holds the outcome of each command, and the revision of the records after them.
type QuarantineReply struct {
	Revision uint64               `json:"revision"`
	Outcomes []quarantine.Outcome `json:"outcomes"`
}

// Quarantine applies commands about requests that crash servers. Nil means that a quorum has
// synced them. Other outcomes are *routing.InvalidError (nothing was changed) and
// ErrUnavailable (they may be in effect, now or later).
func (n *Node) Quarantine(ctx context.Context, request QuarantineOrders) (QuarantineReply, error) {
	if err := checkOrders(request.Orders); err != nil {
		return QuarantineReply{}, err
	}
	var reply QuarantineReply
	err := n.onLeader(ctx, func(ctx context.Context) error {
		var err error
		reply, err = n.quarantineAsLeader(ctx, request)
		return err
	}, pathQuarantineLeader, request, &reply)
	return reply, err
}

func checkOrders(orders []quarantine.Command) error {
	if len(orders) == 0 || len(orders) > maxOrders {
		return &routing.InvalidError{Detail: "a message has between 1 and 256 orders"}
	}
	for _, order := range orders {
		if err := order.Check(); err != nil {
			return &routing.InvalidError{Detail: err.Error()}
		}
	}
	return nil
}

// quarantineAsLeader is Quarantine at the leader.
func (n *Node) quarantineAsLeader(ctx context.Context, request QuarantineOrders) (QuarantineReply, error) {
	if err := checkOrders(request.Orders); err != nil {
		return QuarantineReply{}, err
	}
	now := time.Now().UTC() // wall clock, since operators read it.
	for index := range request.Orders {
		request.Orders[index].At = now
	}
	result, err := n.propose(ctx, command{Quarantine: request.Orders})
	if err != nil {
		return QuarantineReply{}, err
	}
	for index, outcome := range result.Quarantine.Outcomes {
		n.reportOutcome(request.Orders[index], outcome)
	}
	return result.Quarantine, nil
}

// reportOutcome counts a command, and logs it with its evidence if it changed a status.
func (n *Node) reportOutcome(order quarantine.Command, outcome quarantine.Outcome) {
	n.metrics.quarantineOrders.WithLabelValues(string(order.Kind)).Inc()
	if outcome.Before == outcome.After {
		return
	}
	record, _ := lo.Find(n.QuarantineList().Records, func(r quarantine.Record) bool { return r.Fingerprint == order.Fingerprint })
	n.logger.WithFields(logrus.Fields{
		"fingerprint": order.Fingerprint.String(), "order": order.Kind, "before": outcome.Before.String(), "after": outcome.After.String(),
		"by": order.By, "route": record.Route, "caller": record.Caller, "servers_ended": record.Ended, "servers": record.Servers, "since": record.At,
	}).Info("quarantine_changed")
}

// applyQuarantine applies commands. The caller holds the mutex.
func (m *stateMachine) applyQuarantine(orders []quarantine.Command) QuarantineReply {
	outcomes := lo.Map(orders, func(order quarantine.Command, _ int) quarantine.Outcome { return m.state.Quarantine.Apply(order) })
	return QuarantineReply{Revision: m.state.Quarantine.Revision, Outcomes: outcomes}
}

// quarantine returns a copy of the quarantine records.
func (m *stateMachine) quarantine() quarantine.Ledger {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return quarantine.Ledger{Records: append([]quarantine.Record(nil), m.state.Quarantine.Records...), Revision: m.state.Quarantine.Revision}
}

// quarantineUpdate returns the revision of the records, and all entries if it is above the
// given one.
func (m *stateMachine) quarantineUpdate(above uint64) (uint64, []quarantine.Entry) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.state.Quarantine.Revision <= above {
		return m.state.Quarantine.Revision, nil
	}
	return m.state.Quarantine.Revision, m.state.Quarantine.Entries()
}

// QuarantineList returns the requests that crash servers known to this node.
func (n *Node) QuarantineList() quarantine.Ledger { return n.member.state().quarantine() }

// ListQuarantine queries the node at a peer address for the requests that crash servers.
func ListQuarantine(ctx context.Context, address string) (quarantine.Ledger, error) {
	var list quarantine.Ledger
	err := newPeerClient().call(ctx, address, pathQuarantineList, struct{}{}, &list)
	return list, err
}

// LiftQuarantine has the node at a peer address end the suspicion or quarantine of a request,
// and returns its former status. Nil means that a quorum has synced it.
func LiftQuarantine(ctx context.Context, address string, fingerprint quarantine.Fingerprint, by string) (quarantine.Status, error) {
	var reply QuarantineReply
	orders := QuarantineOrders{Orders: []quarantine.Command{{Kind: quarantine.Lift, Fingerprint: fingerprint, By: by}}}
	err := newPeerClient().call(ctx, address, PathQuarantine, orders, &reply)
	if err != nil || len(reply.Outcomes) == 0 {
		return quarantine.Unknown, err
	}
	return reply.Outcomes[0].Before, nil
}

// quarantineAges tracks how long the leader has held each record.
type quarantineAges map[quarantine.Fingerprint]quarantineAge

type quarantineAge struct {
	standing quarantine.Status
	since    time.Time
}

// expired updates the ages from the current records and returns the commands that end expired
// ones.
func (a quarantineAges) expired(now time.Time, records []quarantine.Record) []quarantine.Command {
	present := make(map[quarantine.Fingerprint]bool, len(records))
	var orders []quarantine.Command
	for _, record := range records {
		present[record.Fingerprint] = true
		age, known := a[record.Fingerprint]
		if !known || age.standing != record.Status() {
			a[record.Fingerprint] = quarantineAge{standing: record.Status(), since: now}
			continue
		}
		lifetime := suspicionLifetime
		if record.Quarantined {
			lifetime = quarantineLifetime
		}
		if now.Sub(age.since) >= lifetime {
			orders = append(orders, quarantine.Command{Kind: quarantine.Expire, Fingerprint: record.Fingerprint})
		}
	}
	for fingerprint := range a {
		if !present[fingerprint] {
			delete(a, fingerprint)
		}
	}
	return orders
}

// countQuarantine counts the records by status if their revision differs from the last
// counted one, and returns the current revision.
func (n *Node) countQuarantine(state *stateMachine, counted uint64) uint64 {
	records := state.quarantine()
	if records.Revision != counted {
		n.metrics.setQuarantine(records)
	}
	return records.Revision
}

// runQuarantine expires statuses at the leader.
func (n *Node) runQuarantine(ctx context.Context) {
	ages := quarantineAges{}
	runEvery(ctx, expiryInterval, func() {
		records := n.QuarantineList()
		if n.status().Role != consensus.Leader {
			clear(ages)
			return
		}
		orders := ages.expired(steadyclock.Now(), records.Records)
		if len(orders) == 0 {
			return
		}
		for index := range orders {
			orders[index].By = n.config.Name
		}
		expireCtx, cancel := context.WithTimeout(ctx, operationTimeout)
		defer cancel()
		if _, err := n.quarantineAsLeader(expireCtx, QuarantineOrders{Orders: orders}); err != nil {
			// They are due again at the next check.
			n.logger.WithError(err).WithField("orders", len(orders)).Info("quarantine_not_expired")
		}
	})
}
