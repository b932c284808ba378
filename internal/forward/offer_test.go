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

// scriptedCaller answers in place of other routers: the first call with
// may_have_run, later calls with not_run.
type scriptedCaller struct{ calls atomic.Int64 }

func (s *scriptedCaller) next() query.Answer {
	failure := &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonConnection}
	if s.calls.Add(1) == 1 {
		failure.Verdict = verdict.MayHaveRun
	}
	return query.Answer{Verdict: failure.Verdict, Err: failure}
}

func (s *scriptedCaller) Forward(context.Context, router.Peer, router.Request) query.Answer {
	return s.next()
}

func (s *scriptedCaller) Cross(context.Context, netip.AddrPort, router.Request) router.ForwardResult {
	return router.ForwardResult{Answer: s.next(), Outcome: remote.Broken}
}

func (s *scriptedCaller) Reach(context.Context, netip.AddrPort) error { return context.Canceled }

// newRouterOutsideCell returns a router outside the cell of service search, with
// two peers in the cell.
func newRouterOutsideCell(t *testing.T, change func(*router.Config, *router.Dependencies)) *router.Router {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	installed := cellPlan()
	installed.Services[0].CellRouters = 2
	remoteRoutes := remotePlan(netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"))
	installed.Regions = remoteRoutes.Regions
	installed.RemoteRoutes = lo.Map(remoteRoutes.RemoteRoutes, func(route plan.RemoteRoute, _ int) plan.RemoteRoute {
		route.Name = "far-" + route.Name
		return route
	})
	slices.SortFunc(installed.RemoteRoutes, func(a, b plan.RemoteRoute) int { return cmp.Compare(a.Name, b.Name) })
	outside, _ := lo.Difference(routerNames, cell.Members("search", routerNames, 2))
	peers := lo.Map(routerNames, func(name string, _ int) router.Peer { return router.Peer{Name: name, Zone: "a"} })
	created := newRouterWith(t, outside[0], &fixedSource{plan: installed, peers: peers}, logger, change)
	require.Eventually(t, func() bool { ready, _ := created.Ready(); return ready }, longWait, time.Millisecond)
	return created
}

// A request that may have run at the first router must not be reported as not
// run because the second router proves that it did not run it.
func TestLaterNotRunKeepsMayHaveRun(t *testing.T) {
	for _, route := range []string{"find", "far-find"} {
		answers := &scriptedCaller{}
		asked := newRouterOutsideCell(t, func(_ *router.Config, dependencies *router.Dependencies) {
			dependencies.Forwarder, dependencies.Regions = answers, answers
		})
		answer := asked.Query(t.Context(), router.Request{CallerID: "x", Route: route, Body: []byte(`{}`)})
		require.EqualValues(t, 2, answers.calls.Load(), route)
		require.Equal(t, verdict.MayHaveRun, answer.Verdict, route)
		require.Equal(t, verdict.MayHaveRun, answer.Err.Verdict, route)
	}
}

// blockingForwarder is a router of the cell that answers once its caller stops.
type blockingForwarder struct {
	received chan struct{}
	stopping func() bool
	answered atomic.Bool
}

func (h *blockingForwarder) Forward(ctx context.Context, _ router.Peer, _ router.Request) query.Answer {
	close(h.received)
	for !h.stopping() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	h.answered.Store(true)
	return query.Answer{Verdict: verdict.Ran}
}

// A planned stop must wait for a request of another region that was forwarded to
// a router of the cell.
func TestPlannedStopWaitsForRequestsOfOtherRegions(t *testing.T) {
	cellRouter := &blockingForwarder{received: make(chan struct{})}
	entry := newRouterOutsideCell(t, func(_ *router.Config, dependencies *router.Dependencies) { dependencies.Forwarder = cellRouter })
	cellRouter.stopping = func() bool {
		// Once requests are refused, the stop is waiting.
		answer := entry.Query(context.Background(), router.Request{CallerID: "y", Route: "far-find", Body: []byte(`{}`)})
		return answer.Err.Reason == verdict.ReasonStopping
	}
	var running sync.WaitGroup
	var answer query.Answer
	running.Go(func() {
		answer = entry.QueryCrossed(context.Background(), router.Request{CallerID: "x", Route: "find", Body: []byte(`{}`)})
	})
	<-cellRouter.received
	require.NoError(t, entry.Stop(t.Context()))
	require.True(t, cellRouter.answered.Load(), "the stop did not wait")
	running.Wait()
	require.Nil(t, answer.Err)
}

// A router that reports ready must already have its cells: from the first
// request on it forwards what it does not serve itself.
func TestReadyRouterForwardsToCells(t *testing.T) {
	const routers = 100
	for range routers {
		entry := newRouterOutsideCell(t, func(_ *router.Config, dependencies *router.Dependencies) {
			dependencies.Forwarder = answeringForwarder{}
		})
		answer := entry.QueryCrossed(t.Context(), router.Request{CallerID: "x", Route: "find", Body: []byte(`{}`)})
		require.Nil(t, answer.Err)
	}
}

// answeringForwarder is a router of the cell that answers at once.
type answeringForwarder struct{}

func (answeringForwarder) Forward(context.Context, router.Peer, router.Request) query.Answer {
	return query.Answer{Verdict: verdict.Ran}
}
