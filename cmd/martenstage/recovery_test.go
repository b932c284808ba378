package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/control"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/rpc"
)

// smallPolicy is a configuration whose comment tells changes apart.
const smallPolicy = `service search {
	slots 2
	connections 10
	retry budget 10%% burst 10
	generation 1 { group g0 { replica 127.0.0.1:1 zone a } }
}
policy find { deadline 1s repeatable answer when coverage >= 100%% at 900ms fail }
route find { service search policy find target all }
# %s
`

// clientOf returns a client of its own of some voters.
func clientOf(t *testing.T, addresses ...string) *control.Client {
	client := rpc.NewClient(rpc.Plaintext(), rpc.ClientConfig{})
	t.Cleanup(client.CloseIdle)
	return control.NewClient(addresses, client)
}

func mustApply(ctx context.Context, t *testing.T, client *control.Client, id string, expected uint64) *v1.ApplyResponse {
	response, err := client.Apply(ctx, &v1.ApplyRequest{
		ChangeId: id, Text: fmt.Sprintf(smallPolicy, id), ExpectedRevision: expected, Author: id,
	})
	require.NoError(t, err)
	return response
}

// TestOperatorsRaceWhileLeadersAreKilled lets three operators submit with equal
// revisions at three voters, kills the leader amid each race, and resends all of
// it afterwards: of each race one wins, everybody is told the same again, and
// the history holds the winners alone.
func TestOperatorsRaceWhileLeadersAreKilled(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	processes, client := startVoters(t, "--snapshot-entries", "4")
	addresses := addressesOf(processes)
	clients := []*control.Client{
		clientOf(t, addresses...), clientOf(t, addresses[1], addresses[2], addresses[0]), clientOf(t, addresses[2], addresses[0], addresses[1]),
	}
	const rounds = 6
	first := map[string]*v1.ApplyResponse{}
	for round := range uint64(rounds) {
		status, err := client.Status(ctx)
		require.NoError(t, err)
		answers := make([]*v1.ApplyResponse, len(clients))
		var racing sync.WaitGroup
		for operator, own := range clients {
			racing.Go(func() { answers[operator] = mustApply(ctx, t, own, fmt.Sprintf("%d-%d", round, operator), round) })
		}
		killed := processes[status.GetLeaderId()-1]
		killed.end(t, syscall.SIGKILL)
		began := time.Now()
		racing.Wait()
		t.Logf("round %d: decided %s after the leader was killed", round, time.Since(began))
		winners := 0
		for operator, answer := range answers {
			require.Equal(t, round+1, answer.GetRevision())
			if answer.GetResult() == v1.ApplyResult_APPLY_RESULT_ACCEPTED {
				winners++
			}
			first[fmt.Sprintf("%d-%d", round, operator)] = answer
		}
		require.Equal(t, 1, winners)
		killed.start(t)
	}
	for _, process := range processes {
		process.end(t, syscall.SIGKILL)
	}
	for _, process := range processes {
		process.start(t)
	}
	for id, answer := range first {
		require.Equal(t, answer.String(), mustApply(ctx, t, client, id, rounds).String(), id)
	}
	history, err := client.History(ctx, 100)
	require.NoError(t, err)
	require.Len(t, history, rounds)
	for _, revision := range history {
		require.Equal(t, v1.ApplyResult_APPLY_RESULT_ACCEPTED, first[revision.GetChangeId()].GetResult())
	}
}

// TestVoterReplacedAndAnotherLost replaces a voter whose disk is lost, and kills
// another one the moment that the replacement is done.
func TestVoterReplacedAndAnotherLost(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	processes, client := startVoters(t)
	addresses := addressesOf(processes)
	const changes = 20
	for revision := range uint64(changes) {
		require.Equal(t, v1.ApplyResult_APPLY_RESULT_ACCEPTED, mustApply(ctx, t, client, fmt.Sprint("change-", revision), revision).GetResult())
	}
	processes[2].end(t, syscall.SIGKILL)
	address := testaddress.Next().String()
	joining := &voterProcess{arguments: []string{
		"control", "--insecure-plaintext", "--id", "4", "--listen", address, "--data-folder", t.TempDir(), "--join",
	}}
	joining.start(t)
	t.Cleanup(func() { joining.end(t, syscall.SIGKILL) })
	operator := clientOf(t, addresses[0], addresses[1])
	_, err := operator.AddVoter(ctx, 4, address)
	require.NoError(t, err)
	voters, err := operator.RemoveVoter(ctx, 3)
	require.NoError(t, err)
	require.Len(t, voters, 3)
	status, err := operator.Status(ctx)
	require.NoError(t, err)
	lost := int(status.GetLeaderId()-1) % 2 // the leader, unless that is the new one
	processes[lost].end(t, syscall.SIGKILL)
	began := time.Now()

	rest := clientOf(t, addresses[1-lost], address)
	require.Equal(t, v1.ApplyResult_APPLY_RESULT_ACCEPTED, mustApply(ctx, t, rest, "after", changes).GetResult())
	t.Logf("accepting %s after the loss", time.Since(began))
	history, err := rest.History(ctx, 2*changes)
	require.NoError(t, err)
	require.Len(t, history, changes+1)
	for index, revision := range history[1:] {
		require.Equal(t, fmt.Sprint("change-", changes-1-index), revision.GetChangeId())
	}
}
