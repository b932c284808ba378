package admission

import (
	"math"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMaxMinLevels(t *testing.T) {
	for name, test := range map[string]struct {
		demands, weights []float64
		room, level      float64
	}{
		"all fit":            {demands: []float64{1, 2, 3}, room: 6, level: math.Inf(1)},
		"none":               {room: 1, level: math.Inf(1)},
		"one above":          {demands: []float64{1, 2, 10}, room: 6, level: 3},
		"all above":          {demands: []float64{5, 5, 5}, room: 6, level: 2},
		"weighted":           {demands: []float64{10, 10}, weights: []float64{1, 3}, room: 8, level: 2},
		"weighted, one fits": {demands: []float64{10, 3}, weights: []float64{1, 3}, room: 8, level: 5},
		"no room":            {demands: []float64{1, 2}, room: 0, level: 0},
		"negative room":      {demands: []float64{1, 2}, room: -1, level: 0},
	} {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, test.level, MaxMin(test.demands, test.weights, test.room), 1e-9)
		})
	}
}

// Guards against room that stays free while a demand is cut, and against an allocation above the
// level while another demand below it is cut.
func TestMaxMinUsesAllRoomAndFavoursNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 50).Draw(t, "demands")
		weights := rapid.SliceOfN(rapid.Float64Range(0.1, 100), len(demands), len(demands)).Draw(t, "weights")
		room := rapid.Float64Range(0, 20000).Draw(t, "room")
		level := MaxMin(demands, weights, room)
		total := 0.0
		for index, demand := range demands {
			total += min(demand, level*weights[index])
		}
		require.InDelta(t, min(room, lo.Sum(demands)), total, 1e-6, "all room is used, or all demands are met")
	})
}

// Guards against a tenant within its share losing room to the tenant that exceeds its own.
func TestMaxMinDoesNotDependOnTheExcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(1, 1000), 2, 50).Draw(t, "demands")
		room := rapid.Float64Range(1, 20000).Draw(t, "room")
		hot := rapid.IntRange(0, len(demands)-1).Draw(t, "hot")
		level := MaxMin(demands, nil, room)
		if demands[hot] <= level {
			return
		}
		demands[hot] *= rapid.Float64Range(1, 10).Draw(t, "factor")
		require.InDelta(t, level, MaxMin(demands, nil, room), 1e-6)
	})
}
