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

// Watch calls changed after SIGHUP and when the content of the file is another,
// until the context ends. From its call on, SIGHUP does not end the process, also not
// once the context has ended: settings may change while a planned stop finishes what
// was begun.
func Watch(ctx context.Context, path string, changed func(reason string)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
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
