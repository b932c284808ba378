package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/routing"
)

// plainDialect reads nothing from requests and sets only Retry-After.
type plainDialect struct{ Dialect }

func (plainDialect) RequestID(http.Header) string                { return "r" }
func (plainDialect) Remaining(http.Header) (time.Duration, bool) { return time.Second, true }
func (plainDialect) SetRetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", after.String())
}

// TestIsolatedRouterIsNotReadyAndRefusesAtOnce has probes of the other zone time out while
// those of the own zone succeed: the router is not ready, and refuses requests for which the
// servers of its zone do not suffice. It recovers once the other zone answers.
func TestIsolatedRouterIsNotReadyAndRefusesAtOnce(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	g := New(Config{Name: "r0", Zone: "a", Dialect: plainDialect{}}, Environment{Logger: logger, Registerer: prometheus.NewRegistry()})
	var cut atomic.Bool
	cut.Store(true)
	g.isolation.dial = func(ctx context.Context, address string) error {
		if strings.HasPrefix(address, "b") && cut.Load() {
			return context.DeadlineExceeded
		}
		return errors.New("refused, so that it is reached")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.loop.run(ctx)
	go g.isolation.run(ctx)
	g.peers.setRouters([]directory.ListedRouter{
		{Name: "r0", Zone: "a", Address: "a:0"}, {Name: "r1", Zone: "a", Address: "a:1"}, {Name: "r2", Zone: "b", Address: "b:2"},
	})
	g.peers.setServers([]registry.Instance{
		{ID: "i1", Service: "s", Zone: "a", State: registry.Ready}, {ID: "i2", Service: "t", Zone: "b", State: registry.Ready},
	}, nil)
	g.install(&routing.Document{Version: 1, Routes: []routing.Route{
		{Name: "all", Host: "h", Prefix: "/all/", Timeout: time.Second, Shards: []string{"s", "t"}, LeastShare: 1},
	}}, "test", 0)
	close(g.serversKnown)
	require.True(t, g.Ready())
	g.isolation.recordFailure("a")
	require.Never(t, func() bool { return !g.Ready() }, 50*time.Millisecond, time.Millisecond)
	require.Eventually(t, func() bool {
		g.isolation.recordFailure("b")
		return !g.Ready()
	}, 10*time.Second, time.Millisecond)
	require.True(t, g.zoneSuffices([]string{"s", "t"}, 0.5))

	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "http://h/all/", nil))
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	require.NotEmpty(t, recorder.Header().Get("Retry-After"))
	require.Equal(t, "close", recorder.Header().Get("Connection"))

	cut.Store(false)
	require.Eventually(t, g.Ready, 10*time.Second, time.Millisecond)
}
