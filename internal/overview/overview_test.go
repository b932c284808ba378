package overview

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/policy"
)

const siteText = `
service desks {
	slots 2
	connections 10
	generation 1 {
		group g1 {
			replica 127.0.0.1:1 zone a
			replica 127.0.0.1:2 zone b
		}
		group g2 {
			replica 127.0.0.1:3 zone a
			replica 127.0.0.1:4 zone b
		}
		group g3 {
			replica 127.0.0.1:5 zone a
		}
	}
}
`

// siteStatus is a site in which one failure of each kind is under way.
func siteStatus() *v1.StatusResponse {
	return &v1.StatusResponse{
		LeaderId: 1, Term: 3, CommitIndex: 10, Revision: 2, RevisionInForce: 1, Confirmed: true, AnsweredBy: 1,
		Voters: []*v1.VoterStatus{
			{Voter: &v1.Voter{Id: 1, Address: "127.0.0.1:71"}, MatchIndex: 10, RecentlyActive: true, DiskError: "no space left"},
			{Voter: &v1.Voter{Id: 2, Address: "127.0.0.1:72"}, MatchIndex: 4},
		},
		Nodes: []*v1.NodeStatus{
			{Node: "late", Role: "router", Zone: "b", LeaseLapsed: true, SinceSeen: durationpb.New(time.Minute)},
			{Node: "fine", Role: "router", Zone: "a", Revision: 1},
		},
		Machines: []*v1.MachineState{
			{Address: "127.0.0.1:1", State: "leaving", Source: "operator"},
			{Address: "127.0.0.1:3", State: "gone", Source: "platform"},
			{Address: "127.0.0.1:4", State: "gone", Source: "platform"},
		},
		Routes: []*v1.RouteReport{{
			Route: "sweep", Window: durationpb.New(10 * time.Second), Requests: 20, Answered: 16, Refused: 3, Failed: 1,
			Complete: 12, ShardsCovered: 45, ShardsWanted: 48, FirstBucket: 8, Latency: []uint32{17},
		}},
	}
}

func TestOverviewNamesWhatIsWrong(t *testing.T) {
	compiled, err := policy.Compile("site", []byte(siteText))
	require.NoError(t, err)
	overview := New(siteStatus(), compiled)
	require.Equal(t, []Service{{
		Name: "desks", Generations: []uint32{1}, Shards: 3, Replicas: 5, Live: 2, Leaving: 1, Gone: 2,
		Uncovered: []string{"g2"}, Thin: []string{"g1"},
	}}, overview.Services)
	require.Equal(t, 200*time.Microsecond, overview.Routes[0].P99)
	require.InDelta(t, 2.0, overview.Routes[0].Rate, 1e-9)
	require.InDelta(t, 0.75, overview.Routes[0].Complete, 1e-9)
	require.EqualValues(t, 6, overview.Group.Voters[1].Behind)

	texts := lo.Map(overview.Attention, func(notice Notice, _ int) string { return string(notice.Severity) + " " + notice.Text })
	require.Equal(t, []string{
		"critical desks: no live replica of g2",
		"warning voter 1 can't use its disk: no space left",
		"warning voter 2 at 127.0.0.1:72 is silent",
		"warning desks: a single live replica of g1",
		"warning route sweep: 3 of 20 requests refused and 1 failed within the last minute",
		"warning without a lease: late",
		"info revision 2 is accepted, and not yet known to be in force everywhere",
		"info route sweep: 25.00% of answers miss a shard; coverage is 93.75%",
		"info back ends gone: 127.0.0.1:3, 127.0.0.1:4",
		"info back ends leaving: 127.0.0.1:1",
	}, texts)
}

// TestLargeSiteFitsAScreen checks that hundreds of routers are counted, and
// those listed that need a look.
func TestLargeSiteFitsAScreen(t *testing.T) {
	status := siteStatus()
	for index := range 600 {
		status.Nodes = append(status.Nodes, &v1.NodeStatus{
			Node: fmt.Sprintf("router-%03d", index), Role: "router", Zone: string(rune('a' + index%3)), Revision: 1,
		})
	}
	var text strings.Builder
	require.NoError(t, New(status, nil).Print(&text))
	require.Less(t, strings.Count(text.String(), "\n"), 45)
	require.Contains(t, text.String(), "late")
	require.NotContains(t, text.String(), "router-000")
	require.Regexp(t, `router +b +200 +1 +1`, text.String())
}

func TestWithoutQuorum(t *testing.T) {
	status := siteStatus()
	status.Confirmed = false
	overview := New(status, nil)
	require.Equal(t, Critical, overview.Attention[0].Severity)
	require.Contains(t, overview.Attention[0].Text, "no quorum")
	var text strings.Builder
	require.NoError(t, overview.Print(&text))
	require.Contains(t, text.String(), "unconfirmed view of voter 1")
}
