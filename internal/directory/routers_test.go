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
	table.report(start, sharedRouter{Router: Router{Name: "alone", Zone: "z"}}, true)
	table.report(start, sharedRouter{Router: Router{Name: "silent", Zone: "z", Address: "a:1"}}, true)
	now := start.Add(routerLiveness + time.Millisecond)
	table.report(now, sharedRouter{Router: Router{Name: "live", Zone: "z", Address: "a:2"}}, true)
	table.report(now, sharedRouter{Router: Router{Name: "stops", Zone: "z", Address: "a:3", Stopping: true}}, true)
	list := table.listed(now)
	require.Equal(t, []ListedRouter{
		{Name: "live", Zone: "z", Address: "a:2"},
		{Name: "silent", Zone: "z", Address: "a:1"},
		{Name: "stops", Zone: "z", Address: "a:3"},
	}, list.routers)
	require.Equal(t, []string{"silent", "stops"}, list.absent)
	later := table.listed(start.Add(routerLifetime + time.Millisecond))
	require.Len(t, later.routers, 2)
	require.NotEqual(t, list.routersDigest, later.routersDigest)
	require.NotEqual(t, list.absentDigest, later.absentDigest)
}

// TestRoutersThatOthersFailedToReachAreAbsentUntilTheyCall has routers tell of another
// one: what one tells alone, again and again, counts for nothing; two are believed, until
// the other one calls.
func TestRoutersThatOthersFailedToReachAreAbsentUntilTheyCall(t *testing.T) {
	now := time.Unix(1000, 0)
	table := make(routerTable)
	for _, name := range []string{"a", "b", "c"} {
		table.report(now, sharedRouter{Router: Router{Name: name, Address: name + ":1"}}, true)
	}
	after := func(step time.Duration) time.Time { now = now.Add(step); return now }
	for range 5 {
		require.False(t, table.doubt(after(time.Millisecond), Doubt{By: "b", Routers: []string{"a", "b", "unknown"}}))
	}
	require.Empty(t, table.listed(now).absent)
	require.True(t, table.doubt(after(time.Millisecond), Doubt{By: "c", Routers: []string{"a"}}))
	require.Equal(t, []string{"a"}, table.listed(now).absent)
	require.True(t, table.report(after(time.Millisecond), sharedRouter{Router: Router{Name: "a", Address: "a:1"}}, true), "it is back")
	require.Empty(t, table.listed(now).absent)
	require.False(t, table.doubt(after(time.Millisecond), Doubt{By: "b", Routers: []string{"a"}}))
	require.False(t, table.doubt(after(doubtLifetime+time.Millisecond), Doubt{By: "c", Routers: []string{"a"}}), "the first doubt is old")
}
