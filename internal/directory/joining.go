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

// runJoining asks the group to make this node a member while it is none, and
// whether it still is one while it hears no leader.
func (n *Node) runJoining(ctx context.Context) {
	lost := time.Time{}
	every(ctx, joinInterval, func() {
		status := n.status()
		if isIn(status) && status.Leader != 0 {
			lost = time.Time{}
			n.rememberGroup(status)
			return
		}
		if lost.IsZero() {
			lost = steadyclock.Now()
		}
		if isIn(status) && steadyclock.Since(lost) < orphanAfter {
			return
		}
		n.askToJoin(ctx)
	})
}

// isIn reports whether a node is a member of the group, as a voter or a learner.
func isIn(status voter.Status) bool {
	return lo.ContainsBy(status.Members, func(m consensus.MemberStatus) bool { return m.ID == status.ID })
}

func (n *Node) rememberGroup(status voter.Status) {
	group := lo.Map(status.Members, func(m consensus.MemberStatus, _ int) string { return m.Address })
	if err := n.member.remember(group); err != nil {
		n.logger.WithError(err).Debug("group_not_remembered")
	}
}

// askToJoin asks every known node; the leader among them takes note.
func (n *Node) askToJoin(ctx context.Context) {
	request := joinRequest{ID: n.member.id(), Address: n.config.PeerAddress}
	if n.group() == 0 {
		request.Seeds = *n.seeds.Load()
	}
	replies := make(chan joinReply, maxAsked)
	asked := lo.Slice(n.joinTargets(), 0, maxAsked)
	calling, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	for _, address := range asked {
		go func() {
			var reply joinReply
			if n.peers.call(calling, address, pathJoin, request, &reply) != nil {
				reply = joinReply{}
			}
			replies <- reply
		}()
	}
	removed := false
	var group []string
	for range asked {
		reply := <-replies
		removed = removed || reply.Removed
		group = append(group, reply.Group...)
	}
	// The leader may be none of those that were asked; the next round asks it.
	n.mutex.Lock()
	n.told = lo.Uniq(group)
	n.mutex.Unlock()
	if removed {
		n.startOver(request.ID)
	}
}

// maxAsked bounds the nodes that are asked at once.
const maxAsked = 16

// joinTargets are the nodes to ask: a stranger knows seeds, a voter that lost
// its group also the members that it remembers.
func (n *Node) joinTargets() []string {
	known := append(n.accepting(), n.peerAddresses()...)
	known = append(known, *n.seeds.Load()...)
	known = append(known, n.member.knownGroup()...)
	return lo.Without(lo.Uniq(known), n.config.PeerAddress, "")
}

// accepting are the members that nodes have named which take this one in.
func (n *Node) accepting() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Clone(n.told)
}

func (n *Node) startOver(removed uint64) {
	n.logger.WithField("voter", removed).Warn("removed_from_group: joins again as a new voter")
	if err := n.member.rejoin(); err != nil {
		n.logger.WithError(err).Error("voter_not_opened")
	}
}

// joined takes note of a node that asks to be a member, and answers how the
// group sees it. Only a leader keeps the note; where a member has moved to, each node takes in.
func (n *Node) joined(request joinRequest) (joinReply, error) {
	if !n.servesSeeds(request.Seeds) {
		return joinReply{}, errOtherSeeds
	}
	status := n.status()
	if lo.ContainsBy(status.Members, func(m consensus.MemberStatus) bool { return m.ID == request.ID }) {
		n.member.voter().Hear(request.ID, request.Address)
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
	n.candidates[request.Address] = candidate{ID: request.ID, Address: request.Address, Asked: steadyclock.Now()}
	return reply, nil
}

// runFormation lets the leader bring the group to its size and replace voters
// that are gone.
func (n *Node) runFormation(ctx context.Context) {
	rules := formationRules{Size: n.config.groupSize(), ReplaceAfter: replaceAfter, CandidateLifetime: candidateLifetime}
	every(ctx, formationInterval, func() {
		status := n.status()
		if status.Role != consensus.Leader {
			n.forgetGroup()
			return
		}
		n.noteFormed(ctx, status, rules.Size)
		change, wanted := decideChange(n.viewMembers(status), n.takeCandidates(rules), rules)
		if wanted {
			n.changeMember(ctx, change)
		}
	})
}

// forgetGroup drops what only a leader knows.
func (n *Node) forgetGroup() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.silentSince)
	clear(n.candidates)
}

// noteFormed commits, once, that the group has reached its size.
func (n *Node) noteFormed(ctx context.Context, status voter.Status, size int) {
	voters := lo.CountBy(status.Members, func(m consensus.MemberStatus) bool { return !m.Learner })
	if voters < size || n.member.state().formed() {
		return
	}
	proposing, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if _, err := n.propose(proposing, command{Formed: true}); err == nil {
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
		} else if _, noted := n.silentSince[member.ID]; !noted {
			n.silentSince[member.ID] = now
		}
		view := memberView{MemberStatus: member, ReachedAt: n.member.voter().ReachedAt(member.ID)}
		if since, silent := n.silentSince[member.ID]; silent {
			view.Silent = now.Sub(since)
		}
		views = append(views, view)
	}
	return views
}

// takeCandidates returns the nodes that asked lately, ordered by address.
func (n *Node) takeCandidates(rules formationRules) []candidate {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var waiting []candidate
	for address, asking := range n.candidates {
		switch {
		case steadyclock.Since(asking.Asked) > rules.CandidateLifetime || n.refused[asking.ID]:
			delete(n.candidates, address)
		default:
			waiting = append(waiting, asking)
		}
	}
	slices.SortFunc(waiting, func(a, b candidate) int { return cmp.Compare(a.Address, b.Address) })
	return waiting
}

// changeMember makes one change and logs it.
func (n *Node) changeMember(ctx context.Context, change consensus.Change) {
	changing, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	kind, err := "", error(nil)
	switch change.Kind {
	case consensus.RemoveMember:
		kind, err = "remove", n.member.voter().RemoveVoter(changing, change.ID)
	case consensus.MoveMember:
		kind, err = "move", n.member.voter().Move(changing, change.ID, change.Address)
	case consensus.PromoteLearner:
		kind, err = "promote", n.member.voter().Promote(changing, change.ID)
	default:
		kind, err = "add", n.member.voter().AddLearner(changing, change.ID, change.Address)
		n.noteRefused(change.ID, err)
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

// noteRefused remembers an id that was a member before: its node has to start
// over under another one.
func (n *Node) noteRefused(id uint64, err error) {
	if refusalOf(err) != consensus.RefusedIDInUse {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.refused[id] = true
}
