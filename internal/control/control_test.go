package control

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/rpc"
)

const (
	accepted = v1.ApplyResult_APPLY_RESULT_ACCEPTED
	conflict = v1.ApplyResult_APPLY_RESULT_CONFLICT
)

// TestRacingOperators submits concurrent changes with the same expected revision
// through every voter. Exactly one must be accepted, and the others must get its
// revision and author.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, nil)
	const rounds, operators = 5, 6
	for round := range rounds {
		responses := make([]*v1.ApplyResponse, operators)
		var racing sync.WaitGroup
		for operator := range operators {
			client := cluster.client(cluster.nodes[operator%3])
			racing.Go(func() {
				id := fmt.Sprintf("round-%d-operator-%d", round, operator)
				responses[operator] = apply(t, client, id, id, uint64(round))
			})
		}
		racing.Wait()
		winner := -1
		for operator, response := range responses {
			if response.GetResult() == accepted {
				require.Equal(t, -1, winner)
				winner = operator
			}
		}
		require.NotEqual(t, -1, winner)
		for operator, response := range responses {
			require.Equal(t, uint64(round+1), response.GetRevision())
			if operator != winner {
				require.Equal(t, conflict, response.GetResult())
				require.Equal(t, fmt.Sprintf("author-of-round-%d-operator-%d", round, winner), response.GetWinnerAuthor())
			}
		}
	}
}

// TestResentChangeGetsFirstResult resends accepted, refused and invalid changes
// after a leader change, a log compaction and a restart of all voters.
func TestResentChangeGetsFirstResult(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, func(options *Options) { options.SnapshotEntries = 5 })
	client := cluster.client()
	first := map[string]*v1.ApplyResponse{
		"accepted": apply(t, client, "accepted", "one", 0),
		"refused":  apply(t, client, "refused", "two", 0),
		"invalid":  apply(t, client, "invalid", invalidText, 1),
	}
	texts := map[string]string{"accepted": "one", "refused": "two", "invalid": invalidText}
	require.Equal(t, accepted, first["accepted"].GetResult())
	require.Equal(t, conflict, first["refused"].GetResult())
	require.Equal(t, v1.ApplyResult_APPLY_RESULT_INVALID, first["invalid"].GetResult())

	revision := uint64(1)
	check := func(when string) {
		for id, text := range texts {
			// A retry may state a newer expected revision.
			again := apply(t, client, id, text, revision)
			require.Equal(t, first[id].String(), again.String(), "%s, %s", id, when)
		}
		other := apply(t, client, "accepted", "another text", revision)
		require.Equal(t, v1.ApplyResult_APPLY_RESULT_CHANGE_ID_REUSED, other.GetResult(), when)
	}
	check("at once")
	crashed := cluster.leader()
	crashed.crash()
	check("after a change of leader")
	crashed.restart()
	for ; revision < 20; revision++ {
		id := fmt.Sprint("filler-", revision)
		require.Equal(t, accepted, apply(t, client, id, id, revision).GetResult())
	}
	check("after a compaction")
	for _, node := range cluster.nodes {
		require.NotZero(t, node.process.voter.Status().SnapshotIndex)
		node.crash()
	}
	for _, node := range cluster.nodes {
		node.restart()
	}
	check("after a restart")
	latest, err := client.Get(testContext(t), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(20), latest.GetNumber())
	require.Equal(t, "filler-19", latest.GetText())
}

// TestControlCharactersAreRefused checks that change id and comment stay on one
// line in the history and in events.
func TestControlCharactersAreRefused(t *testing.T) {
	t.Parallel()
	require.NoError(t, checkApply(&v1.ApplyRequest{ChangeId: "first", Comment: "a comment"}))
	require.ErrorContains(t, checkApply(&v1.ApplyRequest{ChangeId: "first\n2  second"}), "control characters")
	require.ErrorContains(t, checkApply(&v1.ApplyRequest{ChangeId: "first", Comment: "\x1b[2J"}), "control characters")
}

// TestVoterReplaced replaces one voter and crashes another right after. No change
// may be lost, and new changes must be accepted.
func TestVoterReplaced(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, nil)
	require.Equal(t, accepted, apply(t, cluster.client(), "one", "one", 0).GetResult())
	cluster.nodes[2].crash()
	joining := newTestClusterOn(t, cluster.network, 1, func(options *Options) {
		options.ID, options.Voters, options.Join = 4, nil, true
	}).nodes[0]
	cluster.nodes = append(cluster.nodes, joining)

	client := cluster.client(cluster.nodes[0], cluster.nodes[1])
	_, err := client.RemoveVoter(testContext(t), 3)
	require.NoError(t, err)
	voters, err := client.AddVoter(testContext(t), 4, joining.options.Listen)
	require.NoError(t, err)
	require.Len(t, voters, 3)
	cluster.nodes[0].crash()

	rest := cluster.client(cluster.nodes[1], joining)
	require.Equal(t, accepted, apply(t, rest, "two", "two", 1).GetResult())
	history, err := rest.History(testContext(t), 10)
	require.NoError(t, err)
	require.Equal(t, "one", history[1].GetChangeId())
}

// TestJournal checks that events are stored once, that control records its own
// events, and that operators' drain marks reach the followers' tables.
func TestJournal(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1, nil)
	client := cluster.client()
	require.Equal(t, accepted, apply(t, client, "one", "one", 0).GetResult())
	require.Equal(t, conflict, apply(t, client, "two", "two", 0).GetResult())
	drain := &v1.SetDrainRequest{Address: "127.0.0.1:9000", Draining: true, ChangeId: "drain", Author: "malee"}
	require.NoError(t, client.SetDrain(testContext(t), drain))
	require.NoError(t, client.SetDrain(testContext(t), drain))

	server := cluster.nodes[0].process.server
	server.recorder.Record(journal.Event{ID: "same", Kind: journal.KindLeaseLost, Service: "library-feed"})
	server.recorder.Record(journal.Event{ID: "same", Kind: journal.KindLeaseLost, Service: "library-feed"})
	count := func(kind journal.Kind) (count int) {
		response, err := client.Events(testContext(t), &v1.ListEventsRequest{})
		require.NoError(t, err)
		for _, event := range response.GetEvents() {
			if event.GetKind() == string(kind) {
				count++
			}
		}
		return count
	}
	require.Eventually(t, func() bool { return count(journal.KindLeaseLost) == 1 }, testTimeout, 20*time.Millisecond)
	require.Eventually(t, func() bool { return count(journal.KindLeaderChanged) == 1 }, testTimeout, 20*time.Millisecond)
	require.Equal(t, 1, count(journal.KindChangeAccepted))
	require.Equal(t, 1, count(journal.KindChangeRefused))
	require.Equal(t, 1, count(journal.KindDrainBegun))
	status, err := client.Status(testContext(t))
	require.NoError(t, err)
	require.Equal(t, "leaving", status.GetMachines()[0].GetState())
}

// TestRollback applies an earlier text again under a new, higher revision.
func TestRollback(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1, nil)
	client := cluster.client()
	apply(t, client, "one", "one", 0)
	apply(t, client, "two", "two", 1)
	response, err := client.Apply(testContext(t), &v1.ApplyRequest{ChangeId: "back", RollbackTo: 1, ExpectedRevision: 2})
	require.NoError(t, err)
	require.Equal(t, uint64(3), response.GetRevision())
	latest, err := client.Get(testContext(t), 0)
	require.NoError(t, err)
	require.Equal(t, "one", latest.GetText())
	require.Equal(t, uint64(1), latest.GetRollbackOf())
	unknown, err := client.Apply(testContext(t), &v1.ApplyRequest{ChangeId: "no", RollbackTo: 9, ExpectedRevision: 3})
	require.NoError(t, err)
	require.Equal(t, v1.ApplyResult_APPLY_RESULT_INVALID, unknown.GetResult())
}

// TestDataFolderInUse checks the exit code of a second process on the same folder.
func TestDataFolderInUse(t *testing.T) {
	t.Parallel()
	node := newTestCluster(t, 1, nil).nodes[0]
	_, err := Open(node.options, node.process.environment)
	require.Equal(t, exitcode.DataFolder, exitcode.Of(err), "%v", err)
}

// TestEmptyFolderNeedsVoterOrJoin checks that a voter with an empty folder does
// not create a group unless its settings request one.
func TestEmptyFolderNeedsVoterOrJoin(t *testing.T) {
	t.Parallel()
	options := &Options{DataFolder: t.TempDir(), ID: 1, Listen: "127.0.0.1:0", SecurityOptions: rpc.SecurityOptions{InsecurePlaintext: true}}
	_, err := Open(options, Environment{})
	require.Equal(t, exitcode.Settings, exitcode.Of(err), "%v", err)
}
