package forward

import (
	"cmp"
	"context"
	"io"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/cell"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/remote"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/verdict"
)

// script answers for other routers: the first one asked in doubt, those after it
// with a proof that they ran nothing.
type script struct{ asked atomic.Int64 }

func (s *script) next() query.Answer {
	failure := &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonConnection}
	if s.asked.Add(1) == 1 {
		failure.Verdict = verdict.MayHaveRun
	}
	return query.Answer{Verdict: failure.Verdict, Err: failure}
}

func (s *script) Forward(context.Context, router.Peer, router.Request) query.Answer { return s.next() }

func (s *script) Cross(context.Context, netip.AddrPort, router.Request) router.Crossing {
	return router.Crossing{Answer: s.next(), Outcome: remote.Broken}
}

func (s *script) Reach(context.Context, netip.AddrPort) error { return context.Canceled }

// newOutsider returns a router that is not of the cell of service search, with
// two peers that are.
func newOutsider(t *testing.T, change func(*router.Config, *router.Dependencies)) *router.Router {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	whole := cellPlan()
	whole.Services[0].CellRouters = 2
	remoteOnly := remotePlan(netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"))
	whole.Regions = remoteOnly.Regions
	whole.RemoteRoutes = lo.Map(remoteOnly.RemoteRoutes, func(route plan.RemoteRoute, _ int) plan.RemoteRoute {
		route.Name = "far-" + route.Name
		return route
	})
	slices.SortFunc(whole.RemoteRoutes, func(a, b plan.RemoteRoute) int { return cmp.Compare(a.Name, b.Name) })
	outsider, _ := lo.Difference(routerNames, cell.Members("search", routerNames, 2))
	peers := lo.Map(routerNames, func(name string, _ int) router.Peer { return router.Peer{Name: name, Zone: "a"} })
	created := newRouterWith(t, outsider[0], &fixedSource{plan: whole, peers: peers}, logger, change)
	require.Eventually(t, func() bool { ready, _ := created.Ready(); return ready }, longWait, time.Millisecond)
	return created
}

// A request that may have run at the first router is not said to be not run
// because the second one proves that it ran nothing.
func TestALaterProofHidesNoDoubt(t *testing.T) {
	for _, route := range []string{"find", "far-find"} {
		answers := &script{}
		asked := newOutsider(t, func(_ *router.Config, dependencies *router.Dependencies) {
			dependencies.Forwarder, dependencies.Regions = answers, answers
		})
		answer := asked.Query(t.Context(), router.Request{CallerID: "x", Route: route, Body: []byte(`{}`)})
		require.EqualValues(t, 2, answers.asked.Load(), route)
		require.Equal(t, verdict.MayHaveRun, answer.Verdict, route)
		require.Equal(t, verdict.MayHaveRun, answer.Err.Verdict, route)
	}
}

// holding is a cell's router that answers once the router that asked it stops.
type holding struct {
	asked    chan struct{}
	stopping func() bool
	answered atomic.Bool
}

func (h *holding) Forward(ctx context.Context, _ router.Peer, _ router.Request) query.Answer {
	close(h.asked)
	for !h.stopping() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	h.answered.Store(true)
	return query.Answer{Verdict: verdict.Ran}
}

// A planned stop waits for a request of another region that is with a router of
// its cell.
func TestPlannedStopWaitsForRequestsOfOtherRegions(t *testing.T) {
	cellRouter := &holding{asked: make(chan struct{})}
	entry := newOutsider(t, func(_ *router.Config, dependencies *router.Dependencies) { dependencies.Forwarder = cellRouter })
	cellRouter.stopping = func() bool {
		// Refusing has begun, and with it the wait.
		answer := entry.Query(context.Background(), router.Request{CallerID: "y", Route: "far-find", Body: []byte(`{}`)})
		return answer.Err.Reason == verdict.ReasonStopping
	}
	var crossing sync.WaitGroup
	var answer query.Answer
	crossing.Go(func() {
		answer = entry.QueryCrossed(context.Background(), router.Request{CallerID: "x", Route: "find", Body: []byte(`{}`)})
	})
	<-cellRouter.asked
	require.NoError(t, entry.Stop(t.Context()))
	require.True(t, cellRouter.answered.Load(), "the stop did not wait")
	crossing.Wait()
	require.Nil(t, answer.Err)
}

// A router that reports ready knows its cells: it hands over what it does not
// serve itself, from the first request on.
func TestReadyRouterKnowsItsCells(t *testing.T) {
	const routers = 100
	for range routers {
		entry := newOutsider(t, func(_ *router.Config, dependencies *router.Dependencies) { dependencies.Forwarder = ran{} })
		answer := entry.QueryCrossed(t.Context(), router.Request{CallerID: "x", Route: "find", Body: []byte(`{}`)})
		require.Nil(t, answer.Err)
	}
}

// ran is a cell's router that answers at once.
type ran struct{}

func (ran) Forward(context.Context, router.Peer, router.Request) query.Answer {
	return query.Answer{Verdict: verdict.Ran}
}
