package main

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// TestWatchingIsQuietInAPipe watches a site through a pipe: what needs
// attention is printed when it changes, not at every look.
func TestWatchingIsQuietInAPipe(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	voters, client := startVoters(t)
	_, err := client.Status(ctx)
	require.NoError(t, err)
	program, err := buildOnce()
	require.NoError(t, err)
	arguments := []string{"status", "--watch", "--interval", "20ms", "--insecure-plaintext"}
	for _, voter := range voters {
		arguments = append(arguments, "--control", voter.arguments[5])
	}
	command := exec.CommandContext(ctx, program, arguments...)
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	lines := bufio.NewScanner(output)
	var seen []string
	until := func(text string) {
		for lines.Scan() {
			seen = append(seen, lines.Text())
			if strings.Contains(lines.Text(), text) {
				return
			}
		}
		require.Failf(t, "not printed", "%q after %v", text, seen)
	}
	until("no configuration was submitted yet")
	text, err := os.ReadFile("../../deploy/bangkok/bangkok.policy")
	require.NoError(t, err)
	_, err = client.Apply(ctx, &v1.ApplyRequest{ChangeId: "first", Text: string(text)})
	require.NoError(t, err)
	until("revision 1 is accepted")
	require.NoError(t, client.SetDrain(ctx, &v1.SetDrainRequest{Address: "127.1.1.1:7000", Draining: true, ChangeId: "drain"}))
	until("a single live replica of g01")
	require.NoError(t, command.Process.Signal(syscall.SIGINT))
	for lines.Scan() {
		seen = append(seen, lines.Text())
	}
	require.NoError(t, command.Wait())
	// Each state is printed once: its time, and two lines a notice at most.
	require.Less(t, len(seen), 40, "%v", seen)
	require.NotContains(t, strings.Join(seen, "\n"), "\x1b")
}
