package logging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLinesOfOneKindAreRateLimited(t *testing.T) {
	var limit LineLimit
	start := time.Unix(1000, 0)
	for range maxLinesPerSecond {
		dropped, allowed := limit.Allow(start)
		require.True(t, allowed)
		require.Zero(t, dropped)
	}
	for range 7 {
		_, allowed := limit.Allow(start.Add(time.Second - 1))
		require.False(t, allowed)
	}
	dropped, allowed := limit.Allow(start.Add(time.Second))
	require.True(t, allowed)
	require.Equal(t, 7, dropped)
}
