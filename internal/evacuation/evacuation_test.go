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

const over = 2 * time.Second

// emptied counts the services of a zone, out of 200, whose servers get nothing.
func emptied(view evacuation.View, now time.Time, zone string) int {
	count := 0
	for number := range 200 {
		if view.Empty(now, zone, fmt.Sprint("service-", number)) {
			count++
		}
	}
	return count
}

func TestServicesLeaveOneAfterTheOther(t *testing.T) {
	view := evacuation.View{}.Take(origin, []string{"a"}, over)
	require.InDelta(t, 0, emptied(view, origin, "a"), 3)
	require.InDelta(t, 100, emptied(view, origin.Add(over/2), "a"), 30)
	require.Equal(t, 200, emptied(view, origin.Add(over), "a"))
	require.Zero(t, emptied(view, origin.Add(time.Hour), "b"))
	require.True(t, view.Moving(origin))
	require.False(t, view.Moving(origin.Add(over)))
	require.Equal(t, []string{"a"}, view.Zones())
}

func TestServicesReturnOneAfterTheOther(t *testing.T) {
	view := evacuation.View{}.Take(origin, []string{"a"}, 0)
	require.Equal(t, 200, emptied(view, origin, "a"))
	ended := origin.Add(time.Minute)
	view = view.Take(ended, nil, over)
	require.InDelta(t, 200, emptied(view, ended, "a"), 3)
	require.InDelta(t, 100, emptied(view, ended.Add(over/2), "a"), 30)
	require.Zero(t, emptied(view, ended.Add(over), "a"))
	require.Empty(t, view.Zones())
}

func TestOrderReversedOnTheWayHoldsAtOnce(t *testing.T) {
	view := evacuation.View{}.Take(origin, []string{"a"}, over)
	view = view.Take(origin.Add(over/2), nil, over)
	require.Zero(t, emptied(view, origin.Add(over/2), "a"))
	view = view.Take(origin.Add(over), []string{"a"}, 0)
	view = view.Take(origin.Add(2*over), nil, over)
	view = view.Take(origin.Add(5*over/2), []string{"a"}, over)
	require.Equal(t, 200, emptied(view, origin.Add(5*over/2), "a"))
}

// TestNothingGoesToAnEvacuatedZoneOnceItsTimeIsOver has orders come in any way: each view
// agrees with the last order at the latest after the time that services may take.
func TestNothingGoesToAnEvacuatedZoneOnceItsTimeIsOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view, now := evacuation.View{}, origin
		for range rapid.IntRange(1, 12).Draw(t, "orders") {
			zones := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID).Draw(t, "zones")
			view = view.Take(now, zones, over)
			settled := now.Add(over)
			for _, zone := range []string{"a", "b", "c"} {
				want := 0
				for _, evacuated := range zones {
					if evacuated == zone {
						want = 200
					}
				}
				require.Equal(t, want, emptied(view, settled, zone), zone)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		}
	})
}
