package directory

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/consensus"
)

var rules = formationRules{Size: 5, ReplaceAfter: time.Second, LearnerPatience: 30 * time.Second, CandidateLifetime: time.Second}

func view(id uint64, address string, silent time.Duration) memberView {
	return memberView{MemberStatus: consensus.MemberStatus{Member: consensus.Member{ID: id, Address: address}}, Silent: silent}
}

func five(silent ...uint64) []memberView {
	var members []memberView
	for id := uint64(1); id <= 5; id++ {
		member := view(id, string(rune('a'+id)), 0)
		for _, gone := range silent {
			if gone == id {
				member.Silent = time.Minute
			}
		}
		members = append(members, member)
	}
	return members
}

func TestDecideChange(t *testing.T) {
	stranger := candidate{ID: 9, Address: "z"}
	learner := view(9, "z", 0)
	learner.Learner = true
	away := learner
	away.Silent = 2 * rules.ReplaceAfter
	mute := learner
	mute.Silent = time.Minute
	moved := five()
	moved[1].ReachedAt = "y"
	for name, sample := range map[string]struct {
		members    []memberView
		candidates []candidate
		want       consensus.Change
	}{
		"a whole group takes others in as learners":      {five(), []candidate{stranger}, consensus.Change{Kind: consensus.AddLearner, ID: 9, Address: "z"}},
		"a learner of a whole group stays one":           {append(five(), learner), nil, consensus.Change{}},
		"a learner takes a silent voter's place":         {append(five(2), learner), nil, consensus.Change{Kind: consensus.PromoteLearner, ID: 9}},
		"but not one that is silent itself":              {append(five(2), away), []candidate{{ID: 8, Address: "y"}}, consensus.Change{Kind: consensus.AddLearner, ID: 8, Address: "y"}},
		"a learner may be away for a while":              {append(five(), away), nil, consensus.Change{}},
		"silence alone changes nothing":                  {five(2, 3), nil, consensus.Change{}},
		"a small group grows":                            {five()[:3], []candidate{stranger}, consensus.Change{Kind: consensus.AddLearner, ID: 9, Address: "z"}},
		"a learner is promoted":                          {append(five()[:4], learner), nil, consensus.Change{Kind: consensus.PromoteLearner, ID: 9}},
		"a learner that is gone is dropped":              {append(five()[:4], mute), nil, consensus.Change{Kind: consensus.RemoveMember, ID: 9}},
		"a silent voter is replaced":                     {five(2), []candidate{stranger}, consensus.Change{Kind: consensus.AddLearner, ID: 9, Address: "z"}},
		"and removed once there is one too many":         {append(five(2), view(9, "z", 0)), nil, consensus.Change{Kind: consensus.RemoveMember, ID: 2}},
		"six sound voters stay":                          {append(five(), view(9, "z", 0)), nil, consensus.Change{}},
		"a wiped disk is removed first":                  {five(), []candidate{{ID: 9, Address: "c"}}, consensus.Change{Kind: consensus.RemoveMember, ID: 2}},
		"a member that moved is written down":            {moved, []candidate{stranger}, consensus.Change{Kind: consensus.MoveMember, ID: 2, Address: "y"}},
		"a member at another one's address wipes nobody": {five(), []candidate{{ID: 3, Address: "c"}}, consensus.Change{}},
		"a member that asks is no newcomer":              {five(2), []candidate{{ID: 3, Address: "d"}}, consensus.Change{}},
	} {
		change, wanted := decideChange(sample.members, sample.candidates, rules)
		require.Equal(t, sample.want, change, name)
		require.Equal(t, sample.want != consensus.Change{}, wanted, name)
	}
}

// TestGroupNeverShrinksBySilence: whatever is silent and whoever asks, voters are
// removed only for a wiped disk, or while the group is above its size.
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
			asking := candidate{ID: id, Address: string(rune('a' + rapid.IntRange(1, 9).Draw(t, "address")))}
			candidates = append(candidates, asking)
			for _, member := range members {
				wiped[member.ID] = wiped[member.ID] || member.Address == asking.Address && !isMember(members, asking.ID)
			}
		}
		change, wanted := decideChange(members, candidates, rules)
		if change.Kind == consensus.MoveMember {
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
