package voter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/consensus"
)

// TestReportedAddressOverridesMembership guards against sending to the old address of a member that moved, and
// against losing the address of a member that listens on all interfaces.
func TestReportedAddressOverridesMembership(t *testing.T) {
	table := newAddressTable()
	table.setMembers([]consensus.MemberStatus{{Member: consensus.Member{ID: 1, Address: "10.0.0.1:7000"}}})
	require.Equal(t, "10.0.0.1:7000", table.lookup(1))
	for _, unusable := range []string{"", "0.0.0.0:7000", "[::]:7000", "host:7000"} {
		require.Empty(t, table.recordReported(1, unusable))
		require.Equal(t, "10.0.0.1:7000", table.lookup(1), unusable)
	}
	require.Empty(t, table.recordReported(1, "10.0.0.1:7000"), "the address has not changed")
	require.Equal(t, "10.0.0.1:7000", table.recordReported(1, "10.0.0.9:7000"))
	require.Equal(t, "10.0.0.9:7000", table.lookup(1))
	require.Empty(t, table.recordReported(1, "10.0.0.9:7000"), "a move is reported once")
	require.Empty(t, table.recordReported(2, "10.0.0.2:7000"), "not a member")
	require.Equal(t, "10.0.0.2:7000", table.lookup(2))
	for id := uint64(3); id < 3+2*maxPeers; id++ {
		table.recordReported(id, "10.0.0.3:7000")
	}
	require.Equal(t, "10.0.0.9:7000", table.recordReported(1, "10.0.0.8:7000"), "unknown voters must not displace a member")
}
