package directory

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/voter"
)

// groupInterval is how often a node that does not know its group queries for it.
const groupInterval = joinInterval

// groupHolder holds the id of a node's group; 0 until it is known. It is safe for concurrent
// use.
type groupHolder struct{ value atomic.Uint64 }

func (g *groupHolder) get() addressee.Group      { return addressee.Group(g.value.Load()) }
func (g *groupHolder) set(group addressee.Group) { g.value.Store(uint64(group)) }

// group returns the id of this node's group; 0 until it is known.
func (n *Node) group() addressee.Group { return n.peers.group.get() }

// groupID returns the group that an identity belongs to; 0 if it is not stored.
func (i identity) groupID() addressee.Group {
	if i.GroupID == 0 && i.Founder {
		return addressee.GroupOf(i.PeerAddresses)
	}
	return i.GroupID
}

// rejectOtherGroups rejects calls of processes that belong to another group.
func (n *Node) rejectOtherGroups(next http.Handler) http.Handler {
	own := func() addressee.Identity { return addressee.Identity{Group: n.group()} }
	return addressee.Handler(own, n.recordMisdirected, next)
}

// errOtherSeeds is an ErrUnavailable: a process that knows no group is looking for a different
// one.
var errOtherSeeds = &refusedError{detail: "the caller's seeds are not of this group"}

// servesSeeds reports whether a process that does not know its group may join or follow this
// one, judged by its seeds. A process that knows its group, or of an earlier version, sends
// none.
func (n *Node) servesSeeds(seeds []string) bool {
	if len(seeds) == 0 {
		return true
	}
	// Each member counts at one address only, even if it has just moved from another seed's
	// address.
	member := n.member.voter()
	members := lo.Map(n.status().Members, func(m consensus.MemberStatus, _ int) string { return member.AddressOf(m.ID) })
	return n.group().MatchesSeeds(seeds, members)
}

func (n *Node) recordMisdirected(refused *addressee.MisdirectedError) {
	n.metrics.misdirected.Inc()
	if suppressed, allowed := n.misdirectedLogLimit.Allow(steadyclock.Now()); allowed {
		n.logger.WithFields(logrus.Fields{
			"expected_group": refused.Expected.Group, "found_group": refused.Found.Group, "left_out": suppressed,
		}).Warn("call_misdirected")
	}
}

// runGroup learns the group from other members once this node is a member: a node that joined
// has no other source for it.
func (n *Node) runGroup(ctx context.Context) {
	runEvery(ctx, groupInterval, func() {
		status := n.status()
		if n.group() != 0 || !isGroupMember(status) || status.Leader == 0 {
			return
		}
		for _, address := range groupSources(status) {
			if n.queryGroup(ctx, address) {
				return
			}
		}
	})
}

// groupSources returns the members that are certain to be at their addresses: the leader, or,
// on the leader, the members that respond to it.
func groupSources(status voter.Status) []string {
	if status.Role != consensus.Leader {
		return []string{status.LeaderAddress}
	}
	active := lo.Filter(status.Members, func(m consensus.MemberStatus, _ int) bool { return m.Active && m.ID != status.ID })
	return lo.Map(active, func(m consensus.MemberStatus, _ int) string { return m.Address })
}

// queryGroup queries a member for the group and reports whether it is now known.
func (n *Node) queryGroup(ctx context.Context, address string) bool {
	callCtx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	var reply FollowReply
	err := n.peers.call(callCtx, address, PathFollow, FollowRequest{Probe: true}, &reply)
	if err != nil || reply.Group == 0 {
		n.logger.WithField("node", address).WithField("reason", err).Debug("group_not_told")
		return false
	}
	if err := n.member.saveGroupID(reply.Group); err != nil {
		n.logger.WithError(err).Warn("group_not_remembered")
		return false
	}
	n.peers.group.set(reply.Group)
	n.logger.WithField("group", reply.Group).WithField("node", address).Info("group_known")
	return true
}
