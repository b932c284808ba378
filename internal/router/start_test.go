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

// A lease that is granted once, as a policy file's is, makes a router ready at
// whatever moment of its start it comes. Many routers start at once, so that some
// of them are given theirs while they look for it.
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
			started[index] = router.New(router.Config{Name: "router", Boot: 1, Alone: true, Engines: 1}, router.Dependencies{
				Logger: logger, Registerer: registry, Claims: router.NewLocalClaims(), Events: router.EventLog{Logger: logger},
				Backends:  backend.New(backend.Config{}, backend.Dependencies{Logger: logger, Registerer: registry}),
				Source:    &router.StaticSource{Plan: &plan.Plan{}},
				NewEngine: func(int) router.Engine { return query.New(query.Config{}) },
			})
		}
		round, endRound := context.WithCancel(running)
		for _, one := range started {
			routers.Go(func() { _ = one.Run(round) })
		}
		for index, one := range started {
			require.Eventually(t, func() bool { ready, _ := one.Ready(); return ready }, 10*time.Second, time.Millisecond, "router %d", index)
		}
		endRound()
	}
}
