package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRoutersThatAreAwayKeepTheirPlace lists a router that stops or is silent as
// absent, until it was silent for its lifetime.
func TestRoutersThatAreAwayKeepTheirPlace(t *testing.T) {
	start := time.Unix(1000, 0)
	table := make(routerTable)
	table.report(start, Router{Name: "alone", Zone: "z"}, 0, true)
	table.report(start, Router{Name: "silent", Zone: "z", Address: "a:1"}, 0, true)
	now := start.Add(routerLiveness + time.Millisecond)
	table.report(now, Router{Name: "live", Zone: "z", Address: "a:2"}, 0, true)
	table.report(now, Router{Name: "stops", Zone: "z", Address: "a:3", Stopping: true}, 0, true)
	list, digest := table.listed(now)
	require.Equal(t, []ListedRouter{
		{Name: "live", Zone: "z", Address: "a:2"},
		{Name: "silent", Zone: "z", Address: "a:1", Absent: true},
		{Name: "stops", Zone: "z", Address: "a:3", Absent: true},
	}, list)
	later, changed := table.listed(start.Add(routerLifetime + time.Millisecond))
	require.Len(t, later, 2)
	require.NotEqual(t, digest, changed)
}
