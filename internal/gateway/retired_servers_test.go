package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/scatter"
)

// TestConnectionsToRetiredServersAreClosed guards against connections kept by attempts that
// end after their server was replaced or removed, and against sets that grow without bound.
func TestConnectionsToRetiredServersAreClosed(t *testing.T) {
	var forgotten []string
	r := newRetiredServers(func(id string) { forgotten = append(forgotten, id) })
	r.sent("gone")
	r.sent("gone")
	r.sent("back")
	r.retire("gone")
	r.serverChanged(scatter.Server{ID: "back", Replaced: true})
	r.serverChanged(scatter.Server{ID: "back"})
	r.serverChanged(scatter.Server{ID: "idle", Replaced: true})
	require.Equal(t, []string{"gone", "back", "idle"}, forgotten)
	r.ended("gone")
	r.ended("back")
	r.ended("gone")
	require.Equal(t, []string{"gone", "back", "idle", "gone", "gone"}, forgotten)
	require.Empty(t, r.inFlight)
	require.Empty(t, r.retired)
}
