package router_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
)

// Guards against a lost lease if it is granted only once, as that of a policy file,
// while the router is starting and checks its lease. Many routers start at once so
// that some of them receive theirs during that check.
func TestALeaseGrantedOnceIsNotMissed(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	running, end := context.WithCancel(t.Context())
	var routers sync.WaitGroup
	defer routers.Wait()
	defer end()
	const rounds, together = 40, 50
	for range rounds {
		started := make([]*router.Router, together)
		for index := range started {
			registry := prometheus.NewRegistry()
			started[index] = router.New(router.Config{Name: "router", Boot: 1, Standalone: true, Engines: 1}, router.Dependencies{
				Logger: logger, Registerer: registry, Claims: router.NewLocalClaims(), Events: router.EventLog{Logger: logger},
				Backends:  backend.New(backend.Config{}, backend.Dependencies{Logger: logger, Registerer: registry}),
				Source:    &router.StaticSource{Plan: &plan.Plan{}},
				NewEngine: func(int) router.Engine { return query.New(query.Config{}) },
			})
		}
		round, endRound := context.WithCancel(running)
		for _, served := range started {
			routers.Go(func() { _ = served.Run(round) })
		}
		for index, served := range started {
			require.Eventually(t, func() bool { ready, _ := served.Ready(); return ready }, 10*time.Second, time.Millisecond, "router %d", index)
		}
		endRound()
	}
}
