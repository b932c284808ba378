package schedstat

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestQuantileIsTheUpperBoundOfItsBucket(t *testing.T) {
	bounds := []float64{0, 0.001, 0.01, 0.1, math.Inf(1)}
	counts := []uint64{90, 9, 1, 0}
	require.Equal(t, time.Millisecond, quantileOf(counts, bounds, 100, 0.5))
	require.Equal(t, 10*time.Millisecond, quantileOf(counts, bounds, 100, 0.99))
	require.Equal(t, 100*time.Millisecond, quantileOf(counts, bounds, 100, 1))
	require.Equal(t, 100*time.Millisecond, quantileOf([]uint64{0, 0, 0, 3}, bounds, 3, 1), "the last bucket has no upper bound")
	require.Zero(t, quantileOf([]uint64{0, 0, 0, 0}, bounds, 0, 0.99))
}

func TestWindowCountsOnlyWaitsSinceTheLastReading(t *testing.T) {
	window := NewWindow()
	before := window.counts
	done := make(chan struct{})
	for range 100 {
		go func() { done <- struct{}{} }()
	}
	for range 100 {
		<-done
	}
	require.Len(t, before, len(window.counts))
	require.Positive(t, window.Quantile(1))
}
