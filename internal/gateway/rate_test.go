package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRateFollowsTheCount(t *testing.T) {
	var calls rate
	now := time.Unix(1000, 0)
	require.Zero(t, calls.perSecond(now))
	for range 30 {
		calls.add(70)
		now = now.Add(700 * time.Millisecond)
		calls.perSecond(now)
	}
	require.InDelta(t, 100, calls.perSecond(now), 1)
	require.InDelta(t, 50, calls.perSecond(now.Add(rateHalfLife)), 1)
}
