package main

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// fullAt is the file size from which writes of a process on a full disk fail:
// behind the two pages in which the log's file describes itself.
const fullAt = 8 << 10

// fillDisk lets the writes of a process fail like those on a full disk, by a
// limit of its file sizes.
func fillDisk(t *testing.T, process *voterProcess) {
	var before unix.Rlimit
	limit := unix.Rlimit{Cur: fullAt, Max: fullAt}
	require.NoError(t, unix.Prlimit(process.command.Process.Pid, unix.RLIMIT_FSIZE, &limit, &before))
}

// voterOf returns what a group's status says of a voter.
func voterOf(status *v1.StatusResponse, id uint64) *v1.VoterStatus {
	found, _ := lo.Find(status.GetVoters(), func(voter *v1.VoterStatus) bool { return voter.GetVoter().GetId() == id })
	return found
}

// TestVoterOnAFullDiskStepsAside fills the disk of a follower and then that of
// the leader. Each says so and takes no further part, the other two go on
// accepting, and a restart with room again brings it back. Nothing is lost.
func TestVoterOnAFullDiskStepsAside(t *testing.T) {
	t.Parallel()
	for name, pick := range map[string]func(leader uint64) uint64{
		"follower": func(leader uint64) uint64 { return leader%3 + 1 },
		"leader":   func(leader uint64) uint64 { return leader },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			processes, client := startVoters(t)
			made := &changes{t: t, client: client}
			made.apply(ctx, 10)
			status, err := client.Status(ctx)
			require.NoError(t, err)
			id := pick(status.GetLeaderId())
			full := processes[id-1]
			fillDisk(t, full)
			made.apply(ctx, 10)

			awaitDiskError(ctx, t, client, id)
			awaitStatus(ctx, t, client, func(status *v1.StatusResponse) bool { return status.GetLeaderId() != id })
			made.apply(ctx, 10)
			stdout, stderr, code := runCommand(t, append([]string{"status"}, controlArguments(processes)...)...)
			require.Equal(t, exitcode.OK, code, stderr)
			require.Regexp(t, fmt.Sprintf("voter %d can't use its disk: .*file too large", id), stdout)
			require.Equal(t, -1, full.end(t, syscall.SIGKILL))
			require.Contains(t, full.output.String(), "disk failed; the voter stops voting and leading")
			require.Contains(t, full.output.String(), "file too large")
			full.start(t)
			awaitStatus(ctx, t, client, func(status *v1.StatusResponse) bool {
				return voterOf(status, id).GetMatchIndex() >= status.GetCommitIndex()
			})
			// With another voter gone, only the one that came back makes a quorum.
			processes[id%3].end(t, syscall.SIGKILL)
			made.apply(ctx, 10)
			requireHistory(ctx, t, client, made.applied)
		})
	}
}

// controlArguments are the options of a command that calls a group.
func controlArguments(processes []*voterProcess) []string {
	arguments := []string{"--insecure-plaintext"}
	for _, address := range addressesOf(processes) {
		arguments = append(arguments, "--control", address)
	}
	return arguments
}

// awaitStatus waits until the confirmed leader's view is as wanted.
func awaitStatus(ctx context.Context, t *testing.T, client *control.Client, wanted func(*v1.StatusResponse) bool) {
	t.Helper()
	for {
		status, err := client.Status(ctx)
		require.NoError(t, err, "%v", status)
		if wanted(status) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitDiskError waits until a voter itself says that its disk failed.
func awaitDiskError(ctx context.Context, t *testing.T, client *control.Client, id uint64) {
	t.Helper()
	for {
		for _, own := range client.LocalStatuses(ctx) {
			if own.GetAnsweredBy() == id && voterOf(own, id).GetDiskError() != "" {
				return
			}
		}
		require.NoError(t, ctx.Err(), "voter %d does not say that its disk failed", id)
		time.Sleep(50 * time.Millisecond)
	}
}

// requireHistory checks that changes 0 to applied-1 are all there, in order.
func requireHistory(ctx context.Context, t *testing.T, client *control.Client, applied uint64) {
	t.Helper()
	history, err := client.History(ctx, 1000)
	require.NoError(t, err)
	require.Len(t, history, int(applied))
	for index, revision := range history {
		require.Equal(t, fmt.Sprint("change-", applied-1-uint64(index)), revision.GetChangeId())
	}
}
