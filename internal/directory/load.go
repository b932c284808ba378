package directory

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Intervals of the exchange of load figures.
const (
	// loadInterval is how often a node checks whether its summary changed, and the leader
	// whether the view did.
	loadInterval = 100 * time.Millisecond
	// summaryResendInterval is how often a node sends an unchanged summary. It is below
	// loadview.SummaryLifetime.
	summaryResendInterval = 500 * time.Millisecond
	// rememberedSummaries is how many sent summaries a node remembers: those of more than
	// loadview.MaxAge.
	rememberedSummaries = 64
)

// loadSummary carries the summary of a node to the leader.
type loadSummary struct {
	// Address is the node's peer address, Source identifies its start, and Sequence increases
	// with each of its summaries.
	Address  string           `json:"address"`
	Source   string           `json:"source"`
	Sequence uint64           `json:"sequence"`
	Summary  loadview.Summary `json:"summary"`
	// HeldTerm and HeldRevision are those of the view that the node holds.
	HeldTerm     uint64 `json:"held_term,omitempty"`
	HeldRevision uint64 `json:"held_revision,omitempty"`
}

// loadReceipt is the leader's reply to a summary.
type loadReceipt struct {
	// Arrivals are the routers that recently arrived at other nodes.
	Arrivals []loadview.Arrival `json:"arrivals,omitempty"`
	// Missed is the last view if the node does not hold it although it was published a while ago.
	Missed *publishedView `json:"missed,omitempty"`
}

// publishedView carries a view from the leader to a node.
type publishedView struct {
	View loadview.View `json:"view"`
	// Source and Sequence are those of the last summary that the leader received from the node,
	// and Elapsed is the time between its receipt and the publication, negative if the view was
	// published before. The node thus knows an upper bound of the age of the view by its own
	// clock, even if it was suspended meanwhile.
	Source   string        `json:"source"`
	Sequence uint64        `json:"sequence"`
	Elapsed  time.Duration `json:"elapsed"`
}

// nodeLoad holds the reports of a node's routers and what the node has sent of them.
type nodeLoad struct {
	mutex     sync.Mutex
	collector *loadview.Collector
	// sequence is that of the last summary that was sent, and sentAt when each of the last ones
	// was sent.
	sequence uint64
	sentAt   map[uint64]time.Time
	// lastSent is the last summary, and lastReceiver the leader that received it; empty if it
	// was not received.
	lastSent     loadview.Summary
	lastReceiver string
}

func newNodeLoad() nodeLoad {
	return nodeLoad{collector: loadview.NewCollector(), sentAt: make(map[uint64]time.Time)}
}

// recordLoad records the report of a router's call that arrived at a time. It is called once for
// each call, since a held call is looked at again whenever something changes.
func (n *Node) recordLoad(receivedAt time.Time, request FollowRequest) {
	if request.Load == nil || request.Probe || request.Router.Name == "" {
		return
	}
	n.load.mutex.Lock()
	defer n.load.mutex.Unlock()
	n.load.collector.Record(receivedAt, request.Router.Name, *request.Load)
}

// addLoad adds the view to a reply if the router holds another one, and reports whether the
// router's is older. Only then is the reply sent at once: a router that comes from a node which
// is ahead would otherwise call again and again. The caller holds the mutex.
func (n *Node) addLoad(reply *FollowReply, request FollowRequest, receivedAt time.Time) bool {
	held := &n.heldLoad.View
	if request.Load == nil || n.heldLoad.At.IsZero() || held.Term == request.LoadTerm && held.Revision == request.LoadRevision {
		return false
	}
	view := *held
	validAt := n.heldLoad.At.Sub(receivedAt)
	reply.Load, reply.LoadAt = &view, &validAt
	return view.Newer(loadview.View{Term: request.LoadTerm, Revision: request.LoadRevision})
}

// runLoad sends summaries of the routers' reports to the leader and, while this node leads,
// publishes the view of load.
func (n *Node) runLoad(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	inFlight := make(chan struct{}, 1)
	runEvery(ctx, loadInterval, func() {
		if n.status().Role == consensus.Leader {
			n.leadLoad(ctx)
			return
		}
		select {
		case inFlight <- struct{}{}:
			sending.Go(func() {
				defer func() { <-inFlight }()
				n.sendSummary(ctx)
			})
		default: // The leader has not answered the last one yet.
		}
	})
}

// sendSummary sends the summary to the leader if it changed, if there is another leader or if the
// last one was sent summaryResendInterval ago.
func (n *Node) sendSummary(ctx context.Context) {
	status := n.status()
	leader := status.LeaderAddress
	if status.Leader == 0 || leader == "" {
		return
	}
	message, due := n.nextSummary(steadyclock.Now(), leader)
	if !due {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	var receipt loadReceipt
	if err := n.peers.call(callCtx, leader, pathLoad, message, &receipt); err != nil {
		n.logger.WithField("node", leader).WithField("reason", err).Debug("load_not_sent")
		return
	}
	if receipt.Missed != nil {
		n.acceptView(*receipt.Missed)
	}
	n.load.mutex.Lock()
	defer n.load.mutex.Unlock()
	n.load.lastReceiver = leader
	n.load.collector.Forget(steadyclock.Now(), receipt.Arrivals)
}

// nextSummary returns the next summary for a leader and whether it is due. A due one counts as
// sent.
func (n *Node) nextSummary(now time.Time, leader string) (message loadSummary, due bool) {
	held, load := n.heldView().View, &n.load
	load.mutex.Lock()
	defer load.mutex.Unlock()
	summary := load.collector.Summary(now)
	age := now.Sub(load.sentAt[load.sequence])
	if load.lastReceiver == leader && age < summaryResendInterval && summary.SameFigures(load.lastSent) {
		return loadSummary{}, false
	}
	load.sequence++
	load.sentAt[load.sequence] = now
	delete(load.sentAt, load.sequence-min(load.sequence, rememberedSummaries))
	load.lastSent, load.lastReceiver = summary, ""
	return loadSummary{
		Address: n.config.PeerAddress, Source: n.source, Sequence: load.sequence, Summary: summary,
		HeldTerm: held.Term, HeldRevision: held.Revision,
	}, true
}

// acceptView stores a view published by the leader. Its figures are valid as of when this node
// sent the summary that the leader refers to, plus the time that passed at the leader since.
func (n *Node) acceptView(published publishedView) {
	n.load.mutex.Lock()
	sentAt, known := n.load.sentAt[published.Sequence]
	n.load.mutex.Unlock()
	if published.Source != n.source || !known {
		return // The age is unknown; the leader answers the next summary.
	}
	n.applyView(published.View, sentAt.Add(published.Elapsed))
}

// applyView stores a newer view with the time as of which it is valid, and notifies routers.
func (n *Node) applyView(view loadview.View, at time.Time) {
	encoded, err := json.Marshal(view)
	if err != nil {
		n.logger.WithError(err).Error("load_view_not_encoded")
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !view.Newer(n.heldLoad.View) {
		return
	}
	n.heldLoad = loadview.Held{View: view, At: at}
	n.metrics.setLoad(view, len(encoded))
	n.logger.WithFields(logrus.Fields{
		"term": view.Term, "revision": view.Revision, "routes": len(view.Routes), "services": len(view.Services), "bytes": len(encoded),
	}).Debug("load_view_held")
	n.notifyRoutersSoon()
}

// heldView returns the view that this node holds.
func (n *Node) heldView() loadview.Held {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.heldLoad
}
