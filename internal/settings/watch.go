package settings

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// watchInterval is how often a settings file is looked at: it may change without
// a signal.
const watchInterval = time.Second

// Hangups tells of SIGHUPs from the call on, none of which ends the process any more: a
// process that does not catch the signal is ended by it. So it comes first of all in a process
// whose settings may change, before what takes time to start.
func Hangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// Watch calls changed after a hangup and when the content of the file is another, until the
// context ends. Hangups after that are caught as well: settings may change while a planned
// stop finishes what was begun.
func Watch(ctx context.Context, hangups <-chan os.Signal, path string, changed func(reason string)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	known, _ := os.ReadFile(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			known, _ = os.ReadFile(path)
			changed("signal")
		case <-ticker.C:
			content, err := os.ReadFile(path)
			if err == nil && !bytes.Equal(content, known) {
				known = content
				changed("file")
			}
		}
	}
}
