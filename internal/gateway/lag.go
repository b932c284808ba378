package gateway

import (
	"sync"
	"time"
)

// Bound and decay of the observed lag.
const (
	maxLag   = 25 * time.Millisecond
	lagDecay = 0.03
)

// lag estimates how long after its planned time a step completes, so that the step can be
// started earlier. It follows the slow observations: a longer lag takes effect at once, a
// shorter one decays slowly. The zero value is ready for use.
type lag struct {
	mutex    sync.Mutex
	observed time.Duration
}

// observe records how long after its planned time a step completed.
func (l *lag) observe(delay time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delay = min(delay, maxLag)
	if delay > l.observed {
		l.observed = delay
		return
	}
	l.observed -= time.Duration(lagDecay * float64(l.observed-delay))
}

// margin returns the time to reserve, which is at least a minimum.
func (l *lag) margin(least time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(l.observed, least)
}
