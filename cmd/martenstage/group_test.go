package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/voter"
)

// changes makes numbered changes of a group one after the other.
type changes struct {
	t       *testing.T
	client  *control.Client
	applied uint64
}

func (c *changes) apply(ctx context.Context, count int) {
	c.t.Helper()
	for range count {
		response := mustApply(ctx, c.t, c.client, fmt.Sprint("change-", c.applied), c.applied)
		require.Equal(c.t, v1.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetResult(), response.GetDetail())
		c.applied++
	}
}

// grants reports whether a voter grants a router a lease.
func grants(ctx context.Context, address string, revision uint64) bool {
	client := rpc.NewClient(rpc.Plaintext(), rpc.ClientConfig{})
	defer client.CloseIdle()
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	response, err := martenstagev1connect.NewFollowServiceClient(client.HTTP(), client.URL(address)).
		Sync(bounded, connect.NewRequest(&v1.SyncRequest{
			Node: &v1.NodeIdentity{Name: "router", Role: "router", Zone: "a", Address: "127.0.0.1:1", Boot: 1}, Revision: revision,
		}))
	return err == nil && response.Msg.GetLease().AsDuration() > 0
}

// TestFiveVotersSurviveTwo kills the leader of five and another voter at once,
// then a third: while three live, changes are accepted and leases granted, with
// two neither, and once the others are back nothing is lost.
func TestFiveVotersSurviveTwo(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	processes, client := startGroup(t, 5)
	made := &changes{t: t, client: client}
	made.apply(ctx, 10)
	killLeaderAnd := func(others int) {
		status, err := client.Status(ctx)
		require.NoError(t, err)
		victims := []*voterProcess{processes[status.GetLeaderId()-1]}
		for _, process := range processes {
			if len(victims) <= others && process != victims[0] && process.command.ProcessState == nil {
				victims = append(victims, process)
			}
		}
		for _, victim := range victims {
			require.NoError(t, victim.command.Process.Kill())
		}
		for _, victim := range victims {
			_ = victim.command.Wait() // it was killed, so it reports a failure
		}
	}
	granted := func() bool {
		return lo.SomeBy(addressesOf(processes), func(address string) bool { return grants(ctx, address, made.applied) })
	}

	killLeaderAnd(1)
	made.apply(ctx, 10)
	require.Eventually(t, granted, testTimeout, 50*time.Millisecond)

	killLeaderAnd(0)
	const without = 4 * time.Second // several elections
	short, end := context.WithTimeout(ctx, without)
	defer end()
	lost := make(chan error, 1)
	go func() {
		_, err := client.Apply(short, &v1.ApplyRequest{ChangeId: "without-quorum", Text: fmt.Sprintf(smallPolicy, "without"), ExpectedRevision: made.applied})
		lost <- err
	}()
	for short.Err() == nil {
		require.False(t, granted(), "a lease without a quorum")
	}
	err := <-lost
	require.True(t, errors.Is(err, control.ErrUnavailable) || errors.Is(err, voter.ErrOutcomeUnknown), "%v", err)

	for _, process := range processes {
		if process.command.ProcessState != nil {
			process.start(t)
		}
	}
	latest, err := client.Get(ctx, 0)
	require.NoError(t, err)
	if latest.GetNumber() > made.applied { // its outcome was not known, and this voter had it
		require.Equal(t, "without-quorum", latest.GetChangeId())
		response, err := client.Apply(ctx, &v1.ApplyRequest{ChangeId: "back", Text: fmt.Sprintf(smallPolicy, "back"), ExpectedRevision: latest.GetNumber()})
		require.NoError(t, err)
		require.Equal(t, v1.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetResult())
	}
	history, err := client.History(ctx, 100)
	require.NoError(t, err)
	for revision := range made.applied {
		require.Equal(t, fmt.Sprint("change-", revision), history[len(history)-1-int(revision)].GetChangeId())
	}
	require.Eventually(t, granted, testTimeout, 50*time.Millisecond)
}

// securedGroup is a group of three voters that prove themselves by keys.
type securedGroup struct {
	folder    string
	addresses []string
	processes []*voterProcess
}

func startSecuredGroup(t *testing.T) *securedGroup {
	group := &securedGroup{folder: t.TempDir(), addresses: testaddress.List(3)}
	require.NoError(t, keys.Init(group.folder, time.Now()))
	for index, address := range group.addresses {
		id := fmt.Sprint(index + 1)
		arguments := append([]string{"control", "--id", id, "--listen", address, "--data-folder", t.TempDir(),
			"--snapshot-entries", "4"}, group.keysOf(t, "control-"+id, keys.RoleControl)...)
		for other, voter := range group.addresses {
			arguments = append(arguments, "--voter", fmt.Sprintf("%d=%s", other+1, voter))
		}
		process := &voterProcess{arguments: arguments}
		group.processes = append(group.processes, process)
		process.start(t)
		t.Cleanup(func() { process.end(t, syscall.SIGKILL) })
	}
	return group
}

// keysOf issues keys and returns the options that name them.
func (g *securedGroup) keysOf(t *testing.T, name string, role keys.Role) []string {
	require.NoError(t, keys.Issue(g.folder, keys.Request{
		Name: name, Role: role, Lifetime: time.Hour, Addresses: []netip.Addr{testaddress.Host()},
	}, time.Now()))
	return []string{"--tls-authority", filepath.Join(g.folder, keys.AuthorityCertificateFile),
		"--tls-certificate", filepath.Join(g.folder, name+".crt"), "--tls-key", filepath.Join(g.folder, name+".key")}
}

// told is what an operator's command ended with.
type told struct {
	stdout, stderr string
	code           int
}

// TestOperatorsRaceByCommands runs two operators' `config apply` at once with
// equal revision numbers, in every other round while the leader is killed. One
// wins; the other ends with the code for a conflict and is told the winner's
// revision and name. The same commands with their change ids say the same again.
func TestOperatorsRaceByCommands(t *testing.T) {
	t.Parallel()
	group := startSecuredGroup(t)
	operators := []string{"malee", "tomas"}
	options := lo.Map(operators, func(name string, _ int) []string {
		arguments := group.keysOf(t, name, keys.RoleOperator)
		for _, address := range group.addresses {
			arguments = append(arguments, "--control", address)
		}
		return arguments
	})
	folder := t.TempDir()
	for round := range 6 {
		command := func(operator int) []string {
			id := fmt.Sprintf("%d-%s", round, operators[operator])
			file := filepath.Join(folder, id)
			require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, smallPolicy, id), 0o600))
			return append([]string{"config", "apply", file, "--expected", fmt.Sprint(round), "--change-id", id,
				"--timeout", testTimeout.String()}, options[operator]...)
		}
		leader := group.leader(t, options[0])
		first := group.race(t, [][]string{command(0), command(1)}, func() {
			if round%2 == 1 {
				leader.end(t, syscall.SIGKILL)
			}
		})
		if round%2 == 1 {
			leader.start(t)
		}
		winner := lo.Ternary(first[0].code == exitcode.OK, 0, 1)
		loser := 1 - winner
		require.Equal(t, exitcode.OK, first[winner].code, "%+v", first)
		require.Contains(t, first[winner].stdout, fmt.Sprintf("revision %d accepted", round+1))
		require.Equal(t, exitcode.Conflict, first[loser].code, "%+v", first)
		require.Contains(t, first[loser].stderr, fmt.Sprintf("the latest is %d by %s", round+1, operators[winner]))
		again := group.race(t, [][]string{command(0), command(1)}, func() {})
		require.Equal(t, first, again)
	}
}

// race runs commands at once, does something meanwhile, and returns what each
// ended with.
func (g *securedGroup) race(t *testing.T, commands [][]string, meanwhile func()) []told {
	program, err := buildOnce()
	require.NoError(t, err)
	running := make([]*exec.Cmd, len(commands))
	outputs := make([][2]watchedOutput, len(commands))
	for index, arguments := range commands {
		running[index] = exec.Command(program, arguments...)
		running[index].Stdout, running[index].Stderr = &outputs[index][0], &outputs[index][1]
		require.NoError(t, running[index].Start())
	}
	meanwhile()
	answers := make([]told, len(commands))
	for index, command := range running {
		_ = command.Wait() // the exit code tells
		answers[index] = told{outputs[index][0].text.String(), outputs[index][1].text.String(), command.ProcessState.ExitCode()}
	}
	return answers
}

// leader returns the voter that leads.
func (g *securedGroup) leader(t *testing.T, operator []string) *voterProcess {
	stdout, stderr, code := runCommand(t, append([]string{"status", "--timeout", testTimeout.String()}, operator...)...)
	require.Equal(t, exitcode.OK, code, stderr)
	var id int
	_, err := fmt.Sscanf(stdout, "leader %d", &id)
	require.NoError(t, err, stdout)
	return g.processes[id-1]
}
