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

// groupInterval is how often a node that does not know its group asks for it.
const groupInterval = joinInterval

// knownGroup is the group of a node; 0 until it is known. It is safe for concurrent use.
type knownGroup struct{ value atomic.Uint64 }

func (g *knownGroup) get() addressee.Group      { return addressee.Group(g.value.Load()) }
func (g *knownGroup) set(group addressee.Group) { g.value.Store(uint64(group)) }

// group returns that of this node; 0 until it is known.
func (n *Node) group() addressee.Group { return n.peers.group.get() }

// ownGroup returns the group that an identity belongs to, as far as its folder tells.
func (i identity) ownGroup() addressee.Group {
	if i.GroupID == 0 && i.Founder {
		return addressee.GroupOf(i.Group)
	}
	return i.GroupID
}

// refuseOthers serves only the calls of processes that don't belong to another group.
func (n *Node) refuseOthers(next http.Handler) http.Handler {
	own := func() addressee.Identity { return addressee.Identity{Group: n.group()} }
	return addressee.Handler(own, n.noteMisdirected, next)
}

// errOtherSeeds is an ErrUnavailable: a process that knows no group looks for another one.
var errOtherSeeds = &refusedError{detail: "the caller's seeds are not of this group"}

// servesSeeds reports whether a process that knows no group may look for that of this node, by its
// seeds; none are of one that knows it, or of an earlier version.
func (n *Node) servesSeeds(seeds []string) bool {
	if len(seeds) == 0 {
		return true
	}
	// Each member is at one address, also one that has just moved from another seed's.
	member := n.member.voter()
	members := lo.Map(n.status().Members, func(m consensus.MemberStatus, _ int) string { return member.ReachedAt(m.ID) })
	return n.group().Serves(seeds, members)
}

func (n *Node) noteMisdirected(refused *addressee.MisdirectedError) {
	n.metrics.misdirected.Inc()
	if leftOut, tells := n.misdirected.Take(steadyclock.Now()); tells {
		n.logger.WithFields(logrus.Fields{
			"expected_group": refused.Expected.Group, "found_group": refused.Found.Group, "left_out": leftOut,
		}).Warn("call_misdirected")
	}
}

// runGroup learns the group from other members, once this node is one: a node that joined knows
// it from nobody else.
func (n *Node) runGroup(ctx context.Context) {
	every(ctx, groupInterval, func() {
		status := n.status()
		if n.group() != 0 || !isIn(status) || status.Leader == 0 {
			return
		}
		for _, address := range groupSources(status) {
			if n.askGroup(ctx, address) {
				return
			}
		}
	})
}

// groupSources are the members that are certain to be at their addresses: the leader, which this
// node hears, or those that this node hears as the leader.
func groupSources(status voter.Status) []string {
	if status.Role != consensus.Leader {
		return []string{status.LeaderAddress}
	}
	heard := lo.Filter(status.Members, func(m consensus.MemberStatus, _ int) bool { return m.Active && m.ID != status.ID })
	return lo.Map(heard, func(m consensus.MemberStatus, _ int) string { return m.Address })
}

// askGroup asks a member for the group and reports whether it told.
func (n *Node) askGroup(ctx context.Context, address string) bool {
	calling, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	var reply FollowReply
	err := n.peers.call(calling, address, PathFollow, FollowRequest{Probe: true}, &reply)
	if err != nil || reply.Group == 0 {
		n.logger.WithField("node", address).WithField("reason", err).Debug("group_not_told")
		return false
	}
	if err := n.member.rememberID(reply.Group); err != nil {
		n.logger.WithError(err).Warn("group_not_remembered")
		return false
	}
	n.peers.group.set(reply.Group)
	n.logger.WithField("group", reply.Group).WithField("node", address).Info("group_known")
	return true
}
