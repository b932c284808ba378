package latency

import "time"

// averageWeight is the weight of one observation in an Average.
const averageWeight = 0.1

// Average is an exponentially weighted moving average of durations. The zero
// value is empty. It is not safe for concurrent use.
type Average struct {
	value      float64
	observedAt time.Time
}

// Observe adds one duration.
func (a *Average) Observe(now time.Time, duration time.Duration) {
	if a.observedAt.IsZero() {
		a.value = float64(duration)
	}
	a.value += averageWeight * (float64(duration) - a.value)
	a.observedAt = now
}

// Reset replaces the average by a single duration.
func (a *Average) Reset(now time.Time, duration time.Duration) {
	a.value, a.observedAt = float64(duration), now
}

// Value returns the average; 0 when empty.
func (a *Average) Value() time.Duration { return time.Duration(a.value) }

// Observed returns the time of the last observation; zero when empty.
func (a *Average) Observed() time.Time { return a.observedAt }
