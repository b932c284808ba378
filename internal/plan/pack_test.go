package plan

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestPackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original := drawPlan(t, "original")
		packed, err := Pack(original)
		require.NoError(t, err)
		unpacked, err := Unpack(packed)
		require.NoError(t, err)
		require.True(t, Equal(original, unpacked))
		cut := rapid.IntRange(0, len(packed)-1).Draw(t, "cut")
		_, err = Unpack(packed[:cut])
		require.Error(t, err, "a truncated plan must be rejected")
	})
}
