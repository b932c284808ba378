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

// Bounds of telling the directory of requests that end servers.
const (
	// orderBacklog bounds the orders that wait to be told. Further ones are dropped and
	// counted: a lost zone suspects what ran there, which is tried without harm, while a
	// request that ends servers does so again.
	orderBacklog = 512
	// orderGathering is for how long orders are put together into one message: what one
	// request does to the servers of a slice shows within a few ms.
	orderGathering = 3 * time.Millisecond
	orderTimeout   = 300 * time.Millisecond
	// orderRetry is the pause after all nodes were asked in vain.
	orderRetry = 50 * time.Millisecond
	// maxOrdersTold bounds the orders of one message.
	maxOrdersTold = 64
)

// quarantineWatch is what a router knows of requests that end servers, and tells of them.
// It is safe for concurrent use.
type quarantineWatch struct {
	logger  logrus.FieldLogger
	metrics *metrics
	orders  chan quarantine.Order

	mutex sync.Mutex
	view  quarantine.View
	// trying are the requests that this router tries now.
	trying map[quarantine.Fingerprint]bool
}

func newQuarantineWatch(logger logrus.FieldLogger, metrics *metrics) *quarantineWatch {
	return &quarantineWatch{logger: logger, metrics: metrics, orders: make(chan quarantine.Order, orderBacklog), trying: make(map[quarantine.Fingerprint]bool)}
}

// standing returns how a request is to be treated. While no server ended under any, it
// costs nothing: the digest of a body of 8 MiB takes 6 ms.
func (w *quarantineWatch) standing(request *fingerprinted) quarantine.Standing {
	w.mutex.Lock()
	empty := w.view.Empty()
	w.mutex.Unlock()
	if empty {
		return quarantine.Unknown
	}
	fingerprint := request.fingerprint()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.view.Standing(fingerprint)
}

// beginTrial reports whether this router may try a request now: one trial at a time. Each
// that may is followed by endTrial.
func (w *quarantineWatch) beginTrial(fingerprint quarantine.Fingerprint) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.trying[fingerprint] {
		return false
	}
	w.trying[fingerprint] = true
	return true
}

func (w *quarantineWatch) endTrial(fingerprint quarantine.Fingerprint) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.trying, fingerprint)
}

// pending reports whether this router's report of a request is not known to have reached a
// node.
func (w *quarantineWatch) pending(fingerprint quarantine.Fingerprint) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.view.Pending(fingerprint)
}

// awaitTold waits until this router's reports of a request have reached a node, for as long as
// telling one takes at most: without a leader harmless requests that are suspected go on.
func (w *quarantineWatch) awaitTold(ctx context.Context, fingerprint quarantine.Fingerprint) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for bounded.Err() == nil && w.pending(fingerprint) {
		wait.For(bounded, orderGathering)
	}
}

// revision returns that of the book that was told last.
func (w *quarantineWatch) revision() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.view.Revision()
}

// take takes in what a directory node told, and returns the requests that are quarantined
// from now on.
func (w *quarantineWatch) take(revision uint64, entries []quarantine.Entry) []quarantine.Fingerprint {
	w.mutex.Lock()
	before := w.view.Revision()
	quarantined := w.view.Take(revision, entries)
	changed := w.view.Revision() != before
	suspectedCount, quarantinedCount := w.view.Counts()
	w.mutex.Unlock()
	if !changed {
		return nil
	}
	w.metrics.quarantined.WithLabelValues(quarantine.Suspected.String()).Set(float64(suspectedCount))
	w.metrics.quarantined.WithLabelValues(quarantine.Quarantined.String()).Set(float64(quarantinedCount))
	added := lo.Map(lo.Slice(quarantined, 0, maxNotedTold), func(f quarantine.Fingerprint, _ int) string { return f.Short() })
	w.logger.WithFields(logrus.Fields{
		"revision": revision, "before": before, "suspected": suspectedCount, "quarantined": quarantinedCount, "added": added,
	}).Info("quarantine_changed")
	return quarantined
}

// report tells the directory, soon, that a server ended under a request.
func (w *quarantineWatch) report(order quarantine.Order) {
	w.mutex.Lock()
	w.view.Reported(order.Fingerprint, order.Tried)
	w.mutex.Unlock()
	w.tell(order)
}

// tell hands an order to the goroutine that tells them; it never waits.
func (w *quarantineWatch) tell(order quarantine.Order) {
	select {
	case w.orders <- order:
	default:
		w.metrics.ordersDropped.Inc()
		w.acknowledged(order, 0)
	}
}

// acknowledged takes in that a book of a revision holds an order; 0 for an order that was
// dropped.
func (w *quarantineWatch) acknowledged(order quarantine.Order, revision uint64) {
	if order.Kind != quarantine.Report {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.view.Acknowledged(order.Fingerprint, revision)
}

// next waits for orders and returns those that came within a moment.
func (w *quarantineWatch) next(ctx context.Context) []quarantine.Order {
	var gathered []quarantine.Order
	select {
	case <-ctx.Done():
		return nil
	case first := <-w.orders:
		gathered = append(gathered, first)
	}
	moment := time.NewTimer(orderGathering)
	defer moment.Stop()
	for len(gathered) < maxOrdersTold {
		select {
		case another := <-w.orders:
			gathered = append(gathered, another)
		case <-moment.C:
			return gathered
		case <-ctx.Done():
			return nil
		}
	}
	return gathered
}

// tellQuarantine tells the directory of requests that end servers until the context ends.
// An order is given again until a node has it: the bound on attempts rests on it.
func (f *follower) tellQuarantine(ctx context.Context) {
	watch := f.gateway.quarantine
	for ctx.Err() == nil {
		orders := watch.next(ctx)
		for len(orders) > 0 && ctx.Err() == nil {
			reply, err := f.order(ctx, orders)
			if err != nil {
				f.gateway.logger.WithField("orders", len(orders)).WithField("reason", err).Info("quarantine_not_told")
				time.Sleep(orderRetry)
				continue
			}
			for _, order := range orders {
				watch.acknowledged(order, reply.Revision)
			}
			orders = nil
		}
	}
}

// order gives orders to the node that is followed or, if that fails, to the others.
func (f *follower) order(ctx context.Context, orders []quarantine.Order) (reply directory.QuarantineReply, err error) {
	err = errNoNode
	for _, node := range f.reachable() {
		err = f.call(ctx, node+directory.PathQuarantine, directory.QuarantineOrders{Orders: orders}, orderTimeout, &reply)
		if err == nil && len(reply.Outcomes) != len(orders) {
			err = errors.Newf("%s gave %d outcomes for %d orders", node, len(reply.Outcomes), len(orders))
		}
		if err == nil || ctx.Err() != nil {
			return reply, err
		}
	}
	return reply, err
}

// reachable returns the nodes to give orders to: the one that is followed comes first.
func (f *follower) reachable() []string {
	known := f.known.Load()
	if known == nil {
		return nil
	}
	return *known
}

// setReachable makes a node the one that gets orders first.
func (f *follower) setReachable(first string) {
	nodes := append([]string{first}, lo.Without(f.nodes, first)...)
	f.known.Store(&nodes)
}

// takeQuarantine takes in which requests end servers.
func (f *follower) takeQuarantine(reply directory.FollowReply) {
	quarantined := f.gateway.quarantine.take(reply.Quarantine, reply.QuarantineEntries)
	f.request.Quarantine = f.gateway.quarantine.revision()
	if len(quarantined) > 0 {
		f.gateway.loop.withdrawn <- quarantined
	}
}

// fingerprinted is a request whose fingerprint is worked out once, when it is asked for.
type fingerprinted struct {
	*message.Request
	fingerprint func() quarantine.Fingerprint
}

func newFingerprinted(request *message.Request) *fingerprinted {
	return &fingerprinted{Request: request, fingerprint: sync.OnceValue(func() quarantine.Fingerprint {
		return quarantine.FingerprintOf(request)
	})}
}

// withdraw ends the requests that are quarantined from now on.
func (l *loop) withdraw(quarantined []quarantine.Fingerprint) {
	for id, waiting := range l.waiting {
		if lo.Contains(quarantined, waiting.request.fingerprint()) {
			l.step(scatter.Withdrawn{Request: id})
		}
	}
}
