package directory

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/consensus"
)

var rules = formationRules{Size: 5, ReplaceAfter: time.Second, LearnerTimeout: 30 * time.Second, CandidateLifetime: time.Second}

func view(id uint64, address string, silent time.Duration) memberView {
	return memberView{MemberStatus: consensus.MemberStatus{Member: consensus.Member{ID: id, Address: address}}, SilentFor: silent}
}

func fiveVoters(silent ...uint64) []memberView {
	var members []memberView
	for id := uint64(1); id <= 5; id++ {
		member := view(id, string(rune('a'+id)), 0)
		for _, failed := range silent {
			if failed == id {
				member.SilentFor = time.Minute
			}
		}
		members = append(members, member)
	}
	return members
}

func TestDecideChange(t *testing.T) {
	unknown := candidate{ID: 9, Address: "z"}
	learner := view(9, "z", 0)
	learner.Learner = true
	briefSilence := learner
	briefSilence.SilentFor = 2 * rules.ReplaceAfter
	longSilence := learner
	longSilence.SilentFor = time.Minute
	moved := fiveVoters()
	moved[1].ReachedAt = "y"
	for name, sample := range map[string]struct {
		members    []memberView
		candidates []candidate
		want       consensus.Change
	}{
		"a complete group adds others as learners":             {fiveVoters(), []candidate{unknown}, consensus.Change{Kind: consensus.AddLearner, ID: 9, Address: "z"}},
		"a learner of a complete group is not promoted":        {append(fiveVoters(), learner), nil, consensus.Change{}},
		"a learner replaces a silent voter":                    {append(fiveVoters(2), learner), nil, consensus.Change{Kind: consensus.PromoteLearner, ID: 9}},
		"a silent learner is not promoted":                     {append(fiveVoters(2), briefSilence), []candidate{{ID: 8, Address: "y"}}, consensus.Change{Kind: consensus.AddLearner, ID: 8, Address: "y"}},
		"a briefly silent learner is kept":                     {append(fiveVoters(), briefSilence), nil, consensus.Change{}},
		"silence alone changes nothing":                        {fiveVoters(2, 3), nil, consensus.Change{}},
		"a small group grows":                                  {fiveVoters()[:3], []candidate{unknown}, consensus.Change{Kind: consensus.AddLearner, ID: 9, Address: "z"}},
		"a learner is promoted":                                {append(fiveVoters()[:4], learner), nil, consensus.Change{Kind: consensus.PromoteLearner, ID: 9}},
		"a failed learner is removed":                          {append(fiveVoters()[:4], longSilence), nil, consensus.Change{Kind: consensus.RemoveMember, ID: 9}},
		"a silent voter is replaced":                           {fiveVoters(2), []candidate{unknown}, consensus.Change{Kind: consensus.AddLearner, ID: 9, Address: "z"}},
		"a silent voter is removed once there is one too many": {append(fiveVoters(2), view(9, "z", 0)), nil, consensus.Change{Kind: consensus.RemoveMember, ID: 2}},
		"six healthy voters stay":                              {append(fiveVoters(), view(9, "z", 0)), nil, consensus.Change{}},
		"a voter with a wiped disk is removed first":           {fiveVoters(), []candidate{{ID: 9, Address: "c"}}, consensus.Change{Kind: consensus.RemoveMember, ID: 2}},
		"the new address of a moved member is recorded":        {moved, []candidate{unknown}, consensus.Change{Kind: consensus.UpdateMemberAddress, ID: 2, Address: "y"}},
		"a member at another one's address removes nobody":     {fiveVoters(), []candidate{{ID: 3, Address: "c"}}, consensus.Change{}},
		"a member that requests membership is not added":       {fiveVoters(2), []candidate{{ID: 3, Address: "d"}}, consensus.Change{}},
	} {
		change, wanted := decideChange(sample.members, sample.candidates, rules)
		require.Equal(t, sample.want, change, name)
		require.Equal(t, sample.want != consensus.Change{}, wanted, name)
	}
}

// TestGroupNeverShrinksBySilence checks that, whichever members are silent and whichever nodes
// request membership, voters are removed only if their disk was wiped or the group exceeds its
// size.
func TestGroupNeverShrinksBySilence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []memberView
		for id := uint64(1); id <= uint64(rapid.IntRange(1, 7).Draw(t, "members")); id++ {
			member := view(id, string(rune('a'+id)), time.Duration(rapid.IntRange(0, 3).Draw(t, "silent"))*time.Second)
			member.Learner = rapid.IntRange(0, 5).Draw(t, "learner") == 0
			if rapid.IntRange(0, 5).Draw(t, "moved") == 0 {
				member.ReachedAt = string(rune('a' + rapid.IntRange(1, 9).Draw(t, "to")))
			}
			members = append(members, member)
		}
		var candidates []candidate
		wiped := map[uint64]bool{}
		for id := uint64(5); id < 5+uint64(rapid.IntRange(0, 4).Draw(t, "candidates")); id++ {
			requester := candidate{ID: id, Address: string(rune('a' + rapid.IntRange(1, 9).Draw(t, "address")))}
			candidates = append(candidates, requester)
			for _, member := range members {
				wiped[member.ID] = wiped[member.ID] || member.Address == requester.Address && !isMember(members, requester.ID)
			}
		}
		change, wanted := decideChange(members, candidates, rules)
		if change.Kind == consensus.UpdateMemberAddress {
			moved, _ := lo.Find(members, func(m memberView) bool { return m.ID == change.ID })
			require.Equal(t, moved.ReachedAt, change.Address)
			require.NotEqual(t, moved.Address, change.Address)
		}
		if !wanted || change.Kind != consensus.RemoveMember || wiped[change.ID] {
			return
		}
		voters := 0
		for _, member := range members {
			if member.ID == change.ID && member.Learner {
				return
			}
			if !member.Learner {
				voters++
			}
		}
		require.Greater(t, voters, rules.Size)
	})
}
