package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/plan"
)

func TestSpendingNeverExceedsBurstPlusEarnings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := plan.Budget{
			Ratio: rapid.Float64Range(0, 1).Draw(t, "ratio"),
			Burst: rapid.Float64Range(0, 50).Draw(t, "burst"),
		}
		bucket := New(limits)
		earned, spent := 0, 0
		for _, attempts := range rapid.SliceOfN(rapid.IntRange(0, 40), 1, 200).Draw(t, "steps") {
			if attempts > 0 {
				bucket.Earn(attempts)
				earned += attempts
			} else if bucket.Spend() {
				spent++
			}
			require.LessOrEqual(t, float64(spent), limits.Burst+limits.Ratio*float64(earned)+1e-6)
		}
	})
}

func TestBorrowLeavesADebtThatFirstAttemptsPayOff(t *testing.T) {
	bucket := New(plan.Budget{Ratio: 0.5, Burst: 2})
	require.True(t, bucket.Borrow(10))
	require.False(t, bucket.Borrow(1))
	bucket.Earn(16)
	require.False(t, bucket.Spend(), "the debt is just paid")
	bucket.Earn(2)
	require.True(t, bucket.Spend())
}
