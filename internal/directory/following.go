package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// maxFollowWait bounds how long a router's call is held. It is also how long a
// router that hears nothing keeps a node that has become silent.
const maxFollowWait = time.Second

// Follow answers a router as soon as there is something that it does not know, or this node's
// state becomes out of date, or after the time that the router is ready to wait. A node that
// hears no leader fails with ErrUnavailable, so that the router follows another one.
func (n *Node) Follow(ctx context.Context, request FollowRequest) (FollowReply, error) {
	if !n.servesSeeds(request.Seeds) {
		return FollowReply{}, errOtherSeeds
	}
	arrived, staleBefore := steadyclock.Now(), n.stale.Load()
	deadline := time.NewTimer(min(request.Wait, maxFollowWait))
	defer deadline.Stop()
	for {
		if !n.inGroup() {
			return FollowReply{}, errors.Wrap(ErrUnavailable, "no leader is heard")
		}
		if request.Probe {
			return n.freshProbe(arrived), nil
		}
		applied := n.member.state()
		fresh := n.freshSince(applied, arrived)
		reply, news, changed, err := n.news(applied, request)
		reply.Fresh = &fresh
		if news || err != nil || n.stale.Load() && !staleBefore {
			return reply, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			n.refresh(applied, request, arrived, &reply)
			return reply, nil
		case <-ctx.Done():
			return FollowReply{}, ctx.Err()
		}
	}
}

// refresh tells a router that waited in vain how fresh its document is now, if there is no
// newer one.
func (n *Node) refresh(applied *machine, request FollowRequest, arrived time.Time, reply *FollowReply) {
	fresh := n.freshSince(applied, arrived)
	if version, _, _ := applied.document(); version <= request.Version {
		reply.Fresh = &fresh
	}
}

// news returns what a router does not know, whether that is anything, and a
// channel that is closed when there is more.
func (n *Node) news(applied *machine, request FollowRequest) (reply FollowReply, news bool, changed <-chan struct{}, err error) {
	version, document, err := n.newerDocument(applied, request.Version)
	if err != nil {
		return FollowReply{}, false, nil, err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := steadyclock.Now()
	if n.routers.report(now, sharedRouter{Router: request.Router, Calls: request.Calls}, true) {
		n.routersChanged()
	}
	routers := n.summary.current(now, n.routers)
	reply = FollowReply{
		Source: n.source, Group: n.group(), Revision: n.registry.Revision(), Settled: n.settled, Version: version, Document: document,
		RouterCount: routers.count, Calls: n.demand.follow(now, routers.calls),
		Nodes: lo.Map(n.status().Members, func(m consensus.MemberStatus, _ int) string { return m.Address }),
	}
	reply.RoutersDigest, reply.AbsentDigest = routers.routersDigest, routers.absentDigest
	otherRouters, otherAbsent := routers.routersDigest != request.Routers, routers.absentDigest != request.Absent
	if otherRouters {
		reply.Routers = routers.routers
	}
	if otherAbsent {
		reply.Absent = routers.absent
	}
	evacuated, revision := applied.evacuations()
	otherEvacuated := revision > request.Evacuations
	if reply.Evacuations = revision; otherEvacuated {
		reply.Evacuated = zoneNames(evacuated)
	}
	reply.Quarantine, reply.QuarantineEntries = applied.quarantineNews(request.Quarantine)
	otherQuarantine := reply.Quarantine > request.Quarantine
	reply.MeteredDigest = n.meteredDigest
	otherMetered := n.meteredDigest != request.Metered
	if otherMetered {
		reply.Metered = n.metered.Tenants
	}
	reply.Rollouts, reply.RolloutRevision = n.rolloutNews(applied, request.Rollouts)
	otherRollouts := reply.RolloutRevision > request.Rollouts
	same := request.Source == n.source
	since := request.Revision
	if !same {
		since, request.Departures, request.DepartedNames = 0, 0, 0
	}
	reply.Whole = !same
	reply.Instances = n.registry.Since(now, since)
	reply.Departed, reply.Departures = applied.departures(request.Departures)
	reply.DepartedNames = applied.departedNames(request.DepartedNames)
	news = !same || len(reply.Instances) > 0 || len(reply.Departed) > 0 || len(reply.DepartedNames) > 0 || reply.Version > 0 || otherRouters || otherAbsent || otherEvacuated || otherQuarantine || otherMetered || otherRollouts
	return reply, news, n.changed, nil
}

// newerDocument returns the document if its version is above one, else 0 and
// nothing.
func (n *Node) newerDocument(applied *machine, above uint64) (uint64, PackedDocument, error) {
	version, text, _ := applied.document()
	if version <= above {
		return 0, nil, nil
	}
	packed, err := n.packer.pack(version, text)
	if err != nil {
		return 0, nil, errors.Mark(err, ErrUnavailable)
	}
	return version, packed, nil
}
