package directory

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/voter"
)

// candidate is a node that asked to become a voter.
type candidate struct {
	ID      uint64
	Address string
	Asked   time.Time
}

// formationRules are the bounds of the decisions on membership.
type formationRules struct {
	// Size is how many voters the group has: two for each loss to be borne at
	// once, and one.
	Size int
	// ReplaceAfter is how long a voter must be silent before a waiting node takes
	// its place.
	ReplaceAfter time.Duration
	// LearnerPatience is how long a learner must be silent before it is removed.
	LearnerPatience time.Duration
	// CandidateLifetime is how long after its last call a candidate counts.
	CandidateLifetime time.Duration
}

// maxLearners bounds the members without a vote, far above the nodes of any group.
const maxLearners = 32

// memberView is a member as the leader sees it.
type memberView struct {
	consensus.MemberStatus
	// Silent is for how long it has not answered.
	Silent time.Duration
	// ReachedAt is the address at which it is reached now; empty if that is not known.
	ReachedAt string
	// Retiring says that it is being stopped for good.
	Retiring bool
}

// decideChange returns the next membership change that the leader should make,
// if any. One is made at a time; each is safe by itself, so a leader that dies
// between two of them leaves the rest to the next one.
//
//  1. A member that is reached at another address than the one it was added with has moved.
//  2. A voter whose address now belongs to a node with another id has lost its
//     disk for certain. It is removed first: it can never count again, so that
//     removing it only lowers the quorum that the others have to reach.
//  3. A node that asks becomes a learner: it follows the log and serves like the others, and
//     costs no vote. One that has been silent for long is removed.
//  4. A group below its size, or with a voter that is silent, promotes a learner that is there.
//     A silent voter is removed once there is one too many; the group never shrinks because of
//     silence.
func decideChange(members []memberView, candidates []candidate, rules formationRules) (consensus.Change, bool) {
	if moved, found := findMoved(members); found {
		return consensus.Change{Kind: consensus.MoveMember, ID: moved.ID, Address: moved.ReachedAt}, true
	}
	if wiped, found := findWiped(members, candidates); found {
		return consensus.Change{Kind: consensus.RemoveMember, ID: wiped}, true
	}
	learners := lo.Filter(members, func(m memberView, _ int) bool { return m.Learner })
	if silent, found := lo.Find(learners, func(m memberView) bool { return m.Silent > rules.LearnerPatience }); found {
		return consensus.Change{Kind: consensus.RemoveMember, ID: silent.ID}, true
	}
	voters := len(members) - len(learners)
	gone, anyGone := findGone(members, rules)
	if voters > rules.Size && anyGone {
		return consensus.Change{Kind: consensus.RemoveMember, ID: gone.ID}, true
	}
	if voters < rules.Size || voters == rules.Size && anyGone {
		if ready, found := lo.Find(learners, func(m memberView) bool { return m.Silent <= rules.ReplaceAfter }); found {
			return consensus.Change{Kind: consensus.PromoteLearner, ID: ready.ID}, true
		}
	}
	newcomer, waiting := lo.Find(candidates, func(c candidate) bool { return !isMember(members, c.ID) })
	if waiting && len(learners) < maxLearners {
		return consensus.Change{Kind: consensus.AddLearner, ID: newcomer.ID, Address: newcomer.Address}, true
	}
	return consensus.Change{}, false
}

func findMoved(members []memberView) (memberView, bool) {
	return lo.Find(members, func(m memberView) bool { return m.ReachedAt != "" && m.ReachedAt != m.Address })
}

func findWiped(members []memberView, candidates []candidate) (uint64, bool) {
	for _, asking := range candidates {
		if isMember(members, asking.ID) {
			continue // It has moved; so may have the one that was there before.
		}
		for _, member := range members {
			if member.Address == asking.Address && member.ID != asking.ID {
				return member.ID, true
			}
		}
	}
	return 0, false
}

// findGone returns the voter that has been silent for longest, if that is long
// enough, or one that retires.
func findGone(members []memberView, rules formationRules) (memberView, bool) {
	gone := lo.Filter(members, func(m memberView, _ int) bool {
		return !m.Learner && (m.Silent > rules.ReplaceAfter || m.Retiring)
	})
	if len(gone) == 0 {
		return memberView{}, false
	}
	return lo.MaxBy(gone, func(a, b memberView) bool { return a.Silent > b.Silent }), true
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
