// Package wait holds the waits that end early with a context, and the notices
// that end other goroutines' waits.
package wait

import (
	"context"
	"time"

	"github.com/martenstage/martenstage/internal/steadyclock"
)

// For waits for a duration and reports whether it lasted to its end; false
// means that the context ended before. A duration of zero or less needs no wait.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until waits for a moment and reports whether it came; false means that the
// context ended before.
func Until(ctx context.Context, moment time.Time) bool { return For(ctx, steadyclock.Until(moment)) }

// Notify leaves a notice in a channel of capacity one, unless one is there.
func Notify(notice chan<- struct{}) {
	select {
	case notice <- struct{}{}:
	default:
	}
}
