package evacuation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/evacuation"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const duration = 2 * time.Second

// countEvacuated counts the services of a zone, out of 200, whose servers get no requests.
func countEvacuated(view evacuation.View, now time.Time, zone string) int {
	count := 0
	for number := range 200 {
		if view.Evacuated(now, zone, fmt.Sprint("service-", number)) {
			count++
		}
	}
	return count
}

func TestServicesLeaveGradually(t *testing.T) {
	view := evacuation.View{}.Update(origin, []string{"a"}, duration)
	require.InDelta(t, 0, countEvacuated(view, origin, "a"), 3)
	require.InDelta(t, 100, countEvacuated(view, origin.Add(duration/2), "a"), 30)
	require.Equal(t, 200, countEvacuated(view, origin.Add(duration), "a"))
	require.Zero(t, countEvacuated(view, origin.Add(time.Hour), "b"))
	require.True(t, view.Moving(origin))
	require.False(t, view.Moving(origin.Add(duration)))
	require.Equal(t, []string{"a"}, view.Zones())
}

func TestServicesReturnGradually(t *testing.T) {
	view := evacuation.View{}.Update(origin, []string{"a"}, 0)
	require.Equal(t, 200, countEvacuated(view, origin, "a"))
	ended := origin.Add(time.Minute)
	view = view.Update(ended, nil, duration)
	require.InDelta(t, 200, countEvacuated(view, ended, "a"), 3)
	require.InDelta(t, 100, countEvacuated(view, ended.Add(duration/2), "a"), 30)
	require.Zero(t, countEvacuated(view, ended.Add(duration), "a"))
	require.Empty(t, view.Zones())
}

func TestOrderReversedDuringTransitionAppliesAtOnce(t *testing.T) {
	view := evacuation.View{}.Update(origin, []string{"a"}, duration)
	view = view.Update(origin.Add(duration/2), nil, duration)
	require.Zero(t, countEvacuated(view, origin.Add(duration/2), "a"))
	view = view.Update(origin.Add(duration), []string{"a"}, 0)
	view = view.Update(origin.Add(2*duration), nil, duration)
	view = view.Update(origin.Add(5*duration/2), []string{"a"}, duration)
	require.Equal(t, 200, countEvacuated(view, origin.Add(5*duration/2), "a"))
}

// TestViewMatchesTheLastOrderOnceTransitionsEnd draws sequences of orders: at the latest when
// the transition time has passed, the view must agree with the last order.
func TestViewMatchesTheLastOrderOnceTransitionsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view, now := evacuation.View{}, origin
		for range rapid.IntRange(1, 12).Draw(t, "orders") {
			zones := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID).Draw(t, "zones")
			view = view.Update(now, zones, duration)
			settled := now.Add(duration)
			for _, zone := range []string{"a", "b", "c"} {
				want := 0
				for _, evacuated := range zones {
					if evacuated == zone {
						want = 200
					}
				}
				require.Equal(t, want, countEvacuated(view, settled, zone), zone)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		}
	})
}
