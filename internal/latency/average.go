package latency

import (
	"math"
	"time"
)

// DefaultRecovery is the time constant with which Average forgets.
const DefaultRecovery = time.Second

// Average is a peak-sensitive moving average of durations: a duration above
// it replaces it at once, one below it pulls it down at a rate that depends on
// the time passed (Peak EWMA, as in Finagle's load balancer). The zero value is
// empty. It is not safe for concurrent use.
type Average struct {
	value    float64
	observed time.Time
}

// Observe adds one duration. A recovery of 0 means DefaultRecovery.
func (a *Average) Observe(now time.Time, duration, recovery time.Duration) {
	sample := float64(duration)
	if a.observed.IsZero() || sample >= a.value {
		a.value, a.observed = sample, now
		return
	}
	if recovery <= 0 {
		recovery = DefaultRecovery
	}
	weight := math.Exp(-float64(now.Sub(a.observed)) / float64(recovery))
	a.value = a.value*weight + sample*(1-weight)
	a.observed = now
}

// Reset replaces the average by one duration.
func (a *Average) Reset(now time.Time, duration time.Duration) {
	a.value, a.observed = float64(duration), now
}

// Value returns the average; 0 when empty.
func (a *Average) Value() time.Duration { return time.Duration(a.value) }

// Observed returns the time of the last observation; zero when empty.
func (a *Average) Observed() time.Time { return a.observed }
