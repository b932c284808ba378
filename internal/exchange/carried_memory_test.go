package exchange

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCarriedRequestsAreBounded guards against memory that grows with the requests of a
// connection, and checks that the last ones are remembered.
func TestCarriedRequestsAreBounded(t *testing.T) {
	var carried carriedRequests
	for hash := range uint64(10 * maxCarriedRequests) {
		carried.add(hash)
		require.True(t, carried.contains(hash))
		require.True(t, carried.contains(max(hash, maxCarriedRequests-1)-maxCarriedRequests+1))
		require.LessOrEqual(t, len(carried.hashes), maxCarriedRequests)
	}
	require.False(t, carried.contains(0))
}
