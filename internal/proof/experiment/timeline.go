package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/martenstage/martenstage/internal/records"
)

// timeline sums answers up per second of the run and route.
type timeline struct {
	begin  time.Time
	routes map[string][]*second
}

// second is the sums of one second.
type second struct {
	latency *hdrhistogram.Histogram
	covered int
	targets int
}

func newTimeline(begin time.Time) *timeline {
	return &timeline{begin: begin, routes: map[string][]*second{}}
}

func (t *timeline) add(answer *records.CallerAnswer) {
	const highestUs, digits = 60_000_000, 2
	index := max(0, int(answer.Intended.Sub(t.begin)/time.Second))
	seconds := t.routes[answer.Route]
	for len(seconds) <= index {
		seconds = append(seconds, &second{latency: hdrhistogram.New(1, highestUs, digits)})
	}
	t.routes[answer.Route] = seconds
	targets := len(answer.Covered) + len(answer.Missing)
	if targets == 0 {
		return // refused
	}
	latency := answer.Received.Sub(answer.Intended).Microseconds()
	_ = seconds[index].latency.RecordValue(min(max(latency, 1), highestUs))
	seconds[index].covered += len(answer.Covered)
	seconds[index].targets += targets
}

// p99Ms returns the 99th percentile of a second, in milliseconds.
func (s *second) p99Ms() float64 {
	const percentile, microsecondsPerMs = 99, 1000
	return float64(s.latency.ValueAtPercentile(percentile)) / microsecondsPerMs
}

func (s *second) coverage() float64 {
	if s.targets == 0 {
		return 1
	}
	return float64(s.covered) / float64(s.targets)
}
