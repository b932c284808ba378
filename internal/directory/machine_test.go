package directory_test

import (
	"fmt"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
)

// depart applies the departures of servers numbered from one value to another.
func depart(t *testing.T, machine *directory.Machine, from, to int) {
	t.Helper()
	for number := from; number <= to; number++ {
		machine.Apply(uint64(number), directory.DepartEntry(fmt.Sprintf("i%d", number)))
	}
}

// TestDeparturesAreCompleteAfterASnapshot guards against positions that refer to other
// departures after a node has restored a snapshot from a node that dropped its oldest ones.
func TestDeparturesAreCompleteAfterASnapshot(t *testing.T) {
	const known, forgotten = 15_000, 5_000
	follower, leader := directory.NewMachine(), directory.NewMachine()
	depart(t, follower, 1, known)
	depart(t, leader, 1, directory.MaxDepartures+forgotten)
	_, position := follower.DeparturesFrom(0)
	snapshot, err := leader.Snapshot()
	require.NoError(t, err)
	require.NoError(t, follower.Restore(snapshot))
	received, next := follower.DeparturesFrom(position)
	require.True(t, lo.Contains(received, fmt.Sprintf("i%d", known+1)), "the first new departure is missing")
	require.Len(t, received, directory.MaxDepartures+forgotten-known)
	rest, _ := follower.DeparturesFrom(next)
	require.Empty(t, rest)
}
