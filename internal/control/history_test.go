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

// smallSite is the text of revision 1 of the committed snapshot.
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

// TestStateOfTheFirstFormatGoesOn restores a snapshot that the program wrote
// before it knew differences: texts and plan are there, and changes as
// differences build on them.
func TestStateOfTheFirstFormatGoesOn(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "state-v1.bin"))
	require.NoError(t, err)
	changes := newChanger(t, compilePolicy, 1)
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

// requireHistory compares texts and the published plan with what was submitted,
// also after a restart from a snapshot.
func (c *changer) requireHistory(t require.TestingT, texts []string) {
	snapshot, err := c.server.store.Snapshot()
	require.NoError(t, err)
	restarted := &Server{store: NewStore(state.DefaultLimits(), plan.FromProto)}
	require.NoError(t, restarted.store.Restore(snapshot))
	want, err := compilePolicy(texts[len(texts)-1])
	require.NoError(t, err)
	for _, server := range []*Server{c.server, restarted} {
		for index, text := range texts {
			got, kept, err := server.text(uint64(index + 1))
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

// TestVotersStayEqual applies a log of changes to voters of which some start
// from a snapshot on the way and one takes over the lead without what the
// leader before remembered: states are equal byte for byte, and so are plans.
func TestVotersStayEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader := newChanger(t, policy.NewCompiler(compiledFileName).Compile, state.LatestFormat)
		voters := []*Store{newChanger(t, compilePolicy, state.LatestFormat).server.store}
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

// drawSite changes a limit, a deadline, or adds or removes a service.
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

// TestDamagedTextIsToldAndLeftBehind damages a difference in a voter's state:
// texts that build on it are an error that says so, and the next change goes
// whole, so that the history is sound from there on.
func TestDamagedTextIsToldAndLeftBehind(t *testing.T) {
	changes := newChanger(t, compilePolicy, state.LatestFormat)
	changes.server.logger = discardLogger()
	for index := range 3 {
		_, err := changes.server.store.Apply(changes.make(t, strings.Replace(smallSite, "slots 2", fmt.Sprint("slots 2", index), 1)))
		require.NoError(t, err)
	}
	delta := changes.server.latest().TextDelta
	require.NotEmpty(t, delta)
	delta[len(delta)/2] ^= 0xff
	changes.server.compiled = configurationCache{}
	_, _, err := changes.server.text(3)
	require.ErrorContains(t, err, "text of revision 3 can't be read")
	require.True(t, isDefinite(err))
	_, kept, err := changes.server.text(2)
	require.NoError(t, err)
	require.True(t, kept)

	_, err = changes.server.store.Apply(changes.make(t, smallSite))
	require.NoError(t, err)
	require.Empty(t, changes.server.latest().TextDelta)
	got, _, err := changes.server.text(4)
	require.NoError(t, err)
	require.Equal(t, smallSite, got)
}

// TestHistoryOfAGroup submits small edits to a group of voters whose log is cut
// every few entries and whose leader is lost on the way: every text comes back
// from every leader, and a rollback takes one of them again.
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
	differences := 0
	cluster.leader().process.server.store.read(func(machine *state.Machine) {
		for revision := range uint64(revisions) {
			if kept, _ := machine.Revision(revision + 1); len(kept.TextDelta) > 0 {
				differences++
			}
		}
	})
	require.Equal(t, revisions-1, differences)
}

func requireFormat(t *testing.T, node *testNode, format uint32) {
	require.Eventually(t, func() bool { return newFormatRaiser(node.process.server).format() == format }, testTimeout, 10*time.Millisecond)
}

// oldProgram answers like a voter that does not know its newest format.
type oldProgram struct {
	martenstagev1connect.UnimplementedConfigServiceHandler
	id     uint64
	format uint32
}

func (p oldProgram) Status(context.Context, *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
	return connect.NewResponse(&v1.StatusResponse{AnsweredBy: p.id, StateFormat: p.format}), nil
}

// TestFormatWaitsForEveryMember asks members of three kinds: one that does not
// answer, one of an old program and a new one, alone and together.
func TestFormatWaitsForEveryMember(t *testing.T) {
	t.Parallel()
	serve := func(id uint64, format uint32) consensus.MemberStatus {
		mux := http.NewServeMux()
		mux.Handle(martenstagev1connect.NewConfigServiceHandler(oldProgram{id: id, format: format}))
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
	// Connections are accepted, and nothing ever answers.
	silent := consensus.MemberStatus{Member: consensus.Member{ID: 7, Address: listener.Addr().String()}}
	old, ready := serve(8, 0), serve(9, state.LatestFormat)

	server := newTestCluster(t, 1, nil).leader().process.server
	raiser := newFormatRaiser(server)
	require.False(t, raiser.knows(testContext(t), silent))
	require.False(t, raiser.knows(testContext(t), old))
	require.True(t, raiser.knows(testContext(t), ready))
	other := ready
	other.ID = 10 // another voter answers at its address
	require.False(t, raiser.knows(testContext(t), other))
	require.False(t, raiser.allKnow(testContext(t), server.voter.Status().ID, []consensus.MemberStatus{ready, old}))
	require.True(t, raiser.allKnow(testContext(t), server.voter.Status().ID, []consensus.MemberStatus{ready}))
}

// TestRecoveryRepeatsDifferences accepts the latest text again on a state whose
// latest revision is a difference: text and plan stay, and so does what the
// history held before.
func TestRecoveryRepeatsDifferences(t *testing.T) {
	const lost = 3
	changes := newChanger(t, compilePolicy, state.LatestFormat)
	var texts []string
	for index := range 4 {
		texts = append(texts, strings.Replace(smallSite, "slots 2", fmt.Sprint("slots 2", index), 1))
		_, err := changes.server.store.Apply(changes.make(t, texts[index]))
		require.NoError(t, err)
	}
	machine := changes.server.store.machine
	require.NotEmpty(t, machine.Latest().TextDelta)
	require.NoError(t, Recovery{ID: 4, LostChanges: lost}.repeatLatest(machine, time.UnixMilli(1_700_000_000_000)))
	for range lost {
		texts = append(texts, texts[3])
	}
	changes.server.compiled = configurationCache{}
	snapshot, err := changes.server.store.Snapshot()
	require.NoError(t, err)
	require.NoError(t, changes.server.store.Restore(snapshot))
	changes.requireHistory(t, texts)
}
