package directory

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/voter"
)

// candidate is a node that requested membership.
type candidate struct {
	ID          uint64
	Address     string
	RequestedAt time.Time
}

// formationRules are the limits for membership decisions.
type formationRules struct {
	// Size is the number of voters of the group: 2n+1 to tolerate n losses.
	Size int
	// ReplaceAfter is how long a voter must be silent before a learner replaces it.
	ReplaceAfter time.Duration
	// LearnerTimeout is how long a learner must be silent before it is removed.
	LearnerTimeout time.Duration
	// CandidateLifetime is how long a candidate remains valid after its last request.
	CandidateLifetime time.Duration
}

// maxLearners bounds the members without a vote, far above the size of any group.
const maxLearners = 32

// memberView is a member as seen by the leader.
type memberView struct {
	consensus.MemberStatus
	// SilentFor is the time since its last response.
	SilentFor time.Duration
	// ReachedAt is the address at which it is currently reached; empty if unknown.
	ReachedAt string
	// Retiring reports that it is being stopped permanently.
	Retiring bool
}

// decideChange returns the next membership change that the leader should make,
// if any. Changes are made one at a time, and each is safe by itself, so a leader that
// fails between two of them leaves the rest to the next leader.
//
//  1. A member that is reached at an address other than its recorded one has moved.
//  2. A voter whose address now belongs to a node with another id has lost its
//     disk. It is removed first: it can never vote again, so its removal
//     only lowers the quorum that the others have to reach.
//  3. A node that requests membership becomes a learner: it follows the log and serves like the
//     others, without a vote. A learner that has been silent for LearnerTimeout is removed.
//  4. A group below its size, or with a silent voter, promotes a learner that responds.
//     A silent voter is removed once there is one voter too many; the group never shrinks
//     because of silence.
func decideChange(members []memberView, candidates []candidate, rules formationRules) (consensus.Change, bool) {
	if moved, found := findMoved(members); found {
		return consensus.Change{Kind: consensus.UpdateMemberAddress, ID: moved.ID, Address: moved.ReachedAt}, true
	}
	if wiped, found := findWiped(members, candidates); found {
		return consensus.Change{Kind: consensus.RemoveMember, ID: wiped}, true
	}
	learners := lo.Filter(members, func(m memberView, _ int) bool { return m.Learner })
	if silent, found := lo.Find(learners, func(m memberView) bool { return m.SilentFor > rules.LearnerTimeout }); found {
		return consensus.Change{Kind: consensus.RemoveMember, ID: silent.ID}, true
	}
	voters := len(members) - len(learners)
	failed, anyFailed := findFailedVoter(members, rules)
	if voters > rules.Size && anyFailed {
		return consensus.Change{Kind: consensus.RemoveMember, ID: failed.ID}, true
	}
	if voters < rules.Size || voters == rules.Size && anyFailed {
		if ready, found := lo.Find(learners, func(m memberView) bool { return m.SilentFor <= rules.ReplaceAfter }); found {
			return consensus.Change{Kind: consensus.PromoteLearner, ID: ready.ID}, true
		}
	}
	joining, waiting := lo.Find(candidates, func(c candidate) bool { return !isMember(members, c.ID) })
	if waiting && len(learners) < maxLearners {
		return consensus.Change{Kind: consensus.AddLearner, ID: joining.ID, Address: joining.Address}, true
	}
	return consensus.Change{}, false
}

func findMoved(members []memberView) (memberView, bool) {
	return lo.Find(members, func(m memberView) bool { return m.ReachedAt != "" && m.ReachedAt != m.Address })
}

func findWiped(members []memberView, candidates []candidate) (uint64, bool) {
	for _, requester := range candidates {
		if isMember(members, requester.ID) {
			continue // It has moved; the member that had this address may have moved, too.
		}
		for _, member := range members {
			if member.Address == requester.Address && member.ID != requester.ID {
				return member.ID, true
			}
		}
	}
	return 0, false
}

// findFailedVoter returns, of the voters that have been silent for longer than ReplaceAfter or
// are retiring, the one silent for longest.
func findFailedVoter(members []memberView, rules formationRules) (memberView, bool) {
	failed := lo.Filter(members, func(m memberView, _ int) bool {
		return !m.Learner && (m.SilentFor > rules.ReplaceAfter || m.Retiring)
	})
	if len(failed) == 0 {
		return memberView{}, false
	}
	return lo.MaxBy(failed, func(a, b memberView) bool { return a.SilentFor > b.SilentFor }), true
}

func isMember(members []memberView, id uint64) bool {
	return lo.ContainsBy(members, func(m memberView) bool { return m.ID == id })
}

// refusalOf returns why the group refused a change; Accepted for other errors.
func refusalOf(err error) consensus.Refusal {
	var refused *voter.RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal
	}
	return consensus.Accepted
}
