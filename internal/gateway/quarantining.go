package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/wait"
)

// Bounds of reporting requests that crash servers to the directory.
const (
	// orderBacklog bounds the queued orders; further ones are dropped and counted. The loss of
	// a zone makes many harmless requests suspected, whose trials succeed, while a request
	// that crashes servers will crash another one and be reported again.
	orderBacklog = 512
	// orderBatchDelay is how long orders are collected for one message: the crashes that a
	// request causes at the servers of a slice show within a few ms.
	orderBatchDelay = 3 * time.Millisecond
	orderTimeout    = 300 * time.Millisecond
	// orderRetryDelay is the pause after all nodes have failed.
	orderRetryDelay = 50 * time.Millisecond
	// maxOrdersPerMessage bounds the orders in one message.
	maxOrdersPerMessage = 64
)

// quarantineMonitor tracks the requests that crash servers and queues orders about them for
// the directory. It is safe for concurrent use.
type quarantineMonitor struct {
	logger  logrus.FieldLogger
	metrics *metrics
	orders  chan quarantine.Command

	mutex sync.Mutex
	view  quarantine.View
	// trials are the requests for which this router runs a trial now.
	trials map[quarantine.Fingerprint]bool
	// clears counts the queued orders that end the suspicion of a request.
	clears map[quarantine.Fingerprint]int
}

func newQuarantineMonitor(logger logrus.FieldLogger, metrics *metrics) *quarantineMonitor {
	return &quarantineMonitor{logger: logger, metrics: metrics, orders: make(chan quarantine.Command, orderBacklog), trials: make(map[quarantine.Fingerprint]bool), clears: make(map[quarantine.Fingerprint]int)}
}

// standing returns how a request is to be treated. It costs nothing while no request is on
// record, since the digest of a body of 8 MiB takes 6 ms.
func (m *quarantineMonitor) standing(request *fingerprinted) quarantine.Status {
	m.mutex.Lock()
	empty := m.view.Empty()
	m.mutex.Unlock()
	if empty {
		return quarantine.Unknown
	}
	fingerprint := request.fingerprint()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.view.Status(fingerprint)
}

// quarantined reports whether a request is quarantined.
func (m *quarantineMonitor) quarantined(request *fingerprinted) bool {
	return m.standing(request) == quarantine.Quarantined
}

// beginTrial reports whether this router may start a trial of a request; it runs one at a time
// for each request. If so, endTrial must follow.
func (m *quarantineMonitor) beginTrial(fingerprint quarantine.Fingerprint) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.trials[fingerprint] {
		return false
	}
	m.trials[fingerprint] = true
	return true
}

func (m *quarantineMonitor) endTrial(fingerprint quarantine.Fingerprint) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.trials, fingerprint)
}

// pending reports whether this router has reported a crash for a request and no node is known
// to have accepted the report.
func (m *quarantineMonitor) pending(fingerprint quarantine.Fingerprint) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.view.Pending(fingerprint)
}

// clearing reports whether a server has answered a request and no node is known to have recorded
// that.
func (m *quarantineMonitor) clearing(fingerprint quarantine.Fingerprint) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.clears[fingerprint] > 0
}

// awaitReported waits until a node has accepted what this router reported about a request: the
// servers that crashed, and that one answered, after which no trial is needed. It
// waits at most for the duration of one call, so that suspected but harmless requests are
// still served without a leader.
func (m *quarantineMonitor) awaitReported(ctx context.Context, fingerprint quarantine.Fingerprint) {
	timeoutCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for timeoutCtx.Err() == nil && (m.pending(fingerprint) || m.clearing(fingerprint)) {
		wait.For(timeoutCtx, orderBatchDelay)
	}
}

// revision returns the revision of the quarantine table last received.
func (m *quarantineMonitor) revision() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.view.Revision()
}

// update applies the entries received from a directory node, and returns the requests that
// have become quarantined.
func (m *quarantineMonitor) update(revision uint64, entries []quarantine.Entry) []quarantine.Fingerprint {
	m.mutex.Lock()
	before := m.view.Revision()
	quarantined := m.view.Update(revision, entries)
	changed := m.view.Revision() != before
	suspectedCount, quarantinedCount := m.view.Counts()
	m.mutex.Unlock()
	if !changed {
		return nil
	}
	m.metrics.quarantined.WithLabelValues(quarantine.Suspected.String()).Set(float64(suspectedCount))
	m.metrics.quarantined.WithLabelValues(quarantine.Quarantined.String()).Set(float64(quarantinedCount))
	added := lo.Map(lo.Slice(quarantined, 0, maxLoggedItems), func(f quarantine.Fingerprint, _ int) string { return f.Short() })
	m.logger.WithFields(logrus.Fields{
		"revision": revision, "before": before, "suspected": suspectedCount, "quarantined": quarantinedCount, "added": added,
	}).Info("quarantine_changed")
	return quarantined
}

// report queues a report that a server crashed while it ran a request.
func (m *quarantineMonitor) report(order quarantine.Command) {
	m.mutex.Lock()
	m.view.Reported(order.Fingerprint, order.Tried, order.Answered)
	m.mutex.Unlock()
	m.enqueue(order)
}

// clear reports that a server answered a request.
func (m *quarantineMonitor) clear(order quarantine.Command) {
	m.mutex.Lock()
	m.clears[order.Fingerprint]++
	m.mutex.Unlock()
	m.enqueue(order)
}

// enqueue queues an order for sending. It never blocks.
func (m *quarantineMonitor) enqueue(order quarantine.Command) {
	select {
	case m.orders <- order:
	default:
		m.metrics.ordersDropped.Inc()
		m.acknowledge(order, 0)
	}
}

// acknowledge records that the quarantine table of a revision contains an order; 0 for an
// order that was dropped.
func (m *quarantineMonitor) acknowledge(order quarantine.Command, revision uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch order.Kind {
	case quarantine.Report:
		m.view.Acknowledged(order.Fingerprint, revision)
	case quarantine.Clear:
		if m.clears[order.Fingerprint]--; m.clears[order.Fingerprint] <= 0 {
			delete(m.clears, order.Fingerprint)
		}
	}
}

// nextBatch waits for an order and returns it with those that follow within orderBatchDelay.
func (m *quarantineMonitor) nextBatch(ctx context.Context) []quarantine.Command {
	var batch []quarantine.Command
	select {
	case <-ctx.Done():
		return nil
	case first := <-m.orders:
		batch = append(batch, first)
	}
	timer := time.NewTimer(orderBatchDelay)
	defer timer.Stop()
	for len(batch) < maxOrdersPerMessage {
		select {
		case another := <-m.orders:
			batch = append(batch, another)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return nil
		}
	}
	return batch
}

// sendQuarantineOrders sends orders to the directory until the context ends. An order is
// resent until a node accepts it, because the bound on attempts depends on it.
func (f *follower) sendQuarantineOrders(ctx context.Context) {
	monitor := f.gateway.quarantine
	for ctx.Err() == nil {
		orders := monitor.nextBatch(ctx)
		for len(orders) > 0 && ctx.Err() == nil {
			reply, err := f.postOrders(ctx, orders)
			if err != nil {
				f.gateway.logger.WithField("orders", len(orders)).WithField("reason", err).Info("quarantine_not_told")
				time.Sleep(orderRetryDelay)
				continue
			}
			for _, order := range orders {
				monitor.acknowledge(order, reply.Revision)
			}
			orders = nil
		}
	}
}

// postOrders posts orders to the followed node or, if that fails, to the other ones.
func (f *follower) postOrders(ctx context.Context, orders []quarantine.Command) (reply directory.QuarantineReply, err error) {
	err = errNoNode
	for _, node := range f.nodesInOrder() {
		err = f.call(ctx, node+directory.PathQuarantine, directory.QuarantineOrders{Orders: orders}, orderTimeout, &reply)
		if err == nil && len(reply.Outcomes) != len(orders) {
			err = errors.Newf("%s returned %d outcomes for %d orders", node, len(reply.Outcomes), len(orders))
		}
		if err == nil || ctx.Err() != nil {
			return reply, err
		}
	}
	return reply, err
}

// nodesInOrder returns the nodes in the order in which they are called, the followed one
// first.
func (f *follower) nodesInOrder() []string {
	known := f.knownNodes.Load()
	if known == nil {
		return nil
	}
	return *known
}

// setNodesInOrder puts a node first in the order in which nodes are called.
func (f *follower) setNodesInOrder(first string) {
	nodes := append([]string{first}, lo.Without(f.nodes, first)...)
	f.knownNodes.Store(&nodes)
}

// applyQuarantine applies a reply's quarantine entries and withdraws the requests that have
// become quarantined.
func (f *follower) applyQuarantine(reply directory.FollowReply) {
	quarantined := f.gateway.quarantine.update(reply.QuarantineRevision, reply.QuarantineEntries)
	f.request.QuarantineRevision = f.gateway.quarantine.revision()
	if len(quarantined) > 0 {
		f.gateway.loop.withdrawn <- quarantined
	}
}

// fingerprinted is a request whose fingerprint is computed once, on first use.
type fingerprinted struct {
	*message.Request
	fingerprint func() quarantine.Fingerprint
}

func newFingerprinted(request *message.Request) *fingerprinted {
	return &fingerprinted{Request: request, fingerprint: sync.OnceValue(func() quarantine.Fingerprint {
		return quarantine.FingerprintOf(request)
	})}
}

// withdraw ends the pending requests that have become quarantined.
func (l *loop) withdraw(quarantined []quarantine.Fingerprint) {
	for id, submitted := range l.pending {
		if lo.Contains(quarantined, submitted.request.fingerprint()) {
			l.step(scatter.Withdrawn{Request: id})
		}
	}
}
