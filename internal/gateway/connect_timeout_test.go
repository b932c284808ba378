package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestConnectTimeoutFollowsObservedTimes checks that the timeout is long at first and where
// most connections are slow, and short where they are fast, and that a few timeouts change it
// little.
func TestConnectTimeoutFollowsObservedTimes(t *testing.T) {
	var timeout connectTimeout
	now := time.Unix(1000, 0)
	require.Equal(t, maxConnectTimeout, timeout.current())
	for range 30 {
		timeout.observe(now, 3*time.Millisecond)
	}
	require.Equal(t, minConnectTimeout, timeout.current())
	for range 5 {
		timeout.observe(now, timeout.current())
	}
	require.Less(t, timeout.current(), maxConnectTimeout)
	for range 30 {
		timeout.observe(now, 45*time.Millisecond)
	}
	require.Equal(t, maxConnectTimeout, timeout.current())
}
