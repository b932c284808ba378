package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/voter"
)

// TestSnapshotsFollowTheMemory guards against a log that outgrows a small machine: a group holds
// twice the size in memory and in the mapped file, and several copies of an entry beside it.
func TestSnapshotsFollowTheMemory(t *testing.T) {
	for _, memory := range []int64{64 << 20, 280 << 20, 2 << 30, 64 << 30} {
		size := newProcessLimits(memory, 0).snapshotBytes()
		require.Positive(t, size)
		require.LessOrEqual(t, 4*size, uint64(memory)/10, "memory %d", memory)
		require.LessOrEqual(t, size, uint64(voter.DefaultSnapshotBytes))
	}
}

func TestEveryListenerHasConnections(t *testing.T) {
	smallest := newProcessLimits(1<<20, 32)
	require.Equal(t, minConnections, smallest.connections(statusShare))
	limits := newProcessLimits(1<<40, 1000)
	require.Equal(t, 400, limits.connections(mainShare))
	require.Equal(t, 60, limits.connections(statusShare))
	require.Positive(t, newProcessLimits(0, 0).connections(mainShare))
}
