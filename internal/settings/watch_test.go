package settings_test

import (
	"context"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/settings"
)

// TestHangupDoesNotTerminateStoppingProcess sends SIGHUP after the context is canceled, as
// when settings change during a planned stop. The signal must not terminate the process
// before the stop is complete.
func TestHangupDoesNotTerminateStoppingProcess(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		settings.Watch(ctx, settings.Hangups(), filepath.Join(t.TempDir(), "none"), func(string) {})
	}()
	cancel()
	<-watched
	require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
}
