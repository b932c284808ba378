package exchange_test

import (
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/exchange"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/scatter"
)

// TestServerHasStoppedOnlyIfNothingListens checks an address while it is served, and again once
// nothing listens there.
func TestServerHasStoppedOnlyIfNothingListens(t *testing.T) {
	pool := exchange.NewPool(nil, prometheus.NewRegistry())
	t.Cleanup(pool.Close)
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(t, err)
	server := scatter.Server{ID: "i", Address: listener.Addr().String()}
	require.False(t, pool.HasStopped(server, false))
	require.False(t, pool.HasStopped(server, true))
	require.NoError(t, listener.Close())
	require.True(t, pool.HasStopped(server, false))
}
