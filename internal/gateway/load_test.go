package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/loadview"
)

// TestFollowCallsAreShorterUnderLoad guards against more calls to nodes than they can take, and
// against demand that arrives late: calls are short only while the held view is short, and longer
// again with many routers.
func TestFollowCallsAreShorterUnderLoad(t *testing.T) {
	now := time.Now()
	state := newLoadState(now)
	require.Equal(t, followWait, state.followWait(now, 1))
	state.held.Store(&loadview.Held{At: now, View: loadview.View{Routes: []loadview.RouteState{{Route: "r"}}}})
	for routers, want := range map[int]time.Duration{
		1: 250 * time.Millisecond, 500: 250 * time.Millisecond, 1000: 500 * time.Millisecond, 5000: followWait,
	} {
		require.Equal(t, want, state.followWait(now, routers), routers)
	}
	require.Equal(t, followWait, state.followWait(now.Add(loadview.MaxAge), 1), "the figures are too old")
	state.held.Store(&loadview.Held{At: now, View: loadview.View{Revision: 2, Services: []loadview.ServiceState{{Service: "s"}}}})
	require.Equal(t, followWait, state.followWait(now, 1), "servers in trouble are reported when they come into trouble")
}

// TestReportNamesMoreServers guards against servers in trouble that are reported late, and against
// a new call for each repeated observation.
func TestReportNamesMoreServers(t *testing.T) {
	report := func(servers ...loadview.ServerState) *loadview.Report {
		return &loadview.Report{Services: []loadview.ServiceReport{{Service: "s", Waiting: len(servers), Servers: servers}}}
	}
	slow := loadview.ServerState{ID: "i", Condition: loadview.Slow, Pace: 3}
	require.True(t, report(slow).NamesMore(report()))
	require.False(t, report().NamesMore(report(slow)))
	require.False(t, report(loadview.ServerState{ID: "i", Condition: loadview.Slow, Pace: 5}).NamesMore(report(slow)))
	require.True(t, report(loadview.ServerState{ID: "i", Condition: loadview.Silent}).NamesMore(report(slow)))
}
