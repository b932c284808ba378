package gateway

import (
	"sync"
	"time"
)

// Bounds and weight of what is learned about delays.
const (
	longestLag = 25 * time.Millisecond
	lagDecay   = 0.03
)

// lag is how much time a step takes after the moment that it was planned for, so
// that it is begun that much earlier. It follows the slow ones: a longer lag
// counts at once, a shorter one little. The zero value is ready for use.
type lag struct {
	mutex    sync.Mutex
	observed time.Duration
}

// observe takes in how long after its time a step was done.
func (l *lag) observe(took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	took = min(took, longestLag)
	if took > l.observed {
		l.observed = took
		return
	}
	l.observed -= time.Duration(lagDecay * float64(l.observed-took))
}

// margin returns the time to keep, at least a number.
func (l *lag) margin(least time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(l.observed, least)
}
