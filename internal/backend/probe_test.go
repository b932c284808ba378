package backend

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/proof/testaddress"
)

// TestOnlyATimeoutIsReportedAsSilent probes a server that accepts connections
// and never replies, one that closes them, and an address without a listener.
func TestOnlyATimeoutIsReportedAsSilent(t *testing.T) {
	t.Parallel()
	serve := func(handle func(net.Conn)) netip.AddrPort {
		listener, err := net.Listen("tcp4", testaddress.Next().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				accepted, err := listener.Accept()
				if err != nil {
					return
				}
				handle(accepted)
			}
		}()
		return netip.MustParseAddrPort(listener.Addr().String())
	}
	kept := make(chan net.Conn, 8)
	t.Cleanup(func() {
		for len(kept) > 0 {
			_ = (<-kept).Close()
		}
	})
	client := New(Config{DialTimeout: 30 * time.Second}, Dependencies{Logger: logrus.New(), Registerer: prometheus.NewRegistry()})
	t.Cleanup(client.Close)
	for name, test := range map[string]struct {
		address netip.AddrPort
		silent  bool
	}{
		"silent":  {serve(func(accepted net.Conn) { kept <- accepted }), true},
		"closed":  {serve(func(accepted net.Conn) { _ = accepted.Close() }), false},
		"refused": {netip.MustParseAddrPort("127.0.0.1:1"), false},
	} {
		timeout := 30 * time.Second // a refusal may take long on a loaded machine
		if test.silent {
			timeout = 50 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		observed, probed := client.Probe(ctx, test.address)
		cancel()
		require.True(t, probed, name)
		require.False(t, observed.Reachable, name)
		require.Equal(t, test.silent, observed.TimedOut, name)
	}
}

// TestStatusThatIsNoAnswerMakesNoServerHealthy probes a server in trouble.
func TestStatusThatIsNoAnswerMakesNoServerHealthy(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = accepted.Close() }()
		_, _ = accepted.Read(make([]byte, 1024))
		_, _ = accepted.Write([]byte("HTTP/1.1 000 trouble\r\nContent-Length: 2\r\n\r\n{}"))
	}()
	client := New(Config{DialTimeout: 30 * time.Second}, Dependencies{Logger: logrus.New(), Registerer: prometheus.NewRegistry()})
	t.Cleanup(client.Close)
	observed, probed := client.Probe(t.Context(), netip.MustParseAddrPort(listener.Addr().String()))
	require.True(t, probed)
	require.False(t, observed.Reachable)
}
