package directory

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/reservation"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Intervals and steps of publishing the view.
const (
	// viewMinInterval is the minimum time between two views: each wakes all routers.
	viewMinInterval = 250 * time.Millisecond
	// serversMinInterval is that time for views which only name other servers. With the interval
	// of the routers' reports and loadInterval it adds up to less than a second. Four views a
	// second raised the processor time of routers by a fifth.
	serversMinInterval = 450 * time.Millisecond
	// viewRepublishInterval is how often an unchanged view is published, so that its figures
	// keep their weight (loadview.FullWeightAge).
	viewRepublishInterval = time.Second
	// loggedAdmissionStep is the change of an admitted share that is logged.
	loggedAdmissionStep = 0.1
	// loggedStepTolerance makes shares that rise in steps of exactly that size count: 0.5 - 0.4 is
	// slightly less than 0.1 in floating point.
	loggedStepTolerance = 1e-9
)

// leaderLoad holds what the leader knows of the load in its term.
type leaderLoad struct {
	mutex  sync.Mutex
	term   uint64
	began  time.Time
	merger *loadview.Merger
	// receipts are the last summary of each node, by address.
	receipts map[string]summaryReceipt
	planner  AdmissionPlanner
	document loadDocument
	slots    serverSlots
	// totals are those of the last plan.
	totals loadview.Totals
	// published is the last view of this term, or the one from which it continues.
	published   loadview.View
	publishedAt time.Time
	// epoch began at epochBegan.
	epoch      uint64
	epochBegan time.Time
	// since is since when each service of the view is in it, and logged are the last logged
	// fractions by route.
	since  map[string]time.Time
	logged map[string]float64
}

// summaryReceipt says which summary of a node was received last, and when.
type summaryReceipt struct {
	source   string
	sequence uint64
	at       time.Time
}

// lockLoad returns the load figures of this node's term, locked until release is called. It fails
// unless a quorum has recently confirmed that this node leads.
func (n *Node) lockLoad() (load *leaderLoad, release func(), err error) {
	status, now := n.status(), steadyclock.Now()
	if status.Role != consensus.Leader || n.freshnessAt(n.member.state(), now) < -maxLeaderConfirmationAge {
		return nil, nil, errors.Wrap(ErrUnavailable, "this node is not known to lead")
	}
	held := n.heldView()
	load = &n.leaderLoad
	load.mutex.Lock()
	if load.term > status.Term {
		load.mutex.Unlock()
		return nil, nil, errors.Wrap(ErrUnavailable, "this node leads a later term")
	}
	if load.merger == nil || load.term != status.Term {
		load.begin(status.Term, now, held, n.config.NewPlanner)
	}
	return load, load.mutex.Unlock, nil
}

// begin starts a term and continues from the view that this node held. Fractions that have no
// weight any more are not continued, since routers have already stopped acting on them.
func (l *leaderLoad) begin(term uint64, now time.Time, held loadview.Held, newPlanner func() AdmissionPlanner) {
	l.term, l.began, l.merger, l.receipts = term, now, loadview.NewMerger(), make(map[string]summaryReceipt)
	l.since, l.logged, l.planner = make(map[string]time.Time), make(map[string]float64), nil
	l.published, l.publishedAt = held.View, held.At
	l.published.Revision = 0
	l.epoch, l.epochBegan = held.View.Epoch, held.At.Add(-held.View.EpochElapsed)
	if held.At.IsZero() {
		l.epoch, l.epochBegan = 0, now
	}
	if held.Weight(now) == 0 {
		l.published.Routes, l.published.Tenants = nil, nil
	}
	for _, service := range l.published.Services {
		l.since[service.Service] = held.At.Add(-service.Since)
	}
	for _, route := range l.published.Routes {
		l.logged[route.Route] = route.Fraction
	}
	if newPlanner != nil {
		l.planner = newPlanner()
		l.planner.Resume(l.published)
	}
}

// summaryAsLeader records the summary of another node.
func (n *Node) summaryAsLeader(_ context.Context, message loadSummary) (loadReceipt, error) {
	load, release, err := n.lockLoad()
	if err != nil {
		return loadReceipt{}, err
	}
	defer release()
	now := steadyclock.Now()
	if last := load.receipts[message.Address]; last.source == message.Source && last.sequence >= message.Sequence {
		return loadReceipt{}, nil // A call that was overtaken by a later one.
	}
	load.merger.Record(now, message.Address, message.Summary)
	receipt := summaryReceipt{source: message.Source, sequence: message.Sequence, at: now}
	load.receipts[message.Address] = receipt
	reply := loadReceipt{Arrivals: load.merger.Arrivals(now, message.Address)}
	held := loadview.View{Term: message.HeldTerm, Revision: message.HeldRevision}
	if load.published.Term == load.term && load.published.Newer(held) && now.Sub(load.publishedAt) >= viewMinInterval {
		missed := load.messageTo(receipt)
		reply.Missed = &missed
	}
	return reply, nil
}

// leadLoad merges the summaries, plans and publishes the view if that is due.
func (n *Node) leadLoad(ctx context.Context) {
	load, release, err := n.lockLoad()
	if err != nil {
		return // Another node leads, or will.
	}
	now := steadyclock.Now()
	n.recordOwnSummary(load, now)
	if !n.allSummaries(load, now) {
		release()
		return
	}
	view, due := n.nextView(load, now)
	if !due {
		release()
		return
	}
	load.published, load.publishedAt = view, now
	messages := load.messagesTo(now)
	changes := load.admissionChanges(view)
	release()
	for _, change := range changes {
		n.logger.WithFields(change).Info("admission_changed")
	}
	n.applyView(view, now)
	n.publishView(ctx, messages)
}

// recordOwnSummary records the summary of the leader's own routers, and drops the reports of those
// that have arrived at other nodes.
func (n *Node) recordOwnSummary(load *leaderLoad, now time.Time) {
	arrivals := load.merger.Arrivals(now, n.config.PeerAddress)
	n.load.mutex.Lock()
	defer n.load.mutex.Unlock()
	n.load.collector.Forget(now, arrivals)
	load.merger.Record(now, n.config.PeerAddress, n.load.collector.Summary(now))
}

// allSummaries reports whether the summaries of all nodes have been received in this term, or all
// that run had time to send one. Before, the demand seems to be less than it is.
func (n *Node) allSummaries(load *leaderLoad, now time.Time) bool {
	return now.Sub(load.began) >= loadview.SummaryLifetime || lo.EveryBy(n.peerAddresses(), func(address string) bool {
		_, received := load.receipts[address]
		return received
	})
}

// nextView merges and plans, and returns the next view and whether it is to be published.
func (n *Node) nextView(load *leaderLoad, now time.Time) (view loadview.View, due bool) {
	if err := load.document.update(n.member.state(), n.config.ReadDocument); err != nil {
		n.logger.WithField("version", load.document.version).WithField("reason", err).Warn("load_document_not_read")
	}
	settled := n.updateSlots(&load.slots, now)
	if !settled && len(load.published.Routes) > 0 {
		return loadview.View{}, false // Without the servers, the routes would seem to have no shortage.
	}
	load.totals = load.merger.Totals(now)
	inputs := PlanInputs{Totals: load.totals, Version: load.document.version, Routes: load.document.routes, Tenants: load.document.tenants, Slots: load.slots.of}
	view = loadview.View{Term: load.term, Revision: load.published.Revision + 1}
	if settled {
		if load.planner != nil {
			outcome := load.planner.Plan(now, inputs)
			view.Routes, view.Tenants = slices.Clone(outcome.Routes), slices.Clone(outcome.Tenants)
		}
	} else {
		inputs.Routes = nil // The servers may be incomplete: no service counts as short.
	}
	view.Services = serviceStates(now, inputs, load.since)
	view = view.Bound()
	load.setEpoch(&view, now)
	return view, load.due(view, now)
}

// due reports whether a view is to be published: after viewMinInterval if the admission changed,
// after serversMinInterval if servers came into trouble, and every viewRepublishInterval for other
// changes and unless the view is empty. The first view of a term is published even if it is empty,
// since routers may hold entries of an earlier term that this node does not know.
func (l *leaderLoad) due(view loadview.View, now time.Time) bool {
	age := now.Sub(l.publishedAt)
	switch {
	case l.published.Revision == 0:
		return true
	case !view.SameAdmission(l.published):
		return age >= viewMinInterval
	case view.NamesMore(l.published):
		return age >= serversMinInterval
	}
	return age >= viewRepublishInterval && !(view.Empty() && l.published.Empty())
}

// setEpoch sets the position in the reservation epochs, counted on from the last one.
func (l *leaderLoad) setEpoch(view *loadview.View, now time.Time) {
	passed := max(0, now.Sub(l.epochBegan)) / reservation.EpochLength
	l.epoch, l.epochBegan = l.epoch+uint64(passed), l.epochBegan.Add(passed*reservation.EpochLength)
	view.Epoch, view.EpochElapsed = l.epoch, max(0, now.Sub(l.epochBegan))
}

// messagesTo returns the published view for each node that recently sent a summary, by address.
func (l *leaderLoad) messagesTo(now time.Time) map[string]publishedView {
	messages := make(map[string]publishedView)
	for address, receipt := range l.receipts {
		if now.Sub(receipt.at) > loadview.MaxAge {
			delete(l.receipts, address)
			continue
		}
		messages[address] = l.messageTo(receipt)
	}
	return messages
}

// messageTo returns the published view for the node of a receipt.
func (l *leaderLoad) messageTo(receipt summaryReceipt) publishedView {
	return publishedView{View: l.published, Source: receipt.source, Sequence: receipt.sequence, Elapsed: l.publishedAt.Sub(receipt.at)}
}

// publishView sends the view to the other nodes. A node that misses it gets it with the receipt of
// its next summary.
func (n *Node) publishView(ctx context.Context, messages map[string]publishedView) {
	for address, message := range messages {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, deliverTimeout)
			defer cancel()
			if err := n.peers.call(callCtx, address, pathLoadView, message, nil); err != nil {
				n.logger.WithField("node", address).WithField("reason", err).Debug("load_view_not_sent")
			}
		}()
	}
}

// admissionChanges returns the log fields of each route whose entry starts, ends or has moved by
// loggedAdmissionStep since it was last logged.
func (l *leaderLoad) admissionChanges(view loadview.View) []logrus.Fields {
	var changes []logrus.Fields
	entries := lo.SliceToMap(view.Routes, func(r loadview.RouteState) (string, loadview.RouteState) { return r.Route, r })
	for _, route := range view.Routes {
		before, known := l.logged[route.Route]
		if known && math.Abs(route.Fraction-before) < loggedAdmissionStep-loggedStepTolerance {
			continue
		}
		if !known {
			before = 1
		}
		l.logged[route.Route] = route.Fraction
		changes = append(changes, logrus.Fields{
			"route": route.Route, "before": before, "after": route.Fraction, "offered": route.Offered, "bottleneck": route.Bottleneck,
			"for": route.Since, "term": view.Term, "revision": view.Revision,
		})
	}
	for route, before := range l.logged {
		if _, present := entries[route]; !present {
			delete(l.logged, route)
			changes = append(changes, logrus.Fields{"route": route, "before": before, "after": 1.0, "term": view.Term, "revision": view.Revision})
		}
	}
	return changes
}
