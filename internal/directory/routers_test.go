package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAbsentRoutersStayListed lists a router that is stopping or silent as absent until
// routerLifetime has passed.
func TestAbsentRoutersStayListed(t *testing.T) {
	start := time.Unix(1000, 0)
	table := make(routerTable)
	table.recordCall(start, sharedRouter{Router: Router{Name: "alone", Zone: "z"}}, true)
	table.recordCall(start, sharedRouter{Router: Router{Name: "silent", Zone: "z", Address: "a:1"}}, true)
	now := start.Add(routerLiveness + time.Millisecond)
	table.recordCall(now, sharedRouter{Router: Router{Name: "live", Zone: "z", Address: "a:2"}}, true)
	table.recordCall(now, sharedRouter{Router: Router{Name: "stops", Zone: "z", Address: "a:3", Stopping: true}}, true)
	list := table.list(now)
	require.Equal(t, []ListedRouter{
		{Name: "live", Zone: "z", Address: "a:2"},
		{Name: "silent", Zone: "z", Address: "a:1"},
		{Name: "stops", Zone: "z", Address: "a:3"},
	}, list.routers)
	require.Equal(t, []string{"silent", "stops"}, list.absent)
	later := table.list(start.Add(routerLifetime + time.Millisecond))
	require.Len(t, later.routers, 2)
	require.NotEqual(t, list.routersDigest, later.routersDigest)
	require.NotEqual(t, list.absentDigest, later.absentDigest)
}

// TestSuspectedRoutersAreAbsentUntilTheyCall has routers report another one as failed: repeated
// reports of a single router have no effect; the reports of two mark it as absent until it
// calls.
func TestSuspectedRoutersAreAbsentUntilTheyCall(t *testing.T) {
	now := time.Unix(1000, 0)
	table := make(routerTable)
	for _, name := range []string{"a", "b", "c"} {
		table.recordCall(now, sharedRouter{Router: Router{Name: name, Address: name + ":1"}}, true)
	}
	after := func(step time.Duration) time.Time { now = now.Add(step); return now }
	for range 5 {
		require.False(t, table.recordSuspects(after(time.Millisecond), SuspectReport{By: "b", Routers: []string{"a", "b", "unknown"}}))
	}
	require.Empty(t, table.list(now).absent)
	require.True(t, table.recordSuspects(after(time.Millisecond), SuspectReport{By: "c", Routers: []string{"a"}}))
	require.Equal(t, []string{"a"}, table.list(now).absent)
	require.True(t, table.recordCall(after(time.Millisecond), sharedRouter{Router: Router{Name: "a", Address: "a:1"}}, true), "it called again")
	require.Empty(t, table.list(now).absent)
	require.False(t, table.recordSuspects(after(time.Millisecond), SuspectReport{By: "b", Routers: []string{"a"}}))
	require.False(t, table.recordSuspects(after(suspectReportLifetime+time.Millisecond), SuspectReport{By: "c", Routers: []string{"a"}}), "the first report has expired")
}
