package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/loadview"
)

// TestFollowCallsAreShorterUnderLoad guards against more calls to nodes than they can take, and
// against figures that arrive late: calls are short only while there is something to report or a
// view is held, and longer again with many routers.
func TestFollowCallsAreShorterUnderLoad(t *testing.T) {
	troubled := &loadview.Report{Services: []loadview.ServiceReport{{Service: "s"}}}
	calm := &loadview.Report{Routes: []loadview.RouteDemand{{Route: "r", Offered: 5}}}
	now := time.Now()
	state := newLoadState(now)
	for routers, want := range map[int]time.Duration{
		1: 250 * time.Millisecond, 500: 250 * time.Millisecond, 1000: 500 * time.Millisecond, 5000: followWait,
	} {
		require.Equal(t, want, state.followWait(now, troubled, routers), routers)
		require.Equal(t, followWait, state.followWait(now, calm, routers), routers)
		require.Equal(t, followWait, state.followWait(now, nil, routers), routers)
	}
	state.held.Store(&loadview.Held{At: now, View: loadview.View{Routes: []loadview.RouteState{{Route: "r"}}}})
	require.Equal(t, loadFollowWait, state.followWait(now, calm, 1))
	require.Equal(t, followWait, state.followWait(now.Add(loadview.MaxAge), calm, 1), "the figures are too old")
	state.held.Store(&loadview.Held{At: now, View: loadview.View{Revision: 2}})
	require.Equal(t, followWait, state.followWait(now, calm, 1), "the held view has no entries")
}
