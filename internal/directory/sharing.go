package directory

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/rollout"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// recordHeartbeat records a heartbeat that a server sent to this node.
func (n *Node) recordHeartbeat(instance registry.Instance) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	// Under the mutex, so that a departure applied later finds the server in the table.
	if !n.registry.Knows(instance.ID) {
		state := n.member.state()
		instance.KnownSinceIndex = state.nextIndex()
		instance.Replaced = instance.Sequence > n.initialHeartbeats() && state.serverDeparted(registry.NameOf(instance.ID))
	}
	if n.updateTable(n.member.state(), instance) {
		n.changedServers[instance.ID] = true
		n.notifyRoutersSoon()
		n.logger.WithField("instance", instance.ID).WithField("service", instance.Service).
			WithField("address", instance.Address).WithField("state", instance.State).Info("instance_changed")
		return
	}
	n.repeatedHeartbeats[instance.ID] = instance.Sequence
}

// initialHeartbeats is how many heartbeats an incarnation may send before a node accepts one: as
// many nodes as may be lost at once may not answer, or reject it. An unknown incarnation of a
// departed server whose first accepted heartbeat is a later one may have stopped already, so it
// must keep sending heartbeats before it gets work.
func (n *Node) initialHeartbeats() uint64 { return uint64(n.config.Losses) + 1 }

// logReplaced logs which instances were replaced by others. The caller holds the mutex.
func (n *Node) logReplaced() {
	for _, replaced := range n.registry.TakeReplacements() {
		suppressed, allowed := n.replacedLogLimit.Allow(steadyclock.Now())
		if !allowed {
			continue
		}
		n.logger.WithFields(logrus.Fields{
			"instance": replaced.ID, "by": replaced.By, "address": replaced.Address, "left_out": suppressed,
		}).Info("instance_replaced")
	}
}

// updateTable updates the table with a reported instance, as leaving if a departure applies to
// it, and reports whether routers must be notified. The caller holds the mutex.
func (n *Node) updateTable(state *stateMachine, reported registry.Instance) bool {
	defer n.logReplaced()
	now, earliest := steadyclock.Now(), reported
	if known, exists := n.registry.Get(now, reported.ID); exists && (reported.KnownSinceIndex == 0 || known.KnownSinceIndex < reported.KnownSinceIndex) {
		earliest.KnownSinceIndex = known.KnownSinceIndex
	}
	if !state.departureApplies(earliest) {
		// An instance unknown here may come from another node that has not applied the
		// departure yet.
		reported.Replaced = reported.Replaced || state.mayHaveDeparted(earliest)
		return n.registry.Report(now, reported)
	}
	reported.State = registry.Leaving
	changed := n.registry.Report(now, reported)
	// A report with a lower sequence than the last one does not update the state.
	return n.registry.MarkLeaving(reported.ID) || changed
}

// runSharing sends the servers that reported to this node to the other nodes, and copies the
// table of another node at startup.
func (n *Node) runSharing(ctx context.Context) {
	lastHeartbeats := steadyclock.Now()
	positions := make(map[string]tablePosition)
	runEvery(ctx, shareInterval, func() {
		n.settle(ctx, positions)
		withHeartbeats := steadyclock.Since(lastHeartbeats) >= heartbeatShareInterval
		if withHeartbeats {
			lastHeartbeats = steadyclock.Now()
			n.expire()
		}
		message := n.drainShare(withHeartbeats)
		if len(message.Instances)+len(message.Heartbeats)+len(message.Routers)+len(message.SuspectReports) == 0 {
			return
		}
		n.share(ctx, message)
	})
}

// share sends a message to the other nodes. It is encoded once for all of them.
func (n *Node) share(ctx context.Context, message shareMessage) {
	body, err := encodeShared(message)
	if err != nil {
		n.logger.WithError(err).Error("share_not_encoded")
		return
	}
	for _, address := range n.peerAddresses() {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, deliverTimeout)
			defer cancel()
			if err := n.peers.send(callCtx, address, pathShare, body); err != nil {
				n.logger.WithField("node", address).WithField("reason", err).Debug("not_shared")
			}
		}()
	}
}

// drainShare returns the changes to share and clears them.
func (n *Node) drainShare(withHeartbeats bool) shareMessage {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	changed := maps.Clone(n.changedServers)
	clear(n.changedServers)
	for id := range changed {
		delete(n.repeatedHeartbeats, id)
	}
	message := shareMessage{Settled: n.settled, SuspectReports: n.suspectReports}
	n.suspectReports = nil
	now := steadyclock.Now()
	if withHeartbeats {
		for _, id := range slices.Sorted(maps.Keys(n.repeatedHeartbeats)) {
			message.Heartbeats = append(message.Heartbeats, sharedHeartbeat{ID: id, Sequence: n.repeatedHeartbeats[id]})
		}
		clear(n.repeatedHeartbeats)
		message.Routers = n.routers.calledHere(now, routerShareWindow)
	}
	if len(changed) == 0 {
		return message
	}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		if instance, known := n.registry.Get(now, id); known && (instance.State != registry.Missing || instance.Replaced) {
			message.Instances = append(message.Instances, instance)
		}
	}
	return message
}

// mergeShare merges a message shared by another node.
func (n *Node) mergeShare(message shareMessage) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	state := n.member.state()
	now := steadyclock.Now()
	changed := false
	for _, instance := range message.Instances {
		changed = n.updateTable(state, instance) || changed
	}
	for _, repeated := range message.Heartbeats {
		changed = n.registry.Refresh(now, repeated.ID, repeated.Sequence) || changed
		n.tableIncomplete = n.tableIncomplete || !n.registry.Knows(repeated.ID)
	}
	n.logReplaced()
	routersChanged := false
	for _, router := range message.Routers {
		routersChanged = n.routers.recordCall(now, router, false) || routersChanged
	}
	for _, report := range message.SuspectReports {
		routersChanged = n.routers.recordSuspects(now, report) || routersChanged
	}
	if routersChanged {
		n.markRoutersChanged()
	}
	if changed {
		n.notifyRoutersSoon()
	}
}

// suspectRouters records a router's report that other routers failed to answer it.
func (n *Node) suspectRouters(report SuspectReport) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	report.Routers = lo.Slice(report.Routers, 0, maxSuspectedRouters)
	if len(n.suspectReports) < maxSharedSuspectReports {
		n.suspectReports = append(n.suspectReports, report)
	}
	if n.routers.recordSuspects(steadyclock.Now(), report) {
		n.markRoutersChanged()
		n.logger.WithField("by", report.By).WithField("routers", strings.Join(report.Routers, " ")).Info("routers_doubted")
	}
}

// Limits on reports of failed routers.
const (
	// maxSuspectedRouters is how many routers one report may name.
	maxSuspectedRouters = 64
	// maxSharedSuspectReports is how many reports are shared in one interval.
	maxSharedSuspectReports = 256
)

// stateReplaced is the metric label for instances replaced by other starts of their servers.
const stateReplaced = "replaced"

func (n *Node) expire() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := steadyclock.Now()
	n.routers.expire(now)
	if n.registry.Expire(now) {
		n.notifyRoutersSoon()
	}
	for _, state := range []registry.State{registry.Ready, registry.Leaving, registry.Missing} {
		n.metrics.instances.WithLabelValues(string(state)).Set(float64(n.registry.Count(state)))
	}
	n.metrics.instances.WithLabelValues(stateReplaced).Set(float64(n.registry.CountReplaced()))
}

// runDepartures marks in the table the servers that departed according to the replicated log,
// and notifies routers of state changes, such as a new document.
func (n *Node) runDepartures(ctx context.Context) {
	position, nameIndex := 0, uint64(0)
	var document, evacuations, quarantined uint64
	phases := make(map[uint64]rollout.Phase)
	for {
		state, replaced := n.member.state(), n.member.machineReplaced()
		version, _, changed := state.document()
		ids, next := state.departures(position)
		position = next
		names := state.departedNames(nameIndex)
		n.logDepartures(ids, names)
		document = n.reportDocument(version, document)
		evacuations = n.reportEvacuations(state, evacuations)
		quarantined = n.countQuarantine(state, quarantined)
		n.markReplacedServers(state, phases)
		n.mutex.Lock()
		for _, id := range ids {
			n.registry.MarkLeaving(id)
		}
		for _, departure := range names {
			n.registry.MarkNameLeaving(departure)
			nameIndex = max(nameIndex, departure.LogIndex)
		}
		n.logReplaced()
		n.notifyRouters()
		n.mutex.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-replaced:
			position, nameIndex = 0, 0
		}
	}
}
