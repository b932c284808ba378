package directory_test

import (
	"fmt"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
)

// depart applies the departures of servers with numbers from one to another.
func depart(t *testing.T, machine *directory.Machine, from, to int) {
	t.Helper()
	for number := from; number <= to; number++ {
		machine.Apply(uint64(number), directory.DepartEntry(fmt.Sprintf("i%d", number)))
	}
}

// TestDeparturesAreLeftOutAfterASnapshot guards against positions that mean other departures once
// a node has taken over a snapshot from one that has forgotten its oldest ones.
func TestDeparturesAreLeftOutAfterASnapshot(t *testing.T) {
	const known, forgotten = 15_000, 5_000
	follower, leader := directory.NewMachine(), directory.NewMachine()
	depart(t, follower, 1, known)
	depart(t, leader, 1, directory.MaxDepartures+forgotten)
	_, position := follower.DeparturesFrom(0)
	snapshot, err := leader.Snapshot()
	require.NoError(t, err)
	require.NoError(t, follower.Restore(snapshot))
	told, next := follower.DeparturesFrom(position)
	require.True(t, lo.Contains(told, fmt.Sprintf("i%d", known+1)), "the first departure that is new was left out")
	require.Len(t, told, directory.MaxDepartures+forgotten-known)
	rest, _ := follower.DeparturesFrom(next)
	require.Empty(t, rest)
}
