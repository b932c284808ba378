package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/plan"
)

func TestLimitStaysBetweenOneAndItsCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ceiling := rapid.IntRange(1, 20).Draw(t, "ceiling")
		limit := NewLimit(ceiling)
		now := time.Unix(0, 0)
		for _, action := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 100).Draw(t, "actions") {
			now = now.Add(decreaseInterval / 2)
			switch action {
			case 0:
				limit.Lower(now)
			case 1:
				ceiling = rapid.IntRange(0, 20).Draw(t, "new ceiling")
				limit.Resize(ceiling)
			default:
				limit.Raise()
			}
			require.LessOrEqual(t, limit.Value(), ceiling)
			require.GreaterOrEqual(t, limit.Value(), min(1, ceiling))
		}
	})
}

func TestQueuesOfOthersLeaveTheOwnShare(t *testing.T) {
	limit := NewLimit(5)
	now := time.Unix(0, 0)
	const signs = 10
	share := Floor(2)
	require.Equal(t, 3, share)
	for range signs {
		now = now.Add(decreaseInterval)
		limit.LowerTo(now, share)
	}
	require.Equal(t, share, limit.Value())
	for range signs {
		now = now.Add(decreaseInterval)
		limit.Lower(now)
	}
	require.Equal(t, 1, limit.Value())
	now = now.Add(decreaseInterval)
	limit.LowerTo(now, share)
	require.Equal(t, 1, limit.Value(), "a floor does not raise the limit")
}

func TestLowerClassesAreRefusedFirst(t *testing.T) {
	gate := Gate{MaxInFlight: 100}
	require.False(t, gate.Admits(plan.PriorityBatch, 75))
	require.True(t, gate.Admits(plan.PriorityNormal, 75))
	require.False(t, gate.Admits(plan.PriorityNormal, 90))
	require.True(t, gate.Admits(plan.PriorityInteractive, 99))
	require.False(t, gate.Admits(plan.PriorityInteractive, 100))

	expected := Expectation{Wait: 40 * time.Millisecond, Typical: 10 * time.Millisecond}
	require.True(t, gate.Feasible(plan.PriorityInteractive, expected, 100*time.Millisecond))
	require.False(t, gate.Feasible(plan.PriorityBatch, expected, 100*time.Millisecond))
	require.False(t, gate.Feasible(plan.PriorityInteractive, expected, 60*time.Millisecond))
}

func TestQueueServesByClassThenOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue Queue[int]
		var model [classes][]int
		for step, class := range rapid.SliceOfN(rapid.IntRange(0, 2*classes-1), 1, 200).Draw(t, "steps") {
			if class < classes {
				queue.Push(plan.Priority(class), step)
				model[class] = append(model[class], step)
				continue
			}
			item, found := queue.Pop()
			for first := classes - 1; first >= 0; first-- {
				if len(model[first]) == 0 {
					continue
				}
				require.True(t, found)
				require.Equal(t, model[first][0], item)
				if class%2 == 0 {
					queue.PushFront(plan.Priority(first), item)
				} else {
					queue.Discard(plan.Priority(first))
					model[first] = model[first][1:]
				}
				found = false
				break
			}
			require.False(t, found)
			count := 0
			for _, line := range model {
				count += len(line)
			}
			require.Equal(t, count, queue.Waiting())
		}
	})
}
