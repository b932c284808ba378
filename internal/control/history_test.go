package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/consensus"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/state"
)

// smallSite is the text of revision 1 in the snapshot under testdata.
const smallSite = `service s {
	slots 2
	connections 70
	generation 1 {
		group g1 {
			replica 127.0.0.1:7000 zone a
		}
	}
}

policy p {
	deadline 100ms
	repeatable
	at 90ms answer
}

route r {
	service s
	policy p
}
`

func compilePolicy(text string) (*plan.Plan, error) {
	return policy.Compile(compiledFileName, []byte(text))
}

// TestStateOfFirstFormatIsReadable restores a snapshot that was written before
// deltas existed. Texts and plan must be readable, and later deltas must build on
// them.
func TestStateOfFirstFormatIsReadable(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "state-v1.bin"))
	require.NoError(t, err)
	changes := newChangeHarness(t, compilePolicy, 1)
	require.NoError(t, changes.server.store.Restore(data))
	texts := []string{
		smallSite, strings.Replace(smallSite, "127.0.0.1", "127.0.0.2", 1), strings.Replace(smallSite, "slots 2", "slots 3", 1),
	}
	changes.requireHistory(t, texts)

	changes.apply(t, &v1.StateCommand{Body: &v1.StateCommand_Format{Format: &v1.FormatCommand{Format: state.LatestFormat}}})
	changes.number = uint64(len(texts))
	texts = append(texts, strings.Replace(smallSite, "90ms", "95ms", 1))
	_, err = changes.server.store.Apply(changes.make(t, texts[len(texts)-1]))
	require.NoError(t, err)
	require.NotEmpty(t, changes.server.latest().TextDelta)
	changes.requireHistory(t, texts)
}

// requireHistory compares texts and the published plan with the submitted ones,
// also after a restart from a snapshot.
func (c *changeHarness) requireHistory(t require.TestingT, texts []string) {
	snapshot, err := c.server.store.Snapshot()
	require.NoError(t, err)
	restarted := &Server{store: NewStore(state.DefaultLimits(), plan.FromProto)}
	require.NoError(t, restarted.store.Restore(snapshot))
	want, err := compilePolicy(texts[len(texts)-1])
	require.NoError(t, err)
	for _, server := range []*Server{c.server, restarted} {
		for index, text := range texts {
			got, kept, err := server.revisionText(uint64(index + 1))
			require.NoError(t, err)
			require.True(t, kept)
			require.Equal(t, text, got)
		}
		revision, latest, _ := server.store.Latest()
		require.Equal(t, uint64(len(texts)), revision)
		require.True(t, plan.Equal(want, latest))
	}
	again, err := restarted.store.Snapshot()
	require.NoError(t, err)
	require.Equal(t, snapshot, again)
}

// TestVotersStayEqual applies a log of changes to several voters. Some start from
// a snapshot in the middle, and one takes over as leader without the previous
// leader's cache. States must be equal byte for byte, and so must plans.
func TestVotersStayEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader := newChangeHarness(t, policy.NewCompiler(compiledFileName).Compile, state.LatestFormat)
		voters := []*Store{newChangeHarness(t, compilePolicy, state.LatestFormat).server.store}
		text := smallSite
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0: // a voter starts from a snapshot
				snapshot, err := leader.server.store.Snapshot()
				require.NoError(t, err)
				started := NewStore(state.DefaultLimits(), plan.FromProto)
				require.NoError(t, started.Restore(snapshot))
				voters = append(voters, started)
			case 1: // another voter leads
				store := rapid.SampledFrom(voters).Draw(t, "leader")
				voters = append(voters, leader.server.store)
				leader.server = &Server{store: store, compile: policy.NewCompiler(compiledFileName).Compile}
			}
			text = drawSite(t, text)
			data := leader.make(t, text)
			_, err := leader.server.store.Apply(data)
			require.NoError(t, err)
			for _, voter := range voters {
				if voter != leader.server.store {
					_, err := voter.Apply(data)
					require.NoError(t, err)
				}
			}
		}
		want, err := leader.server.store.Snapshot()
		require.NoError(t, err)
		_, wantPlan, _ := leader.server.store.Latest()
		for _, voter := range voters {
			got, err := voter.Snapshot()
			require.NoError(t, err)
			require.Equal(t, want, got)
			_, gotPlan, _ := voter.Latest()
			require.True(t, plan.Equal(wantPlan, gotPlan))
		}
	})
}

var (
	slotsOfSite = regexp.MustCompile(`slots 2\d*`)
	timeOfSite  = regexp.MustCompile(`at 9\dms`)
)

// drawSite changes a limit or a deadline, or adds or removes a service.
func drawSite(t *rapid.T, text string) string {
	const extra = "service extra {\n\tslots 1\n\tconnections 9\n\tgeneration 1 {\n\t\tgroup g {\n\t\t\treplica 127.0.0.9:7000 zone a\n\t\t}\n\t}\n}\n"
	switch rapid.IntRange(0, 2).Draw(t, "edit") {
	case 0:
		return slotsOfSite.ReplaceAllString(text, fmt.Sprint("slots 2", rapid.IntRange(0, 9).Draw(t, "slots")))
	case 1:
		return timeOfSite.ReplaceAllString(text, fmt.Sprintf("at 9%dms", rapid.IntRange(0, 9).Draw(t, "time")))
	default:
		if without, found := strings.CutPrefix(text, extra); found {
			return without
		}
		return extra + text
	}
}

// TestDamagedTextIsReportedAndNextChangeIsFull damages a delta in a voter's state.
// Reading a text that builds on it must return an error that says so, and the next
// change must be stored in full, so that later texts are readable.
func TestDamagedTextIsReportedAndNextChangeIsFull(t *testing.T) {
	changes := newChangeHarness(t, compilePolicy, state.LatestFormat)
	changes.server.logger = discardLogger()
	for index := range 3 {
		_, err := changes.server.store.Apply(changes.make(t, strings.Replace(smallSite, "slots 2", fmt.Sprint("slots 2", index), 1)))
		require.NoError(t, err)
	}
	delta := changes.server.latest().TextDelta
	require.NotEmpty(t, delta)
	delta[len(delta)/2] ^= 0xff
	changes.server.compiled = configurationCache{}
	_, _, err := changes.server.revisionText(3)
	require.ErrorContains(t, err, "text of revision 3 can't be read")
	require.True(t, isDefinite(err))
	_, kept, err := changes.server.revisionText(2)
	require.NoError(t, err)
	require.True(t, kept)

	_, err = changes.server.store.Apply(changes.make(t, smallSite))
	require.NoError(t, err)
	require.Empty(t, changes.server.latest().TextDelta)
	got, _, err := changes.server.revisionText(4)
	require.NoError(t, err)
	require.Equal(t, smallSite, got)
}

// TestHistoryOfAGroup submits small edits to a group whose log is compacted every
// few entries and whose leader crashes halfway. After a restart the leader must
// return every text, and a rollback must restore one of them.
func TestHistoryOfAGroup(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, func(options *Options) { options.SnapshotEntries = 5 })
	requireFormat(t, cluster.leader(), state.LatestFormat)
	const revisions = 20
	text := func(revision int) string {
		return strings.Repeat("the same line\n", 20) + fmt.Sprintln("line", revision)
	}
	for revision := range revisions {
		if revision == revisions/2 {
			cluster.leader().crash()
		}
		response := apply(t, cluster.client(), fmt.Sprint("change-", revision), text(revision), uint64(revision))
		require.Equal(t, accepted, response.GetResult())
	}
	for _, node := range cluster.nodes {
		if node.process != nil {
			node.crash()
		}
		node.restart()
	}
	client := cluster.client()
	for revision := range revisions {
		kept, err := client.Get(testContext(t), uint64(revision+1))
		require.NoError(t, err)
		require.Equal(t, text(revision), kept.GetText())
	}
	response, err := client.Apply(testContext(t), &v1.ApplyRequest{ChangeId: "back", RollbackTo: 3, ExpectedRevision: revisions})
	require.NoError(t, err)
	require.Equal(t, accepted, response.GetResult())
	latest, err := client.Get(testContext(t), 0)
	require.NoError(t, err)
	require.Equal(t, text(2), latest.GetText())
	deltas := 0
	cluster.leader().process.server.store.read(func(machine *state.Machine) {
		for revision := range uint64(revisions) {
			if kept, _ := machine.Revision(revision + 1); len(kept.TextDelta) > 0 {
				deltas++
			}
		}
	})
	require.Equal(t, revisions-1, deltas)
}

func requireFormat(t *testing.T, node *testNode, format uint32) {
	require.Eventually(t, func() bool { return newFormatRaiser(node.process.server).format() == format }, testTimeout, 10*time.Millisecond)
}

// fakeVoter reports a given state format, such as that of an older program.
type fakeVoter struct {
	martenstagev1connect.UnimplementedConfigServiceHandler
	id     uint64
	format uint32
}

func (f fakeVoter) Status(context.Context, *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
	return connect.NewResponse(&v1.StatusResponse{AnsweredBy: f.id, StateFormat: f.format}), nil
}

// TestFormatWaitsForEveryMember checks members of three kinds, alone and together:
// one that does not answer, one that runs an old program and one that supports the
// latest format.
func TestFormatWaitsForEveryMember(t *testing.T) {
	t.Parallel()
	serve := func(id uint64, format uint32) consensus.MemberStatus {
		mux := http.NewServeMux()
		mux.Handle(martenstagev1connect.NewConfigServiceHandler(fakeVoter{id: id, format: format}))
		listener, err := net.Listen("tcp4", testaddress.Next().String())
		require.NoError(t, err)
		listening := rpc.NewServerOn(listener, mux, rpc.Plaintext(), discardLogger())
		go func() { _ = listening.Serve() }()
		t.Cleanup(func() { _ = listening.Close() })
		return consensus.MemberStatus{Member: consensus.Member{ID: id, Address: listening.Address()}}
	}
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	// The listener accepts connections but never answers.
	silent := consensus.MemberStatus{Member: consensus.Member{ID: 7, Address: listener.Addr().String()}}
	old, ready := serve(8, 0), serve(9, state.LatestFormat)

	server := newTestCluster(t, 1, nil).leader().process.server
	raiser := newFormatRaiser(server)
	require.False(t, raiser.supports(testContext(t), silent))
	require.False(t, raiser.supports(testContext(t), old))
	require.True(t, raiser.supports(testContext(t), ready))
	other := ready
	other.ID = 10 // another voter answers at its address
	require.False(t, raiser.supports(testContext(t), other))
	require.False(t, raiser.allSupport(testContext(t), server.voter.Status().ID, []consensus.MemberStatus{ready, old}))
	require.True(t, raiser.allSupport(testContext(t), server.voter.Status().ID, []consensus.MemberStatus{ready}))
}

// TestRecoveryResubmitsDeltas resubmits the latest text on a state whose latest
// revision is a delta. Text, plan and the earlier history must be unchanged.
func TestRecoveryResubmitsDeltas(t *testing.T) {
	const lost = 3
	changes := newChangeHarness(t, compilePolicy, state.LatestFormat)
	var texts []string
	for index := range 4 {
		texts = append(texts, strings.Replace(smallSite, "slots 2", fmt.Sprint("slots 2", index), 1))
		_, err := changes.server.store.Apply(changes.make(t, texts[index]))
		require.NoError(t, err)
	}
	machine := changes.server.store.machine
	require.NotEmpty(t, machine.Latest().TextDelta)
	require.NoError(t, Recovery{ID: 4, LostChanges: lost}.resubmitLatest(machine, time.UnixMilli(1_700_000_000_000)))
	for range lost {
		texts = append(texts, texts[3])
	}
	changes.server.compiled = configurationCache{}
	snapshot, err := changes.server.store.Snapshot()
	require.NoError(t, err)
	require.NoError(t, changes.server.store.Restore(snapshot))
	changes.requireHistory(t, texts)
}
