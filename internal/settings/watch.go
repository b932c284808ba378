package settings

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// pollInterval is how often Watch reads the settings file, which may change
// without a signal.
const pollInterval = time.Second

// Hangups returns a channel that receives SIGHUP. From the call on, the signal no longer
// terminates the process, which is its default action. A process that reloads settings must
// therefore call Hangups first, before any slow start-up work.
func Hangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// Watch calls changed on each SIGHUP and whenever the content of the file changes, until the
// context is canceled. SIGHUP stays caught after that, because settings may change while a
// planned stop finishes its requests.
func Watch(ctx context.Context, hangups <-chan os.Signal, path string, changed func(reason string)) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastContent, _ := os.ReadFile(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			lastContent, _ = os.ReadFile(path)
			changed("signal")
		case <-ticker.C:
			content, err := os.ReadFile(path)
			if err == nil && !bytes.Equal(content, lastContent) {
				lastContent = content
				changed("file")
			}
		}
	}
}
