package logging

import (
	"sync"
	"time"
)

// maxLinesPerSecond limits the lines of one kind. A few are enough to show a condition, while the
// failure of a zone would otherwise flood the log.
const maxLinesPerSecond = 20

// LineLimit limits the rate of log lines of one kind. It is safe for concurrent use.
type LineLimit struct {
	mutex       sync.Mutex
	windowStart time.Time
	written     int
	// suppressed is the number of lines suppressed since the last one written.
	suppressed int
}

// Allow reports whether a line may be written, and how many were suppressed before it.
func (l *LineLimit) Allow(now time.Time) (dropped int, allowed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.written = now, 0
	}
	if l.written >= maxLinesPerSecond {
		l.suppressed++
		return 0, false
	}
	l.written++
	dropped, l.suppressed = l.suppressed, 0
	return dropped, true
}
