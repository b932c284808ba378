package cli

import (
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProgressIsQuietInAPipe checks that nothing is written where nobody looks.
func TestProgressIsQuietInAPipe(t *testing.T) {
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
