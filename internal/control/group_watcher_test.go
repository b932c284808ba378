package control

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/voter"
)

// TestGroupWatcherReportsEachChangeOnce passes statuses of a voter's group and
// disk to the watcher, each twice.
func TestGroupWatcherReportsEachChangeOnce(t *testing.T) {
	t.Parallel()
	var kinds []journal.Kind
	watcher := &groupWatcher{lost: map[uint64]bool{}, record: func(event journal.Event) { kinds = append(kinds, event.Kind) }}
	status := func(role consensus.Role, term uint64, secondAnswers bool) voter.Status {
		status := voter.Status{}
		status.ID, status.Role, status.Term = 1, role, term
		status.Members = []consensus.MemberStatus{
			{Member: consensus.Member{ID: 1}, Active: true}, {Member: consensus.Member{ID: 2}, Active: secondAnswers},
		}
		return status
	}
	slow, failed := status(consensus.Follower, 6, true), status(consensus.Follower, 6, true)
	slow.UnsyncedFor = slowSyncThreshold + time.Millisecond
	failed.DiskError = errors.New("no space left")
	for _, step := range []struct {
		status voter.Status
		want   []journal.Kind
	}{
		{status(consensus.Follower, 4, false), nil},
		{status(consensus.Leader, 5, true), []journal.Kind{journal.KindLeaderChanged}},
		{status(consensus.Leader, 5, false), []journal.Kind{journal.KindVoterLost}},
		{status(consensus.Leader, 5, true), []journal.Kind{journal.KindVoterReturned}},
		{status(consensus.Follower, 6, true), nil},
		{slow, []journal.Kind{journal.KindDiskSlow}},
		{failed, []journal.Kind{journal.KindDiskFailed}},
	} {
		kinds = nil
		watcher.observe(step.status)
		watcher.observe(step.status)
		require.Equal(t, step.want, kinds)
	}
}
