package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/rpc"
)

// testTimeout bounds every wait of these tests.
const testTimeout = 2 * time.Minute

// buildFolder holds the program under test.
var buildFolder string

var buildOnce = sync.OnceValues(func() (program string, err error) {
	program = filepath.Join(buildFolder, "martenstage")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	return program, errors.Wrapf(err, "go build: %s", output)
})

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "martenstage-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitcode.Failure)
	}
	buildFolder = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// voterProcess is a control voter in a process of its own.
type voterProcess struct {
	arguments []string
	command   *exec.Cmd
	output    bytes.Buffer
}

func (p *voterProcess) start(t testing.TB) {
	program, err := buildOnce()
	require.NoError(t, err)
	p.output.Reset()
	p.command = exec.Command(program, p.arguments...)
	p.command.Stderr = &p.output
	require.NoError(t, p.command.Start())
}

// end sends a signal and returns the exit code, -1 when the signal killed.
func (p *voterProcess) end(t testing.TB, signal syscall.Signal) int {
	require.NoError(t, p.command.Process.Signal(signal))
	_ = p.command.Wait() // the exit code tells
	return p.command.ProcessState.ExitCode()
}

// startVoters starts a group of three, with further arguments for each, and
// returns a client of it.
func startVoters(t *testing.T, further ...string) ([]*voterProcess, *control.Client) {
	return startGroup(t, 3, further...)
}

// startGroup is startVoters for any number of voters.
func startGroup(t *testing.T, count int, further ...string) ([]*voterProcess, *control.Client) {
	addresses := testaddress.List(count)
	processes := make([]*voterProcess, len(addresses))
	for index, address := range addresses {
		arguments := []string{
			"control", "--insecure-plaintext", "--id", fmt.Sprint(index + 1), "--listen", address,
			"--data-folder", t.TempDir(), "--snapshot-entries", "100",
		}
		for id, voter := range addresses {
			arguments = append(arguments, "--voter", fmt.Sprintf("%d=%s", id+1, voter))
		}
		processes[index] = &voterProcess{arguments: append(arguments, further...)}
		processes[index].start(t)
	}
	t.Cleanup(func() {
		for _, process := range processes {
			if process.command.ProcessState == nil {
				process.end(t, syscall.SIGKILL)
			}
		}
	})
	client := rpc.NewClient(rpc.Plaintext(), rpc.ClientConfig{})
	t.Cleanup(client.CloseIdle)
	return processes, control.NewClient(addresses, client)
}

// TestChangesSurviveKill makes 500 changes, kills all voters at some moment of
// the next ones, and restarts them: the latest accepted change is there, all
// accepted ones are in the history, and no refused one.
func TestChangesSurviveKill(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	processes, client := startVoters(t)
	base, err := os.ReadFile("../../deploy/bangkok/bangkok.policy")
	require.NoError(t, err)
	text := func(change uint64) string { return fmt.Sprintf("%s\n# change %d\n", base, change) }

	const changes = 500
	submit := func(ctx context.Context, expected uint64, id string) (*v1.ApplyResponse, error) {
		return client.Apply(ctx, &v1.ApplyRequest{ChangeId: id, Text: text(expected + 1), ExpectedRevision: expected, Author: "test"})
	}
	began := time.Now()
	for revision := range uint64(changes) {
		response, err := submit(ctx, revision, fmt.Sprint("change-", revision+1))
		require.NoError(t, err)
		require.Equal(t, v1.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetResult(), response.GetDetail())
		if revision%50 == 49 {
			refused, err := submit(ctx, revision, fmt.Sprint("refused-", revision))
			require.NoError(t, err)
			require.Equal(t, v1.ApplyResult_APPLY_RESULT_CONFLICT, refused.GetResult())
		}
	}
	t.Logf("%d changes took %s", changes, time.Since(began))

	// Changes go on in the background until one has no answer.
	last := make(chan uint64, 1)
	go func() {
		accepted := uint64(changes)
		for {
			short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
			response, err := submit(short, accepted, fmt.Sprint("change-", accepted+1))
			cancel()
			if err != nil || response.GetResult() != v1.ApplyResult_APPLY_RESULT_ACCEPTED {
				last <- accepted
				return
			}
			accepted++
		}
	}()
	time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
	for _, process := range processes {
		require.Equal(t, -1, process.end(t, syscall.SIGKILL))
	}
	accepted := <-last

	restarted := time.Now()
	for _, process := range processes {
		process.start(t)
	}
	latest, err := client.Get(ctx, 0)
	require.NoError(t, err)
	t.Logf("serving revision %d again %s after the start", latest.GetNumber(), time.Since(restarted))
	require.Contains(t, []uint64{accepted, accepted + 1}, latest.GetNumber())
	require.Equal(t, text(latest.GetNumber()), latest.GetText())
	history, err := client.History(ctx, 2*changes)
	require.NoError(t, err)
	require.Len(t, history, int(latest.GetNumber()))
	for _, revision := range history {
		require.Equal(t, fmt.Sprint("change-", revision.GetNumber()), revision.GetChangeId())
	}
	// The change without an answer has a definite one by its id.
	response, err := submit(ctx, accepted, fmt.Sprint("change-", accepted+1))
	require.NoError(t, err)
	require.Equal(t, v1.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetResult())
	require.Equal(t, accepted+1, response.GetRevision())
}

// TestPlannedStopAndFolderInUse checks the exit codes: 6 for a second process on
// a data folder, 0 after SIGTERM, and that the others go on at once.
func TestPlannedStopAndFolderInUse(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	processes, client := startVoters(t)
	status, err := client.Status(ctx)
	require.NoError(t, err)

	second := &voterProcess{arguments: processes[0].arguments}
	second.start(t)
	_ = second.command.Wait() // the exit code tells
	require.Equal(t, exitcode.DataFolder, second.command.ProcessState.ExitCode(), second.output.String())
	require.Contains(t, second.output.String(), "in use")

	leader := processes[status.GetLeaderId()-1]
	require.Equal(t, exitcode.OK, leader.end(t, syscall.SIGTERM), leader.output.String())
	after, err := client.Status(ctx)
	require.NoError(t, err)
	require.NotEqual(t, status.GetLeaderId(), after.GetLeaderId())
	require.NotContains(t, leader.output.String(), "leadership_not_handed_over")
}
