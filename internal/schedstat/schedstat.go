// Package schedstat measures how long runnable goroutines of this process wait for a processor.
// A process whose work exceeds its share of processor time shows it here before its timers and
// timeouts do.
package schedstat

import (
	"math"
	"runtime/metrics"
	"time"
)

// latencyMetric is the runtime's histogram of the time goroutines spend runnable before they run.
const latencyMetric = "/sched/latencies:seconds"

// Window measures the waits since its last reading. It must be confined to one goroutine.
type Window struct {
	sample [1]metrics.Sample
	counts []uint64
}

// NewWindow returns a window that begins now.
func NewWindow() *Window {
	window := &Window{sample: [1]metrics.Sample{{Name: latencyMetric}}}
	window.Quantile(1)
	return window
}

// Quantile returns a quantile, from 0 to 1, of the waits since the last call, rounded up to the
// runtime's histogram buckets; 0 if there were none.
func (w *Window) Quantile(quantile float64) time.Duration {
	metrics.Read(w.sample[:])
	if w.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := w.sample[0].Value.Float64Histogram()
	added := make([]uint64, len(histogram.Counts))
	total := uint64(0)
	for bucket, count := range histogram.Counts {
		added[bucket] = count
		if bucket < len(w.counts) {
			added[bucket] -= w.counts[bucket]
		}
		total += added[bucket]
	}
	w.counts = append(w.counts[:0], histogram.Counts...)
	return quantileOf(added, histogram.Buckets, total, quantile)
}

// quantileOf returns the upper bound of the bucket that holds a quantile. Bucket b lies between
// bounds b and b+1.
func quantileOf(counts []uint64, bounds []float64, total uint64, quantile float64) time.Duration {
	if total == 0 {
		return 0
	}
	rank, seen := uint64(math.Ceil(quantile*float64(total))), uint64(0)
	for bucket, count := range counts {
		seen += count
		if seen < rank {
			continue
		}
		bound := bounds[bucket+1]
		if math.IsInf(bound, 1) {
			bound = bounds[bucket]
		}
		return time.Duration(bound * float64(time.Second))
	}
	return 0
}
