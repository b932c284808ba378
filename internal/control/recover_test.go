package control

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// TestRecoveryFromOneVoter crashes all three voters, creates a new group from the
// data folder of one of them, and adds a new voter to it.
func TestRecoveryFromOneVoter(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, func(options *Options) { options.SnapshotEntries = 4 })
	for revision := range uint64(7) {
		id := fmt.Sprint("change-", revision+1)
		require.Equal(t, accepted, apply(t, cluster.client(), id, id, revision).GetResult())
	}
	survivor := cluster.nodes[1]
	require.Eventually(t, func() bool { return survivor.process.server.latest().Number == 7 }, testTimeout, 10*time.Millisecond)
	recovery := Recovery{
		From: survivor.options.DataFolder, FromID: 2, Folder: filepath.Join(t.TempDir(), "new"), ID: 4, LostChanges: 3,
		Address: survivor.options.Listen,
	}
	_, err := recovery.Run(time.Now())
	require.Equal(t, exitcode.DataFolder, exitcode.Of(err), "a folder in use: %v", err)
	for _, node := range cluster.nodes {
		node.crash()
	}
	used := recovery
	used.ID = 3
	_, err = used.Run(time.Now())
	require.Equal(t, exitcode.Usage, exitcode.Of(err), "%v", err)

	recovered, err := recovery.Run(time.Now())
	require.NoError(t, err)
	require.Equal(t, uint64(7), recovered.SurvivorRevision)
	require.Equal(t, uint64(10), recovered.FirstRevision)
	_, err = recovery.Run(time.Now())
	require.Equal(t, exitcode.DataFolder, exitcode.Of(err), "a folder that is not empty: %v", err)

	firstVoter := &testNode{t: t, options: survivor.options, isolated: survivor.isolated, network: cluster.network}
	firstVoter.options.ID, firstVoter.options.DataFolder, firstVoter.options.Voters = 4, recovery.Folder, nil
	firstVoter.restart()
	t.Cleanup(firstVoter.crash)
	joining := newTestClusterOn(t, cluster.network, 1, func(options *Options) {
		options.ID, options.Voters, options.Join = 5, nil, true
	}).nodes[0]
	client := cluster.client(firstVoter)
	voters, err := client.AddVoter(testContext(t), 5, joining.options.Listen)
	require.NoError(t, err)
	require.Len(t, voters, 2)
	require.Equal(t, accepted, apply(t, client, "after", "after", 10).GetResult())
	again := apply(t, client, "change-7", "change-7", 11)
	require.Equal(t, v1.ApplyResult_APPLY_RESULT_ACCEPTED, again.GetResult())
	require.Equal(t, uint64(7), again.GetRevision(), "a resent change gets its first result")
	kept, err := client.Get(testContext(t), 10)
	require.NoError(t, err)
	require.Equal(t, "change-7", kept.GetText())
	require.Equal(t, recoveryAuthor, kept.GetAuthor())
}
