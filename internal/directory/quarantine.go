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

// Times after which a standing ends. Ages count from when the leader first held the record:
// a new leader, or a start of all nodes, begins anew, so that one never ends too early.
const (
	// quarantineLifetime is after how long a quarantined request may be tried at one server
	// again: its servers may have been mended since.
	quarantineLifetime = time.Hour
	// suspicionLifetime is after how long a suspected request that did not come again is
	// forgotten.
	suspicionLifetime = 10 * time.Minute
	// expiryInterval is how often the leader looks for those.
	expiryInterval = 10 * time.Second
)

// maxOrders bounds the orders of one message.
const maxOrders = 256

// QuarantineOrders are what a router or an operator tells of requests that end servers.
type QuarantineOrders struct {
	Orders []quarantine.Order `json:"orders"`
}

// QuarantineReply holds the outcome of each order, and the revision of the book after them.
type QuarantineReply struct {
	Revision uint64               `json:"revision"`
	Outcomes []quarantine.Outcome `json:"outcomes"`
}

// Quarantine carries out orders about requests that end servers. Nil means that a quorum has
// synced them. Other outcomes are *routing.InvalidError (nothing was changed) and
// ErrUnavailable (they may be in force, now or later).
func (n *Node) Quarantine(ctx context.Context, asked QuarantineOrders) (QuarantineReply, error) {
	if err := checkOrders(asked.Orders); err != nil {
		return QuarantineReply{}, err
	}
	var reply QuarantineReply
	err := n.atLeader(ctx, func(ctx context.Context) error {
		var err error
		reply, err = n.quarantineHere(ctx, asked)
		return err
	}, pathQuarantineLeader, asked, &reply)
	return reply, err
}

func checkOrders(orders []quarantine.Order) error {
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

// quarantineHere is Quarantine at the leader.
func (n *Node) quarantineHere(ctx context.Context, asked QuarantineOrders) (QuarantineReply, error) {
	if err := checkOrders(asked.Orders); err != nil {
		return QuarantineReply{}, err
	}
	now := time.Now().UTC() // The wall clock: a person reads it.
	for index := range asked.Orders {
		asked.Orders[index].At = now
	}
	result, err := n.propose(ctx, command{Quarantine: asked.Orders})
	if err != nil {
		return QuarantineReply{}, err
	}
	for index, outcome := range result.Quarantine.Outcomes {
		n.tellOutcome(asked.Orders[index], outcome)
	}
	return result.Quarantine, nil
}

// tellOutcome logs and counts an order that changed a standing, with its evidence.
func (n *Node) tellOutcome(order quarantine.Order, outcome quarantine.Outcome) {
	n.metrics.quarantineOrders.WithLabelValues(string(order.Kind)).Inc()
	if outcome.Before == outcome.After {
		return
	}
	held, _ := lo.Find(n.QuarantineList().Records, func(r quarantine.Record) bool { return r.Fingerprint == order.Fingerprint })
	n.logger.WithFields(logrus.Fields{
		"fingerprint": order.Fingerprint.String(), "order": order.Kind, "before": outcome.Before.String(), "after": outcome.After.String(),
		"by": order.By, "route": held.Route, "caller": held.Caller, "servers_ended": held.Ended, "servers": held.Servers, "since": held.At,
	}).Info("quarantine_changed")
}

// applyQuarantine carries out orders. The caller holds the mutex.
func (m *machine) applyQuarantine(orders []quarantine.Order) QuarantineReply {
	outcomes := lo.Map(orders, func(order quarantine.Order, _ int) quarantine.Outcome { return m.state.Quarantine.Apply(order) })
	return QuarantineReply{Revision: m.state.Quarantine.Revision, Outcomes: outcomes}
}

// quarantine returns a copy of the book.
func (m *machine) quarantine() quarantine.Book {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return quarantine.Book{Records: append([]quarantine.Record(nil), m.state.Quarantine.Records...), Revision: m.state.Quarantine.Revision}
}

// quarantineNews returns the revision of the book, and its entries if that is above one.
func (m *machine) quarantineNews(above uint64) (uint64, []quarantine.Entry) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.state.Quarantine.Revision <= above {
		return m.state.Quarantine.Revision, nil
	}
	return m.state.Quarantine.Revision, m.state.Quarantine.Entries()
}

// QuarantineList returns the requests that end servers as this node knows them.
func (n *Node) QuarantineList() quarantine.Book { return n.member.state().quarantine() }

// ListQuarantine asks the node at a peer address for the requests that end servers as it
// knows them.
func ListQuarantine(ctx context.Context, address string) (quarantine.Book, error) {
	var book quarantine.Book
	err := newPeerClient().call(ctx, address, pathQuarantineList, struct{}{}, &book)
	return book, err
}

// LiftQuarantine has the node at a peer address end the suspicion or quarantine of a
// request, and returns what it was. Nil means that a quorum has synced it.
func LiftQuarantine(ctx context.Context, address string, fingerprint quarantine.Fingerprint, by string) (quarantine.Standing, error) {
	var reply QuarantineReply
	orders := QuarantineOrders{Orders: []quarantine.Order{{Kind: quarantine.Lift, Fingerprint: fingerprint, By: by}}}
	err := newPeerClient().call(ctx, address, PathQuarantine, orders, &reply)
	if err != nil || len(reply.Outcomes) == 0 {
		return quarantine.Unknown, err
	}
	return reply.Outcomes[0].Before, nil
}

// quarantineAges tells how long records have been held at a leader.
type quarantineAges map[quarantine.Fingerprint]quarantineAge

type quarantineAge struct {
	standing quarantine.Standing
	since    time.Time
}

// due takes in the records of a moment and returns the orders that end what is old.
func (a quarantineAges) due(now time.Time, records []quarantine.Record) []quarantine.Order {
	held := make(map[quarantine.Fingerprint]bool, len(records))
	var orders []quarantine.Order
	for _, record := range records {
		held[record.Fingerprint] = true
		age, known := a[record.Fingerprint]
		if !known || age.standing != record.Standing() {
			a[record.Fingerprint] = quarantineAge{standing: record.Standing(), since: now}
			continue
		}
		lifetime := suspicionLifetime
		if record.Quarantined {
			lifetime = quarantineLifetime
		}
		if now.Sub(age.since) >= lifetime {
			orders = append(orders, quarantine.Order{Kind: quarantine.Expire, Fingerprint: record.Fingerprint})
		}
	}
	for fingerprint := range a {
		if !held[fingerprint] {
			delete(a, fingerprint)
		}
	}
	return orders
}

// countQuarantine counts the records by standing, if their revision is another than the one
// last counted, and returns it.
func (n *Node) countQuarantine(applied *machine, counted uint64) uint64 {
	book := applied.quarantine()
	if book.Revision != counted {
		n.metrics.tellQuarantine(book)
	}
	return book.Revision
}

// runQuarantine lets standings end at the leader.
func (n *Node) runQuarantine(ctx context.Context) {
	ages := quarantineAges{}
	every(ctx, expiryInterval, func() {
		book := n.QuarantineList()
		if n.status().Role != consensus.Leader {
			clear(ages)
			return
		}
		orders := ages.due(steadyclock.Now(), book.Records)
		if len(orders) == 0 {
			return
		}
		for index := range orders {
			orders[index].By = n.config.Name
		}
		bounded, cancel := context.WithTimeout(ctx, operationTimeout)
		defer cancel()
		if _, err := n.quarantineHere(bounded, QuarantineOrders{Orders: orders}); err != nil {
			// They are due again at the next look.
			n.logger.WithError(err).WithField("orders", len(orders)).Info("quarantine_not_expired")
		}
	})
}
