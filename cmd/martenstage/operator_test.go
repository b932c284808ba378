package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
)

// runCommand runs the program and returns what it printed and its exit code.
func runCommand(t *testing.T, arguments ...string) (stdout, stderr string, code int) {
	program, err := buildOnce()
	require.NoError(t, err)
	command := exec.Command(program, arguments...)
	var output, problems bytes.Buffer
	command.Stdout, command.Stderr = &output, &problems
	err = command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		require.NoError(t, err)
	}
	return output.String(), problems.String(), command.ProcessState.ExitCode()
}

// TestOperatorCommands walks through the commands of an operator against three
// voters.
func TestOperatorCommands(t *testing.T) {
	t.Parallel()
	processes, _ := startVoters(t)
	voters := []string{"--insecure-plaintext"}
	for _, process := range processes {
		voters = append(voters, "--control", process.arguments[5])
	}
	run := func(want int, arguments ...string) (stdout, stderr string) {
		t.Helper()
		stdout, stderr, code := runCommand(t, append(arguments, voters...)...)
		require.Equal(t, want, code, "%v: %s%s", arguments, stdout, stderr)
		return stdout, stderr
	}
	base, err := os.ReadFile("../../deploy/bangkok/bangkok.policy")
	require.NoError(t, err)
	first := filepath.Join(t.TempDir(), "first.policy")
	second := filepath.Join(t.TempDir(), "second.policy")
	broken := filepath.Join(t.TempDir(), "broken.policy")
	require.NoError(t, os.WriteFile(first, base, 0o600))
	require.NoError(t, os.WriteFile(second, bytes.Replace(base, []byte("slots 5"), []byte("slots 6"), 1), 0o600))
	require.NoError(t, os.WriteFile(broken, []byte("service {"), 0o600))

	stdout, _ := run(exitcode.OK, "config", "apply", first, "--dry-run")
	require.Contains(t, stdout, "compared with revision 0; nothing was submitted")
	require.Contains(t, stdout, "service seat-finder added")
	stdout, _ = run(exitcode.OK, "config", "apply", first, "--comment", "the first")
	require.Contains(t, stdout, "revision 1 accepted")
	_, stderr := run(exitcode.Conflict, "config", "apply", second, "--expected", "0")
	require.Contains(t, stderr, "the latest is 1 by "+author())
	_, stderr = run(exitcode.Failure, "config", "apply", broken)
	require.Contains(t, stderr, "configuration:1:")
	stdout, _ = run(exitcode.OK, "config", "apply", second, "--dry-run")
	require.Contains(t, stdout, "compared with revision 1; nothing was submitted")
	require.Contains(t, stdout, "service seat-finder changed")
	require.Contains(t, stdout, "routes: quick-pick")
	require.Regexp(t, `touches 1 service.*16 replicas, 1 route.*connections`, stdout)
	_, stderr = run(exitcode.Conflict, "config", "apply", second, "--dry-run", "--expected", "0")
	require.Contains(t, stderr, "it would be refused: it expects revision 0, the latest is 1 by "+author())
	_, stderr = run(exitcode.Failure, "config", "apply", broken, "--dry-run")
	require.Contains(t, stderr, "broken.policy:1:")
	run(exitcode.OK, "config", "apply", second, "--change-id", "same")
	stdout, _ = run(exitcode.OK, "config", "apply", second, "--change-id", "same")
	require.Contains(t, stdout, "revision 2 accepted")
	stdout, _ = run(exitcode.OK, "config", "diff", "1", "2")
	require.Contains(t, stdout, "seat-finder")
	stdout, _ = run(exitcode.OK, "config", "rollback", "1", "--dry-run")
	require.Contains(t, stdout, "compared with revision 2; nothing was submitted")
	require.Contains(t, stdout, "service seat-finder changed")
	stdout, _ = run(exitcode.OK, "config", "history")
	require.NotContains(t, stdout, "rollback", "a dry run submits nothing")
	stdout, _ = run(exitcode.OK, "config", "rollback", "1", "--wait")
	require.Contains(t, stdout, "revision 3 in force everywhere")
	stdout, _ = run(exitcode.OK, "config", "get")
	require.Equal(t, string(base), stdout)
	stdout, _ = run(exitcode.OK, "config", "history")
	require.Contains(t, stdout, "(rollback to 1)")
	stdout, stderr, code := runCommand(t, append([]string{"config", "lint", "--revision", "2"}, voters...)...)
	linted, _, lintCode := runCommand(t, "policy", "lint", second)
	require.Equal(t, lintCode, code, stderr)
	if code == exitcode.OK {
		require.Equal(t, "revision 2: no warnings\n", stdout)
	} else {
		require.Equal(t, linted, stdout)
	}
	run(exitcode.OK, "drain", "127.1.1.1:7000")
	stdout, _ = run(exitcode.OK, "status")
	require.Contains(t, stdout, "leaving")
	run(exitcode.OK, "undrain", "127.1.1.1:7000")

	stdout, _ = run(exitcode.OK, "events", "--since", "1h", "--json")
	kinds := map[string]bool{}
	for line := range strings.Lines(stdout) {
		var event eventLine
		require.NoError(t, json.Unmarshal([]byte(line), &event))
		kinds[event.Kind] = true
	}
	for _, kind := range []string{"change_accepted", "change_refused", "drain_begun", "drain_done"} {
		require.True(t, kinds[kind], kind)
	}
}

// TestNoControlAnswers checks the exit code when nobody listens.
func TestNoControlAnswers(t *testing.T) {
	t.Parallel()
	address := testaddress.Next().String()
	_, stderr, code := runCommand(t, "config", "get", "--insecure-plaintext", "--timeout", "300ms", "--control", address)
	require.Equal(t, exitcode.Unavailable, code, stderr)
	_, stderr, code = runCommand(t, "drain", "127.0.0.1:1", "--insecure-plaintext", "--timeout", "300ms", "--control", address)
	require.Equal(t, exitcode.Unavailable, code, stderr)
	require.NotContains(t, stderr, "not known whether", "nothing was sent")
}

// TestEveryAddressIsNamed calls two addresses at which nobody listens. In a pipe
// the error is the only line.
func TestEveryAddressIsNamed(t *testing.T) {
	t.Parallel()
	_, stderr, code := runCommand(t, "config", "get", "--insecure-plaintext", "--timeout", "300ms",
		"--control", "127.0.0.1:1", "--control", "127.0.0.1:2")
	require.Equal(t, exitcode.Unavailable, code, stderr)
	require.Equal(t, 1, strings.Count(stderr, "\n"), stderr)
	for _, address := range []string{"127.0.0.1:1: ", "127.0.0.1:2: "} {
		require.Contains(t, stderr, address+"connect: connection refused")
	}
}

// TestForeignCertificateEndsACommand calls a control with the keys of another
// site. The command must not wait for its timeout, which is the test's.
func TestForeignCertificateEndsACommand(t *testing.T) {
	t.Parallel()
	site, foreign := t.TempDir(), t.TempDir()
	for folder, names := range map[string][][]string{
		site: {{"control-1", "--role", "control"}}, foreign: {{"malee", "--role", "operator"}},
	} {
		_, stderr, code := runCommand(t, "keys", "init", "--folder", folder)
		require.Equal(t, exitcode.OK, code, stderr)
		for _, name := range names {
			_, stderr, code = runCommand(t, append([]string{"keys", "issue", "--folder", folder, "--address", testaddress.Host().String(), "--name"}, name...)...)
			require.Equal(t, exitcode.OK, code, stderr)
		}
	}
	keysIn := func(folder, name string) []string {
		return []string{"--tls-authority", filepath.Join(folder, "authority.crt"),
			"--tls-certificate", filepath.Join(folder, name+".crt"), "--tls-key", filepath.Join(folder, name+".key")}
	}
	address := testaddress.Next().String()
	process := &voterProcess{arguments: append([]string{"control", "--id", "1", "--listen", address,
		"--voter", "1=" + address, "--data-folder", t.TempDir()}, keysIn(site, "control-1")...)}
	process.start(t)
	t.Cleanup(func() { process.end(t, syscall.SIGKILL) })
	_, stderr, code := runCommand(t, append([]string{"config", "get", "--control", address, "--timeout", testTimeout.String()},
		keysIn(foreign, "malee")...)...)
	require.Equal(t, exitcode.Settings, code, stderr)
	require.Contains(t, stderr, address+": its certificate is not of this site")
}

// TestTextInAnotherEncodingIsRefusedAtOnce applies a file that is not UTF-8. No
// control is needed to refuse it, and no doubt is left.
func TestTextInAnotherEncodingIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "latin.policy")
	require.NoError(t, os.WriteFile(file, []byte("# ma\xf1ana\n"), 0o600))
	address := testaddress.Next().String()
	_, stderr, code := runCommand(t, "config", "apply", file, "--insecure-plaintext", "--control", address)
	require.Equal(t, exitcode.Failure, code, stderr)
	require.Contains(t, stderr, "configuration:1:1: the line is not valid UTF-8")
}

// TestParseSince reads every form of a time.
func TestParseSince(t *testing.T) {
	t.Parallel()
	now := time.Date(2026, 3, 2, 7, 30, 0, 0, time.UTC)
	for text, want := range map[string]time.Time{
		"07:00":                     time.Date(2026, 3, 2, 7, 0, 0, 0, time.UTC),
		"18:00":                     time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC),
		"12h":                       time.Date(2026, 3, 1, 19, 30, 0, 0, time.UTC),
		"2026-03-01T18:00:00+07:00": time.Date(2026, 3, 1, 11, 0, 0, 0, time.UTC),
	} {
		since, err := parseSince(text, now)
		require.NoError(t, err, text)
		require.True(t, want.Equal(since), "%s: %s", text, since)
	}
	_, err := parseSince("yesterday", now)
	require.Error(t, err)
}
