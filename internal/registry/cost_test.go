package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCostOfChangesIsIndependentOfTableSize changes one server in tables of several sizes and
// requires that the number of entries visited for the changes does not grow with the table.
func TestCostOfChangesIsIndependentOfTableSize(t *testing.T) {
	now := time.Unix(100, 0)
	for _, servers := range []int{30, 3_000, 30_000} {
		table := New(5*time.Second, time.Minute)
		for number := range servers {
			id := fmt.Sprintf("i-%d", number)
			table.Report(now, Instance{ID: id, Service: "s", Address: id, Slots: 1, State: Ready})
		}
		before := table.Revision()
		table.MarkLeaving("i-7")
		table.visited = 0
		changed := table.ChangedSince(now, before)
		require.Len(t, changed, 1)
		require.Equal(t, "i-7", changed[0].ID)
		require.Empty(t, table.ChangedSince(now, table.Revision()))
		require.LessOrEqual(t, table.visited, 3, "of %d", servers)
		require.Len(t, table.ChangedSince(now, 0), servers)
	}
}
