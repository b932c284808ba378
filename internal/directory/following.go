package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// maxFollowWait bounds how long a router's call is held. It is also how long a router keeps
// following a node that has stopped answering.
const maxFollowWait = time.Second

// Follow replies to a router as soon as there is an update that it lacks or this node's state
// becomes stale, or else after the requested wait. Without a leader it fails with ErrUnavailable
// for a router that comes from elsewhere. A router that follows it already learns how old the
// state is and decides itself: if all left at once, their calls would compete with the election.
func (n *Node) Follow(ctx context.Context, request FollowRequest) (FollowReply, error) {
	if !n.servesSeeds(request.Seeds) {
		return FollowReply{}, errOtherSeeds
	}
	receivedAt, staleBefore := steadyclock.Now(), n.stale.Load()
	deadline := time.NewTimer(min(request.Wait, maxFollowWait))
	defer deadline.Stop()
	recorded := false
	for {
		if !n.inGroup() && (request.Probe || request.Source != n.source) {
			return FollowReply{}, errors.Wrap(ErrUnavailable, "no leader is heard")
		}
		if request.Probe {
			return n.probeReply(receivedAt), nil
		}
		if !recorded {
			n.recordLoad(receivedAt, request)
			recorded = true
		}
		state := n.member.state()
		fresh := n.freshnessAt(state, receivedAt)
		reply, hasUpdates, changed, err := n.updatesFor(state, request, receivedAt)
		reply.Fresh = &fresh
		if hasUpdates || err != nil || n.stale.Load() && !staleBefore {
			return reply, err
		}
		if !n.awaitChange(ctx, changed, deadline.C) {
			n.setFreshness(state, request, receivedAt, &reply)
			return reply, ctx.Err()
		}
	}
}

// awaitChange waits for a change and returns true, or false once the deadline has passed or the
// call has ended.
func (n *Node) awaitChange(ctx context.Context, changed <-chan struct{}, deadline <-chan time.Time) bool {
	n.waiting.Add(1)
	defer n.waiting.Add(-1)
	select {
	case <-changed:
		return true
	case <-deadline:
	case <-ctx.Done():
	}
	return false
}

// setFreshness updates the reported freshness after a wait without updates, unless the document
// has changed since.
func (n *Node) setFreshness(state *stateMachine, request FollowRequest, receivedAt time.Time, reply *FollowReply) {
	fresh := n.freshnessAt(state, receivedAt)
	if version, _, _ := state.document(); version <= request.Version {
		reply.Fresh = &fresh
	}
}

// updatesFor returns the updates that a router whose call arrived at a time lacks, whether there
// are any, and a channel that is closed on the next change.
func (n *Node) updatesFor(state *stateMachine, request FollowRequest, receivedAt time.Time) (reply FollowReply, hasUpdates bool, changed <-chan struct{}, err error) {
	version, document, err := n.newerDocument(state, request.Version)
	if err != nil {
		return FollowReply{}, false, nil, err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := steadyclock.Now()
	if n.routers.recordCall(now, sharedRouter{Router: request.Router, Calls: request.Calls}, true) {
		n.markRoutersChanged()
	}
	routers := n.summary.current(now, n.routers)
	reply = FollowReply{
		Source: n.source, Group: n.group(), Settled: n.settled, Version: version, Document: document,
		RouterCount: routers.count, Calls: n.demand.update(now, routers.calls),
		Nodes: lo.Map(n.status().Members, func(m consensus.MemberStatus, _ int) string { return m.Address }),
	}
	reply.RoutersDigest, reply.AbsentDigest = routers.routersDigest, routers.absentDigest
	routersDiffer, absentDiffer := routers.routersDigest != request.RoutersDigest, routers.absentDigest != request.AbsentDigest
	if routersDiffer {
		reply.Routers = routers.routers
	}
	if absentDiffer {
		reply.Absent = routers.absent
	}
	evacuated, revision := state.evacuations()
	evacuationsDiffer := revision > request.EvacuationRevision
	if reply.EvacuationRevision = revision; evacuationsDiffer {
		reply.Evacuated = zoneNames(evacuated)
	}
	reply.QuarantineRevision, reply.QuarantineEntries = state.quarantineUpdate(request.QuarantineRevision)
	quarantineDiffers := reply.QuarantineRevision > request.QuarantineRevision
	reply.MeteredDigest = n.meteredDigest
	meteredDiffers := n.meteredDigest != request.MeteredDigest
	if meteredDiffers {
		reply.Metered = n.metered.Tenants
	}
	reply.Rollouts, reply.RolloutRevision = n.rolloutUpdate(state, request.RolloutRevision)
	rolloutsDiffer := reply.RolloutRevision > request.RolloutRevision
	loadDiffers := n.addLoad(&reply, request, receivedAt)
	sameSource := request.Source == n.source
	if !sameSource {
		request.Departures, request.DepartedNames = 0, 0
	}
	n.addInstances(&reply, now, request)
	reply.Departed, reply.Departures = state.departures(request.Departures)
	reply.DepartedNames = state.departedNames(request.DepartedNames)
	hasUpdates = !sameSource || len(reply.Instances) > 0 || len(reply.Departed) > 0 || len(reply.DepartedNames) > 0 || reply.Version > 0 || routersDiffer || absentDiffer || evacuationsDiffer || quarantineDiffers || meteredDiffers || rolloutsDiffer || loadDiffers
	return reply, hasUpdates, n.changed, nil
}

// addInstances adds the servers that a router lacks to a reply. A router without this node's
// table gets it by a call of its own, so that a long table delays no other update. The caller
// holds the mutex.
func (n *Node) addInstances(reply *FollowReply, now time.Time, request FollowRequest) {
	tableSource, since := request.Source, request.Revision
	if request.SeparateTable {
		tableSource = request.TableSource
	}
	if tableSource != n.source {
		if request.SeparateTable {
			reply.TableOmitted = true
			return
		}
		reply.Complete, since = true, 0
	}
	reply.Revision = n.registry.Revision()
	reply.Instances = n.registry.ChangedSince(now, since)
}

// newerDocument returns the document if its version is greater than above, otherwise 0 and nil.
func (n *Node) newerDocument(state *stateMachine, above uint64) (uint64, PackedDocument, error) {
	version, text, _ := state.document()
	if version <= above {
		return 0, nil, nil
	}
	packed, err := n.packer.pack(version, text)
	if err != nil {
		return 0, nil, errors.Mark(err, ErrUnavailable)
	}
	return version, packed, nil
}
