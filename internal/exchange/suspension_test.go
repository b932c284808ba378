package exchange_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/proof/suspension"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// TestKeptConnectionIsTooOldAfterASuspension keeps a connection, and has the machine be
// suspended for longer than servers keep idle ones: the next attempt opens another, and
// has its whole time.
func TestKeptConnectionIsTooOldAfterASuspension(t *testing.T) {
	machine := suspension.NewMachine(t)
	b := startBackend(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, reply("r", "body"))
		return true
	})
	pool := newPool(t)
	ask := func() {
		request := newRequest("r")
		server := scatter.Server{ID: "instance", Address: b.listener.Addr().String()}
		outcome := pool.Start(pool.Encode(request), server, steadyclock.Now().Add(2*time.Second)).Run()
		require.Equal(t, scatter.NoFailure, outcome.Failure)
	}
	ask()
	ask()
	require.EqualValues(t, 1, b.connections.Load())
	machine.Suspend(time.Minute)
	ask()
	require.EqualValues(t, 2, b.connections.Load())
}
