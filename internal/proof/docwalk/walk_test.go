package docwalk

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	root = "../../.."
	// walkLimit bounds the walk through one page.
	walkLimit = 60 * time.Second
	// pagesNetwork is the loopback network that pages use.
	pagesNetwork = "127.0.10."
)

// block is a fenced block of a page.
type block struct {
	info  string
	text  string
	line  int
	wants []string
}

// readBlocks returns the blocks to run with what their output must contain.
func readBlocks(t *testing.T, text string) []block {
	var blocks []block
	var current *block
	for number, line := range strings.Split(text, "\n") {
		info, fence := strings.CutPrefix(line, "```")
		switch {
		case fence && current == nil:
			current = &block{info: info, line: number + 1}
		case fence:
			switch current.info {
			case "sh walk":
				blocks = append(blocks, *current)
			case "text walk":
				require.NotEmpty(t, blocks, "line %d: output before any command", current.line)
				blocks[len(blocks)-1].wants = strings.Split(strings.TrimSuffix(current.text, "\n"), "\n")
			}
			current = nil
		case current != nil:
			current.text += line + "\n"
		}
	}
	require.Nil(t, current, "a fence is not closed")
	return blocks
}

// pages returns the Markdown pages of the project.
func pages(t *testing.T) []string {
	var found []string
	for _, top := range []string{"README.md", "CONTRIBUTING.md", "CHANGELOG.md", "docs", "deploy"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, _ fs.DirEntry, err error) error {
			if strings.HasSuffix(path, ".md") && err == nil {
				found = append(found, path)
			}
			return nil
		})
		require.NoError(t, err)
	}
	require.NotEmpty(t, found)
	return found
}

// TestPagesWork runs the marked commands of every page.
func TestPagesWork(t *testing.T) {
	programs := t.TempDir()
	output, err := exec.Command("go", "build", "-o", programs+"/", root+"/cmd/...").CombinedOutput()
	require.NoError(t, err, "%s", output)
	walked := 0
	for _, path := range pages(t) {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		// Walks that run at the same time must not meet.
		network := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(120), 100+rand.IntN(150))
		blocks := readBlocks(t, strings.ReplaceAll(string(text), pagesNetwork, network))
		if len(blocks) == 0 {
			continue
		}
		walked++
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			session := startSession(t, programs)
			for _, block := range blocks {
				session.run(t, block)
			}
		})
	}
	require.Positive(t, walked)
}

// session is a bash session in an empty folder.
type session struct {
	folder string
	input  io.Writer
	output *bufio.Reader
}

func startSession(t *testing.T, programs string) *session {
	ctx, cancel := context.WithTimeout(context.Background(), walkLimit)
	t.Cleanup(cancel)
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	command := exec.CommandContext(ctx, "bash", "--noprofile", "--norc")
	command.Dir = t.TempDir()
	command.Env = []string{"PATH=" + programs + ":" + os.Getenv("PATH"), "HOME=" + command.Dir, "USER=reader", "LC_ALL=C"}
	command.Stdout, command.Stderr = writer, writer
	// A group of its own, so that what the page starts ends with the walk.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	endAll := func() error { return syscall.Kill(-command.Process.Pid, syscall.SIGKILL) }
	command.Cancel = endAll
	input, err := command.StdinPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	require.NoError(t, writer.Close())
	t.Cleanup(func() {
		_ = endAll() // nothing is left of a page that stops what it starts
		_ = command.Wait()
		_ = reader.Close()
	})
	_, err = io.WriteString(input, "set -eu -o pipefail\n")
	require.NoError(t, err)
	return &session{folder: command.Dir, input: input, output: bufio.NewReader(reader)}
}

// run runs a block and checks its output.
func (s *session) run(t *testing.T, block block) {
	file := filepath.Join(t.TempDir(), "block.sh")
	require.NoError(t, os.WriteFile(file, []byte(block.text), 0o600))
	done := fmt.Sprintf("block of line %d is done", block.line)
	_, err := fmt.Fprintf(s.input, ". %s\necho '%s'\n", file, done)
	require.NoError(t, err)
	var output strings.Builder
	for {
		line, err := s.output.ReadString('\n')
		if err != nil {
			require.Failf(t, "the session ended", "in the block of line %d:\n%s\n%s%s\n%s", block.line, block.text, &output, line, s.logs())
		}
		if line == done+"\n" {
			break
		}
		output.WriteString(line)
	}
	rest := output.String()
	for _, want := range block.wants {
		_, after, found := strings.Cut(rest, want)
		require.True(t, found, "line %d: the output of\n%s\nlacks %q in:\n%s", block.line, block.text, want, &output)
		rest = after
	}
}

// logs returns the ends of the logs that the page wrote.
func (s *session) logs() string {
	const longest = 2000
	var text strings.Builder
	names, _ := filepath.Glob(filepath.Join(s.folder, "*", "*.log"))
	for _, name := range names {
		log, _ := os.ReadFile(name)
		fmt.Fprintf(&text, "== %s\n%s\n", filepath.Base(name), log[max(0, len(log)-longest):])
	}
	return text.String()
}
