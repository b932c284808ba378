package directory

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/voter"
)

// runJoining requests membership while this node is not a member, and checks whether it still
// is one while it has no leader.
func (n *Node) runJoining(ctx context.Context) {
	leaderlessSince := time.Time{}
	runEvery(ctx, joinInterval, func() {
		status := n.status()
		if isGroupMember(status) && status.Leader != 0 {
			leaderlessSince = time.Time{}
			n.savePeerAddresses(status)
			return
		}
		if leaderlessSince.IsZero() {
			leaderlessSince = steadyclock.Now()
		}
		if isGroupMember(status) && steadyclock.Since(leaderlessSince) < leaderlessTimeout {
			return
		}
		n.requestMembership(ctx)
	})
}

// isGroupMember reports whether a node is a member of the group, as a voter or a learner.
func isGroupMember(status voter.Status) bool {
	return lo.ContainsBy(status.Members, func(m consensus.MemberStatus) bool { return m.ID == status.ID })
}

func (n *Node) savePeerAddresses(status voter.Status) {
	addresses := lo.Map(status.Members, func(m consensus.MemberStatus, _ int) string { return m.Address })
	if err := n.member.savePeerAddresses(addresses); err != nil {
		n.logger.WithError(err).Debug("group_not_remembered")
	}
}

// requestMembership sends a join request to every known node; the leader among them records it.
func (n *Node) requestMembership(ctx context.Context) {
	request := joinRequest{ID: n.member.id(), Address: n.config.PeerAddress}
	if n.group() == 0 {
		request.Seeds = *n.seeds.Load()
	}
	replies := make(chan joinReply, maxJoinTargets)
	targets := lo.Slice(n.joinTargets(), 0, maxJoinTargets)
	callCtx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	for _, address := range targets {
		go func() {
			var reply joinReply
			if n.peers.call(callCtx, address, pathJoin, request, &reply) != nil {
				reply = joinReply{}
			}
			replies <- reply
		}()
	}
	removed := false
	var members []string
	for range targets {
		reply := <-replies
		removed = removed || reply.Removed
		members = append(members, reply.Group...)
	}
	// The leader may not be among the queried nodes; the next round includes it.
	n.mutex.Lock()
	n.reportedMembers = lo.Uniq(members)
	n.mutex.Unlock()
	if removed {
		n.rejoinAsNewVoter(request.ID)
	}
}

// maxJoinTargets bounds the nodes queried at once.
const maxJoinTargets = 16

// joinTargets returns the nodes to query: the seeds, and for a node that was a member also the
// members that it remembers.
func (n *Node) joinTargets() []string {
	known := append(n.joinableMembers(), n.peerAddresses()...)
	known = append(known, *n.seeds.Load()...)
	known = append(known, n.member.peerAddresses()...)
	return lo.Without(lo.Uniq(known), n.config.PeerAddress, "")
}

// joinableMembers returns the members reported by nodes whose group this node may join.
func (n *Node) joinableMembers() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Clone(n.reportedMembers)
}

func (n *Node) rejoinAsNewVoter(removed uint64) {
	n.logger.WithField("voter", removed).Warn("removed_from_group: rejoining as a new voter")
	if err := n.member.rejoin(); err != nil {
		n.logger.WithError(err).Error("voter_not_opened")
	}
}

// handleJoin handles a join request and replies with the group's view of the requester. Only
// the leader records the candidate; every node records the new address of a member that has
// moved.
func (n *Node) handleJoin(request joinRequest) (joinReply, error) {
	if !n.servesSeeds(request.Seeds) {
		return joinReply{}, errOtherSeeds
	}
	status := n.status()
	if lo.ContainsBy(status.Members, func(m consensus.MemberStatus) bool { return m.ID == request.ID }) {
		n.member.voter().ObserveAddress(request.ID, request.Address)
	}
	reply := joinReply{Group: lo.Map(status.Members, func(m consensus.MemberStatus, _ int) string { return m.Address })}
	if status.Role != consensus.Leader {
		return reply, nil
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.refused[request.ID] {
		reply.Removed = true
		return reply, nil
	}
	n.candidates[request.Address] = candidate{ID: request.ID, Address: request.Address, RequestedAt: steadyclock.Now()}
	return reply, nil
}

// runFormation lets the leader grow the group to its size and replace failed voters.
func (n *Node) runFormation(ctx context.Context) {
	rules := formationRules{
		Size: n.config.groupSize(), ReplaceAfter: replaceAfter, LearnerTimeout: learnerTimeout, CandidateLifetime: candidateLifetime,
	}
	runEvery(ctx, formationInterval, func() {
		status := n.status()
		if status.Role != consensus.Leader {
			n.clearLeaderState()
			return
		}
		n.recordFormed(ctx, status, rules.Size)
		change, wanted := decideChange(n.viewMembers(status), n.activeCandidates(rules), rules)
		if wanted {
			n.changeMember(ctx, change)
		}
	})
}

// clearLeaderState drops the state that only a leader keeps.
func (n *Node) clearLeaderState() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.silentSince)
	clear(n.candidates)
}

// recordFormed commits, once, that the group has reached its size.
func (n *Node) recordFormed(ctx context.Context, status voter.Status, size int) {
	voters := lo.CountBy(status.Members, func(m consensus.MemberStatus) bool { return !m.Learner })
	if voters < size || n.member.state().formed() {
		return
	}
	proposeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if _, err := n.propose(proposeCtx, command{Formed: true}); err == nil {
		n.logger.WithField("voters", voters).Info("group_formed")
	}
}

func (n *Node) viewMembers(status voter.Status) []memberView {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := steadyclock.Now()
	views := make([]memberView, 0, len(status.Members))
	for _, member := range status.Members {
		if member.Active || member.ID == status.ID {
			delete(n.silentSince, member.ID)
		} else if _, recorded := n.silentSince[member.ID]; !recorded {
			n.silentSince[member.ID] = now
		}
		view := memberView{MemberStatus: member, ReachedAt: n.member.voter().AddressOf(member.ID)}
		if since, silent := n.silentSince[member.ID]; silent {
			view.SilentFor = now.Sub(since)
		}
		views = append(views, view)
	}
	return views
}

// activeCandidates drops expired candidates and returns the others, ordered by address.
func (n *Node) activeCandidates(rules formationRules) []candidate {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var waiting []candidate
	for address, requester := range n.candidates {
		switch {
		case steadyclock.Since(requester.RequestedAt) > rules.CandidateLifetime || n.refused[requester.ID]:
			delete(n.candidates, address)
		default:
			waiting = append(waiting, requester)
		}
	}
	slices.SortFunc(waiting, func(a, b candidate) int { return cmp.Compare(a.Address, b.Address) })
	return waiting
}

// changeMember makes one membership change and logs it.
func (n *Node) changeMember(ctx context.Context, change consensus.Change) {
	changeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	kind, err := "", error(nil)
	switch change.Kind {
	case consensus.RemoveMember:
		kind, err = "remove", n.member.voter().RemoveVoter(changeCtx, change.ID)
	case consensus.UpdateMemberAddress:
		kind, err = "move", n.member.voter().UpdateMemberAddress(changeCtx, change.ID, change.Address)
	case consensus.PromoteLearner:
		kind, err = "promote", n.member.voter().Promote(changeCtx, change.ID)
	default:
		kind, err = "add", n.member.voter().AddLearner(changeCtx, change.ID, change.Address)
		n.recordRefused(change.ID, err)
	}
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	n.metrics.changes.WithLabelValues(kind, outcome).Inc()
	n.logger.WithFields(logrus.Fields{
		"kind": kind, "voter": change.ID, "address": change.Address, "outcome": outcome, logrus.ErrorKey: err,
	}).Info("member_change")
}

// recordRefused records an id that was a member before: its node must rejoin under a new one.
func (n *Node) recordRefused(id uint64, err error) {
	if refusalOf(err) != consensus.RefusedIDInUse {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.refused[id] = true
}
