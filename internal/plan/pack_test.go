package plan

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestPackedPlanIsTheSamePlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := drawPlan(t, "whole")
		packed, err := Pack(whole)
		require.NoError(t, err)
		unpacked, err := Unpack(packed)
		require.NoError(t, err)
		require.True(t, Equal(whole, unpacked))
		cut := rapid.IntRange(0, len(packed)-1).Draw(t, "cut")
		_, err = Unpack(packed[:cut])
		require.Error(t, err, "a plan that was cut off is refused")
	})
}
