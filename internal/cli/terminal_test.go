package cli

import (
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProgressWritesNothingToPipe checks that no progress is written if the output
// is not a terminal.
func TestProgressWritesNothingToPipe(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	require.False(t, IsTerminal(writer))
	synctest.Test(t, func(t *testing.T) {
		done := Working(writer, "work")
		time.Sleep(3 * progressInterval)
		done()
	})
	progress := NewProgress(writer)
	progress.Show("work")
	progress.Done()
	require.NoError(t, writer.Close())
	text, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Empty(t, string(text))
}
