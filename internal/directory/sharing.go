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

// report takes in a heartbeat that a server sent to this node.
func (n *Node) report(instance registry.Instance) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	// Under the mutex: a departure that is applied later finds the server in the table.
	if !n.registry.Knows(instance.ID) {
		applied := n.member.state()
		instance.Since = applied.next()
		instance.Replaced = instance.Sequence > n.firstHeartbeats() && applied.hasLeft(registry.NameOf(instance.ID))
	}
	if n.enter(n.member.state(), instance) {
		n.fresh[instance.ID] = true
		n.announceSoon()
		n.logger.WithField("instance", instance.ID).WithField("service", instance.Service).
			WithField("address", instance.Address).WithField("state", instance.State).Info("instance_changed")
		return
	}
	n.beats[instance.ID] = instance.Sequence
}

// firstHeartbeats is how many heartbeats a start may send until a node takes one in: as many nodes as may be
// lost at once may not answer, or refuse it. One that is heard of first by a later heartbeat, of a server that
// has left, may have ended: it has to go on before it gets work.
func (n *Node) firstHeartbeats() uint64 { return uint64(n.config.Losses) + 1 }

// tellReplaced logs which instances others have replaced. The caller holds the mutex.
func (n *Node) tellReplaced() {
	for _, replaced := range n.registry.TakeReplaced() {
		leftOut, tells := n.replacedLines.Take(steadyclock.Now())
		if !tells {
			continue
		}
		n.logger.WithFields(logrus.Fields{
			"instance": replaced.ID, "by": replaced.By, "address": replaced.Address, "left_out": leftOut,
		}).Info("instance_replaced")
	}
}

// enter takes what is told of an instance into the table, as leaving if a departure holds for
// it, and reports whether routers must know of it. The caller holds the mutex.
func (n *Node) enter(applied *machine, told registry.Instance) bool {
	defer n.tellReplaced()
	now, first := steadyclock.Now(), told
	if known, exists := n.registry.Get(now, told.ID); exists && (told.Since == 0 || known.Since < told.Since) {
		first.Since = known.Since
	}
	if !applied.holds(first) {
		// What is new here came from another node, which may not have applied the departure yet.
		told.Replaced = told.Replaced || applied.doubts(first)
		return n.registry.Report(now, told)
	}
	told.State = registry.Leaving
	changed := n.registry.Report(now, told)
	// A report with a lower sequence than the last one says nothing of the state.
	return n.registry.Leave(told.ID) || changed
}

// runSharing tells the other nodes what servers said to this one, and takes the
// table of another node over at the start.
func (n *Node) runSharing(ctx context.Context) {
	lastBeats := steadyclock.Now()
	taken := make(map[string]tablePosition)
	every(ctx, shareInterval, func() {
		n.settle(ctx, taken)
		withBeats := steadyclock.Since(lastBeats) >= beatShareInterval
		if withBeats {
			lastBeats = steadyclock.Now()
			n.expire()
		}
		message := n.takeShare(withBeats)
		if len(message.Instances)+len(message.Beats)+len(message.Routers)+len(message.Doubts) == 0 {
			return
		}
		n.share(ctx, message)
	})
}

// share tells the other nodes. What is told is encoded once for all of them.
func (n *Node) share(ctx context.Context, message shareMessage) {
	body, err := encodeShared(message)
	if err != nil {
		n.logger.WithError(err).Error("share_not_encoded")
		return
	}
	for _, address := range n.peerAddresses() {
		go func() {
			calling, cancel := context.WithTimeout(ctx, deliverTimeout)
			defer cancel()
			if err := n.peers.send(calling, address, pathShare, body); err != nil {
				n.logger.WithField("node", address).WithField("reason", err).Debug("not_shared")
			}
		}()
	}
}

// takeShare empties the sets of what is to be told.
func (n *Node) takeShare(withBeats bool) shareMessage {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	wanted := maps.Clone(n.fresh)
	clear(n.fresh)
	for id := range wanted {
		delete(n.beats, id)
	}
	message := shareMessage{Settled: n.settled, Doubts: n.doubts}
	n.doubts = nil
	now := steadyclock.Now()
	if withBeats {
		for _, id := range slices.Sorted(maps.Keys(n.beats)) {
			message.Beats = append(message.Beats, beat{ID: id, Sequence: n.beats[id]})
		}
		clear(n.beats)
		message.Routers = n.routers.direct(now, routerShare)
	}
	if len(wanted) == 0 {
		return message
	}
	for _, id := range slices.Sorted(maps.Keys(wanted)) {
		if instance, known := n.registry.Get(now, id); known && (instance.State != registry.Missing || instance.Replaced) {
			message.Instances = append(message.Instances, instance)
		}
	}
	return message
}

// takeIn merges what another node told.
func (n *Node) takeIn(message shareMessage) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	applied := n.member.state()
	now := steadyclock.Now()
	changed := false
	for _, instance := range message.Instances {
		changed = n.enter(applied, instance) || changed
	}
	for _, repeated := range message.Beats {
		changed = n.registry.Refresh(now, repeated.ID, repeated.Sequence) || changed
		n.lacking = n.lacking || !n.registry.Knows(repeated.ID)
	}
	n.tellReplaced()
	others := false
	for _, router := range message.Routers {
		others = n.routers.report(now, router, false) || others
	}
	for _, told := range message.Doubts {
		others = n.routers.doubt(now, told) || others
	}
	if others {
		n.routersChanged()
	}
	if changed {
		n.announceSoon()
	}
}

// doubtRouters takes in that routers failed, from one that asked them.
func (n *Node) doubtRouters(told Doubt) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	told.Routers = lo.Slice(told.Routers, 0, maxDoubted)
	if len(n.doubts) < maxDoubtsShared {
		n.doubts = append(n.doubts, told)
	}
	if n.routers.doubt(steadyclock.Now(), told) {
		n.routersChanged()
		n.logger.WithField("by", told.By).WithField("routers", strings.Join(told.Routers, " ")).Info("routers_doubted")
	}
}

// Bounds of what routers tell of others.
const (
	// maxDoubted is how many routers one may tell of at once.
	maxDoubted = 64
	// maxDoubtsShared is how many such messages are passed on in one interval.
	maxDoubtsShared = 256
)

// stateReplaced is the label of instances that other starts of their servers have replaced.
const stateReplaced = "replaced"

func (n *Node) expire() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := steadyclock.Now()
	n.routers.expire(now)
	if n.registry.Expire(now) {
		n.announceSoon()
	}
	for _, state := range []registry.State{registry.Ready, registry.Leaving, registry.Missing} {
		n.metrics.instances.WithLabelValues(string(state)).Set(float64(n.registry.Count(state)))
	}
	n.metrics.instances.WithLabelValues(stateReplaced).Set(float64(n.registry.CountReplaced()))
}

// runDepartures marks in the table who is known to leave by the replicated log,
// and wakes routers when the document changed.
func (n *Node) runDepartures(ctx context.Context) {
	position, named := 0, uint64(0)
	var evacuations, quarantined uint64
	phases := make(map[uint64]rollout.Phase)
	for {
		applied, replaced := n.member.state(), n.member.wasReplaced()
		version, _, changed := applied.document()
		ids, next := applied.departures(position)
		position = next
		names := applied.departedNames(named)
		n.tellDepartures(ids, names)
		n.metrics.version.Set(float64(version))
		evacuations = n.tellEvacuations(applied, evacuations)
		quarantined = n.countQuarantine(applied, quarantined)
		n.retireOld(applied, phases)
		n.mutex.Lock()
		for _, id := range ids {
			n.registry.Leave(id)
		}
		for _, left := range names {
			n.registry.LeaveName(left)
			named = max(named, left.Before)
		}
		n.tellReplaced()
		n.announce()
		n.mutex.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-replaced:
			position, named = 0, 0
		}
	}
}
