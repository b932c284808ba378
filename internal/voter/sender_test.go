package voter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/consensus"
)

// TestMembersAreReachedWhereTheySayThatTheyAre guards against a member that moved and is sent to at its
// former address, and against one that listens at all addresses of its machine and is sent to at none.
func TestMembersAreReachedWhereTheySayThatTheyAre(t *testing.T) {
	book := newAddressBook()
	book.setMembers([]consensus.MemberStatus{{Member: consensus.Member{ID: 1, Address: "10.0.0.1:7000"}}})
	require.Equal(t, "10.0.0.1:7000", book.of(1))
	for _, nowhere := range []string{"", "0.0.0.0:7000", "[::]:7000", "host:7000"} {
		require.Empty(t, book.hear(1, nowhere))
		require.Equal(t, "10.0.0.1:7000", book.of(1), nowhere)
	}
	require.Empty(t, book.hear(1, "10.0.0.1:7000"), "it has not moved")
	require.Equal(t, "10.0.0.1:7000", book.hear(1, "10.0.0.9:7000"))
	require.Equal(t, "10.0.0.9:7000", book.of(1))
	require.Empty(t, book.hear(1, "10.0.0.9:7000"), "told once")
	require.Empty(t, book.hear(2, "10.0.0.2:7000"), "no member")
	require.Equal(t, "10.0.0.2:7000", book.of(2))
	for id := uint64(3); id < 3+2*maxPeers; id++ {
		book.hear(id, "10.0.0.3:7000")
	}
	require.Equal(t, "10.0.0.9:7000", book.hear(1, "10.0.0.8:7000"), "strangers take no member's place")
}
