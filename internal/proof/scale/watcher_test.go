package scale

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWatcherLooksOnceMoreAtTheEnd ends a watcher between two looks, after a revision
// came into force: it has been reported.
func TestWatcherLooksOnceMoreAtTheEnd(t *testing.T) {
	watched := &watcher{inForce: func(context.Context) uint64 { return 3 }, pause: time.Hour}
	watched.want(3)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	watched.run(ended)
	waited, missing := watched.delays([]Accepted{{Revision: 2, At: time.Now()}, {Revision: 3, At: time.Now()}})
	require.Zero(t, missing)
	require.Len(t, waited, 2)
}
