package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAHangupWhileADirectoryNodeStartsDoesNotEndIt sends SIGHUP while a node opens its data
// folder: a FIFO in place of a settings file keeps it before its duties begin. The process was
// ended by it, since SIGHUP was caught only once all listeners stood; found by reading, while
// signals were added to the soak.
func TestAHangupWhileADirectoryNodeStartsDoesNotEndIt(t *testing.T) {
	folder := t.TempDir()
	settings := filepath.Join(folder, "settings.yaml")
	require.NoError(t, syscall.Mkfifo(settings, 0o600))
	log, err := os.Create(filepath.Join(folder, "log"))
	require.NoError(t, err)
	process := &soakProcess{name: "d", log: log, arguments: []string{"directory", "--settings", settings}}
	process.start(t)
	t.Cleanup(process.kill)
	// The FIFO can be opened for writing once the process reads its settings.
	writer, err := os.OpenFile(settings, os.O_WRONLY, 0)
	require.NoError(t, err)
	process.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	select {
	case <-process.ended:
		require.Fail(t, "the process has ended")
	default:
	}
	require.NoError(t, writer.Close())
}
