package main

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/cli"
	"github.com/martenstage/martenstage/internal/exitcode"
)

// TestExamplesParse checks that every command has an example and that the
// parser takes each of them.
func TestExamplesParse(t *testing.T) {
	t.Setenv("MARTENSTAGE_CONTROL", "127.0.0.1:1")
	var check func(commands []cli.Command, path string)
	check = func(commands []cli.Command, path string) {
		for _, command := range commands {
			here := strings.TrimSpace(path + " " + command.Name)
			check(command.Children, here)
			if len(command.Children) > 0 {
				continue
			}
			require.NotEmpty(t, command.Examples, "%s has no example", here)
			for _, example := range command.Examples {
				words, program := exampleWords(example)
				if !program {
					continue
				}
				require.NoError(t, cli.Parse("martenstage", commandTree(), words), example)
				require.True(t, strings.HasPrefix(strings.Join(words, " "), here), "%q is not of %s", example, here)
			}
		}
	}
	check(commandTree(), "")
}

// exampleWords returns the arguments in an example of this program.
func exampleWords(example string) (words []string, program bool) {
	example, _, _ = strings.Cut(example, " > ")
	fields := strings.Fields(example)
	if fields[0] != "martenstage" {
		return nil, false
	}
	quoted := false
	for _, field := range fields[1:] {
		if quoted {
			words[len(words)-1] += " " + field
		} else {
			words = append(words, field)
		}
		if strings.Count(field, `"`) == 1 {
			quoted = !quoted
		}
	}
	return words, true
}

// TestMistypedWords checks hints and exit codes.
func TestMistypedWords(t *testing.T) {
	t.Parallel()
	_, err := buildOnce()
	require.NoError(t, err)
	cases := map[string]struct {
		arguments []string
		want      string
	}{
		"command":       {[]string{"stauts"}, "did you mean `status'?"},
		"sub-command":   {[]string{"config", "histroy"}, "did you mean `history'?"},
		"option":        {[]string{"status", "--contrl", "127.0.0.1:1"}, "did you mean `--control'?\nRun 'martenstage status --help' for usage."},
		"nowhere":       {[]string{"status"}, "--control is also read from the environment variable MARTENSTAGE_CONTROL"},
		"extra word":    {[]string{"status", "--insecure-plaintext", "--control", "127.0.0.1:1", "now"}, `unexpected argument "now"`},
		"drain by name": {[]string{"drain", "seat-finder:7000", "--insecure-plaintext", "--control", "127.0.0.1:1"}, "host names are not accepted"},
		"revision":      {[]string{"config", "rollback", "abc", "--insecure-plaintext", "--control", "127.0.0.1:1"}, "an argument can't be read"},
		"shell":         {[]string{"completion", "tcsh"}, "bash, zsh and fish"},
	}
	for name, mistyped := range cases {
		t.Run(name, func(t *testing.T) {
			_, stderr, code := runCommand(t, mistyped.arguments...)
			require.Equal(t, exitcode.Usage, code, stderr)
			require.Contains(t, stderr, mistyped.want)
		})
	}
	stdout, _, code := runCommand(t, "config", "apply", "--help")
	require.Equal(t, exitcode.OK, code)
	require.Contains(t, stdout, "Examples:\n  martenstage config apply")
}

// TestCompletion lets a shell complete words by the printed script.
func TestCompletion(t *testing.T) {
	t.Parallel()
	program, err := buildOnce()
	require.NoError(t, err)
	complete := func(words ...string) []string {
		script := `source <("$0" completion bash); COMP_WORDS=("$0" "$@"); COMP_CWORD=$#; _martenstage; printf '%s\n' "${COMPREPLY[@]}"`
		output, err := exec.Command("bash", append([]string{"-c", script, program}, words...)...).CombinedOutput()
		require.NoError(t, err, "%s", output)
		return strings.Fields(string(output))
	}
	require.Equal(t, []string{"status"}, complete("sta"))
	require.Equal(t, []string{"history"}, complete("config", "hi"))
	require.Equal(t, []string{"--wait", "--wait-timeout"}, complete("config", "apply", "--wai"))
	require.Empty(t, complete("policy", "check", ""))
}
