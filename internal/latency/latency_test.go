package latency

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestQuantileIsAnUpperBoundWithinOneStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		micros := rapid.SliceOfN(rapid.IntRange(0, 5_000_000), 1, 300).Draw(t, "micros")
		quantile := rapid.Float64Range(0.05, 0.99).Draw(t, "quantile")
		histogram := NewHistogram(0)
		now := time.Unix(0, 0)
		for _, sample := range micros {
			histogram.Observe(now, time.Duration(sample)*time.Microsecond)
		}
		slices.Sort(micros)
		rank := min(int(quantile*float64(len(micros))), len(micros)-1)
		exact := time.Duration(micros[rank]) * time.Microsecond
		below := time.Duration(micros[max(rank-1, 0)]) * time.Microsecond
		got := histogram.Quantile(quantile)
		require.GreaterOrEqual(t, got, below)
		require.LessOrEqual(t, got, exact+exact/steps+unit)
	})
}

func TestOldObservationsLoseTheirWeight(t *testing.T) {
	histogram := NewHistogram(time.Second)
	now := time.Unix(0, 0)
	for range 1000 {
		histogram.Observe(now, time.Second)
	}
	now = now.Add(12 * time.Second)
	for range 100 {
		histogram.Observe(now, time.Millisecond)
	}
	require.Less(t, histogram.Quantile(0.95), 2*time.Millisecond)
}

func TestAverageFollowsItsObservations(t *testing.T) {
	var average Average
	now := time.Unix(0, 0)
	average.Observe(now, time.Millisecond)
	require.Equal(t, time.Millisecond, average.Value())
	for range 100 {
		average.Observe(now, 3*time.Millisecond)
	}
	require.InDelta(t, float64(3*time.Millisecond), float64(average.Value()), float64(time.Microsecond))
}
