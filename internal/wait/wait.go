// Package wait provides waits that a context can cancel, and notifications for
// waiting goroutines.
package wait

import (
	"context"
	"time"

	"github.com/martenstage/martenstage/internal/steadyclock"
)

// For waits for a duration and reports whether it elapsed; false means that the
// context was canceled first. For a duration of zero or less it does not wait and
// reports whether the context is still valid.
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

// Until waits until a time on the clock of package steadyclock and reports whether
// it was reached; false means that the context was canceled first.
func Until(ctx context.Context, moment time.Time) bool { return For(ctx, steadyclock.Until(moment)) }

// Notify sends a notification to a channel of capacity one without blocking. If
// one is already pending, it does nothing.
func Notify(notice chan<- struct{}) {
	select {
	case notice <- struct{}{}:
	default:
	}
}
