package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/scatter"
)

// TestConnectionOfAnAttemptOutlivesItsServer guards against a connection that is kept by an attempt which
// ends after its server was replaced or forgotten, and against a set that only grows.
func TestConnectionOfAnAttemptOutlivesItsServer(t *testing.T) {
	var forgotten []string
	r := newRetiredServers(func(id string) { forgotten = append(forgotten, id) })
	r.sent("gone")
	r.sent("gone")
	r.sent("back")
	r.retire("gone")
	r.change(scatter.Server{ID: "back", Replaced: true})
	r.change(scatter.Server{ID: "back"})
	r.change(scatter.Server{ID: "idle", Replaced: true})
	require.Equal(t, []string{"gone", "back", "idle"}, forgotten)
	r.ended("gone")
	r.ended("back")
	r.ended("gone")
	require.Equal(t, []string{"gone", "back", "idle", "gone", "gone"}, forgotten)
	require.Empty(t, r.out)
	require.Empty(t, r.retired)
}
