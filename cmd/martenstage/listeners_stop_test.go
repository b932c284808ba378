package main

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/proof/slowread"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
)

// TestStopDropsNoOrderThatWasRead guards against orders that a process of a site with registered
// servers has read when it closes its listeners.
func TestStopDropsNoOrderThatWasRead(t *testing.T) {
	registry := metrics.NewRegistry(roleDirectory)
	sink := logging.NewSink(io.Discard, registry)
	logger, err := logging.New(sink, "info")
	require.NoError(t, err)
	process := &registeredProcess{logger: logger, registry: registry, sink: sink, limits: newProcessLimits(0, 0)}
	accepting, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(t, err)
	listener := &slowread.Listener{Listener: accepting, Delay: 20 * time.Millisecond}
	process.serveOn("control-listen", listener, mainShare, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	const clients = 60
	sending := slowread.SendUntilClosed(t, accepting.Addr().String(), "POST /order HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n", clients)
	time.Sleep(200 * time.Millisecond)
	process.close()
	sending.Wait()
	require.Zero(t, listener.Unanswered(), "connections closed with a whole request read")
}
