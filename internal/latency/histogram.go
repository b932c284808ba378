// Package latency estimates the duration of attempts: a decaying histogram for quantiles per
// shard, and a moving average per replica. Both are small enough to be kept for every shard
// and server that a router uses, and both take the time as an argument.
package latency

import (
	"math"
	"math/bits"
	"time"
)

// The buckets are those of an HDR histogram with eight linear steps per power of two: a
// quantile is at most 1/8 too high. They start at 2^stepBits units and cover up to a minute.
const (
	unit        = 16 * time.Microsecond
	stepBits    = 3
	steps       = 1 << stepBits
	powers      = 20
	bucketCount = steps * powers
)

// DefaultHalfLife is the time in which an observation loses half its weight.
const DefaultHalfLife = 10 * time.Second

// quantileRefreshInterval is the number of observations after which a cached quantile is
// recomputed.
const quantileRefreshInterval = 32

// Histogram is a histogram of durations whose observations lose weight with age. It is not
// safe for concurrent use.
type Histogram struct {
	halfLife  time.Duration
	decayedAt time.Time
	total     float32
	buckets   [bucketCount]float32
	cached    [cachedQuantileCount]cachedQuantile
	nextSlot  int
}

// cachedQuantileCount is how many different quantiles are cached.
const cachedQuantileCount = 4

type cachedQuantile struct {
	quantile  float64
	value     time.Duration
	remaining int
}

// NewHistogram returns an empty histogram. A half-life of 0 means
// DefaultHalfLife.
func NewHistogram(halfLife time.Duration) *Histogram {
	if halfLife <= 0 {
		halfLife = DefaultHalfLife
	}
	return &Histogram{halfLife: halfLife}
}

// Observe adds one duration. A cancelled attempt is added with its age at that moment: it took
// at least as long, so that quantiles below that age stay right although its true duration is
// never known.
func (h *Histogram) Observe(now time.Time, duration time.Duration) {
	h.decay(now)
	h.buckets[bucketOf(duration)]++
	h.total++
	for index := range h.cached {
		h.cached[index].remaining--
	}
}

// Count returns the total weight of the observations: their number, less decay.
func (h *Histogram) Count() float64 { return float64(h.total) }

// Quantile returns an upper bound of the quantile in (0,1), or 0 without observations. The
// value may be cached and omit the most recent observations.
func (h *Histogram) Quantile(quantile float64) time.Duration {
	if h.total <= 0 {
		return 0
	}
	slot := -1
	for index := range h.cached {
		if h.cached[index].quantile == quantile {
			slot = index
			break
		}
	}
	if slot >= 0 && h.cached[slot].remaining > 0 {
		return h.cached[slot].value
	}
	if slot < 0 {
		slot = h.nextSlot
		h.nextSlot = (h.nextSlot + 1) % cachedQuantileCount
	}
	h.cached[slot] = cachedQuantile{quantile: quantile, value: h.compute(quantile), remaining: quantileRefreshInterval}
	return h.cached[slot].value
}

func (h *Histogram) compute(quantile float64) time.Duration {
	rank := float32(quantile) * h.total
	var sum float32
	for index, weight := range h.buckets {
		sum += weight
		if sum >= rank && weight > 0 {
			return bucketUpperBound(index)
		}
	}
	return bucketUpperBound(bucketCount - 1)
}

// decay halves the weights once per elapsed half-life. Its cost is thereby spread over all
// observations in between.
func (h *Histogram) decay(now time.Time) {
	if h.decayedAt.IsZero() {
		h.decayedAt = now
		return
	}
	periods := now.Sub(h.decayedAt) / h.halfLife
	if periods <= 0 {
		return
	}
	h.decayedAt = h.decayedAt.Add(periods * h.halfLife)
	factor := float32(math.Exp2(-float64(periods)))
	h.total = 0
	for index := range h.buckets {
		h.buckets[index] *= factor
		h.total += h.buckets[index]
	}
	h.cached = [cachedQuantileCount]cachedQuantile{}
}

func bucketOf(duration time.Duration) int {
	units := uint64(max(duration, 0) / unit)
	if units < steps {
		return int(units)
	}
	power := bits.Len64(units) - stepBits
	index := power*steps + int(units>>(power-1)) - steps
	return min(index, bucketCount-1)
}

func bucketUpperBound(index int) time.Duration {
	power, step := index/steps, index%steps
	if power == 0 {
		return time.Duration(step+1) * unit
	}
	return time.Duration((steps+step+1)<<(power-1)) * unit
}
