package directory_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/loadview"
)

// TestViewReachesTheRoutersOfAllNodes guards against figures that only the routers of some nodes
// get, and against sums that leave nodes out.
func TestViewReachesTheRoutersOfAllNodes(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "routes a b"))
	routers := c.newLoadRouters()
	c.drive("the view is not held everywhere", routers, allHold(routers, func(view loadview.View) bool {
		return inTrouble(view) && view.Services[0].Waiting == 5 && view.Services[0].Capacity > 0 && view.Services[0].Demand > 0
	}))
	service := routers[0].held.View.Services[0]
	require.Equal(t, loadview.ServerState{ID: "i1", Condition: loadview.Slow, Pace: 4, Age: service.Servers[0].Age}, service.Servers[0])
	require.InDelta(t, 5*16*0.01, service.Demand, 0.1, "in slots")
	require.InDelta(t, loadview.Usable*(2+2/4.0), service.Capacity, 0.01)
	require.Empty(t, routers[0].held.View.Routes, "no planner")

	list, err := directory.ListLoad(context.Background(), c.addresses[3])
	require.NoError(t, err)
	require.Len(t, list.Nodes, 5)
	require.Len(t, list.Services, 1)
	require.Len(t, list.Routes, 1)
	require.Equal(t, "a", list.Routes[0].Route)
	require.InDelta(t, 80, list.Routes[0].Offered, 0.1)
	require.Nil(t, list.Routes[0].Admission)

	for _, router := range routers {
		router.request.Load = &loadview.Report{}
	}
	c.drive("an empty view is not published", routers, allHold(routers, loadview.View.Empty))
	revision := routers[0].held.View.Revision
	time.Sleep(1500 * time.Millisecond)
	c.drive("", routers, allHold(routers, loadview.View.Empty))
	require.Equal(t, revision, routers[0].held.View.Revision, "an empty view is published once")
}

// TestAViewWakesHeldCalls guards against figures that wait for the end of held calls, and against
// an age that ignores for how long a call was held.
func TestAViewWakesHeldCalls(t *testing.T) {
	c := newCluster(t, 3)
	c.losses = 1
	c.startAll(true)
	c.put(document(1, "routes a"))
	routers := c.newLoadRouters()
	observer := directory.FollowRequest{Router: directory.Router{Name: "observer"}, Load: &loadview.Report{}}
	var woken bool
	for deadline := time.Now().Add(waitTimeout); !woken && time.Now().Before(deadline); {
		for _, router := range routers {
			router.call(c)
		}
		sentAt := time.Now()
		observer.Wait = 900 * time.Millisecond
		reply, err := c.nodes[0].Follow(context.Background(), observer)
		require.NoError(t, err)
		observer.Source, observer.Revision, observer.Departures, observer.Version = reply.Source, reply.Revision, reply.Departures, max(observer.Version, reply.Version)
		observer.RoutersDigest, observer.AbsentDigest = reply.RoutersDigest, reply.AbsentDigest
		if reply.Load == nil {
			continue
		}
		observer.LoadTerm, observer.LoadRevision = reply.Load.Term, reply.Load.Revision
		require.True(t, sentAt.Add(*reply.LoadAt).Before(time.Now()), "valid in the future")
		// A call that was answered after some time gives figures from after its arrival.
		woken = time.Since(sentAt) > 100*time.Millisecond && *reply.LoadAt > 0
	}
	require.True(t, woken, "no held call got a view")
}

// TestRouterOfThePreviousReleaseGetsNoView guards against calls of routers that know no view, which
// would be answered at once again and again.
func TestRouterOfThePreviousReleaseGetsNoView(t *testing.T) {
	c := newCluster(t, 3)
	c.losses = 1
	c.startAll(true)
	c.put(document(1, "routes a"))
	routers := c.newLoadRouters()
	c.drive("the view is not held everywhere", routers, allHold(routers, inTrouble))
	reply, err := c.nodes[0].Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "previous"}})
	require.NoError(t, err)
	require.Nil(t, reply.Load)
	require.Nil(t, reply.LoadAt)
}

// TestARouterAheadOfItsNodeIsNotAnsweredAtOnce guards against a router that holds newer figures
// than the node to which it moved, and calls it in a loop.
func TestARouterAheadOfItsNodeIsNotAnsweredAtOnce(t *testing.T) {
	c := newCluster(t, 3)
	c.losses = 1
	c.startAll(true)
	c.put(document(1, "routes a"))
	routers := c.newLoadRouters()
	c.drive("the view is not held everywhere", routers, allHold(routers, inTrouble))
	ahead := directory.FollowRequest{Router: directory.Router{Name: "ahead"}, Load: &loadview.Report{}, LoadTerm: routers[0].held.View.Term + 1}
	held := false
	for deadline := time.Now().Add(waitTimeout); !held && time.Now().Before(deadline); {
		reply, err := c.nodes[0].Follow(context.Background(), ahead)
		require.NoError(t, err)
		require.NotNil(t, reply.Load, "the figures of the node are sent, for the router to decide")
		held = ahead.Wait > 0 && *reply.Fresh > 0
		ahead.Source, ahead.Revision, ahead.Departures, ahead.Version = reply.Source, reply.Revision, reply.Departures, max(ahead.Version, reply.Version)
		ahead.RoutersDigest, ahead.AbsentDigest, ahead.Wait = reply.RoutersDigest, reply.AbsentDigest, 900*time.Millisecond
	}
	require.True(t, held, "every call was answered at once")
}

// TestANewLeaderContinues guards against routers that admit everything, or whose epochs begin
// anew, when the leader is lost during a shortage.
func TestANewLeaderContinues(t *testing.T) {
	c := newCluster(t, 5)
	log := c.withPlanner()
	c.startAll(true)
	c.put(document(1, "routes a"))
	routers := c.newLoadRouters()
	c.drive("no shortage", routers, allHold(routers, short))
	lost, before := c.leader(), routers[0].held
	require.GreaterOrEqual(t, lost, 0)
	c.stop(lost)
	c.drive("no new leader publishes", routers, allHold(routers, func(view loadview.View) bool { return short(view) && view.Term > before.View.Term }))
	for _, router := range routers {
		require.False(t, router.withoutRoutes, "the shortage ended in between")
	}
	after := routers[0].held
	passed := after.At.Sub(before.At) + before.View.EpochElapsed - after.View.EpochElapsed
	require.InDelta(t, float64(passed)/float64(250*time.Millisecond), float64(after.View.Epoch-before.View.Epoch), 2, "epochs are counted on")
	resumed := log.views()
	require.NotEmpty(t, resumed)
	last := resumed[len(resumed)-1]
	require.True(t, short(last), "the planner continues from %+v", last)
}

// TestALostNodeDoesNotRaiseTheDemand guards against routers that count at the lost node and at
// the next one, which looks like a shortage.
func TestALostNodeDoesNotRaiseTheDemand(t *testing.T) {
	c := newCluster(t, 5)
	log := c.withPlanner()
	c.startAll(true)
	c.put(document(1, "routes a"))
	routers := c.newLoadRouters()
	c.drive("no shortage", routers, allHold(routers, short))
	lost := (c.leader() + 1) % len(c.nodes)
	c.stop(lost)
	c.drive("the routers of the lost node get no view", routers, func() bool {
		return routers[lost].node != lost && routers[lost].held.Weight(time.Now()) == 1 && short(routers[lost].held.View)
	})
	until := time.Now().Add(time.Second)
	c.drive("", routers, func() bool { return time.Now().After(until) })
	require.LessOrEqual(t, log.greatest(), 16.0*float64(len(routers))+0.01)
}

// TestRoutersOfACutOffNodeLoseTheirFigures cuts a node off in one direction: the leader's views
// reach it, but not its summaries the leader. Its routers' demand is then unknown, and the
// figures that it holds must lose their weight although views arrive.
func TestRoutersOfACutOffNodeLoseTheirFigures(t *testing.T) {
	c := newCluster(t, 5)
	const uncut = -1
	// cut is the index of the node that is cut off.
	var cut atomic.Int64
	cut.Store(uncut)
	c.loses = func(_ int, request *http.Request) bool {
		node := int(cut.Load())
		if node == uncut || request.URL.Path != "/peer/load" {
			return false
		}
		body, err := io.ReadAll(request.Body)
		request.Body = io.NopCloser(bytes.NewReader(body))
		return err == nil && bytes.Contains(body, []byte(c.addresses[node]))
	}
	c.startAll(true)
	c.put(document(1, "routes a"))
	routers := c.newLoadRouters()
	c.drive("the view is not held everywhere", routers, allHold(routers, inTrouble))
	leader := c.leader()
	require.GreaterOrEqual(t, leader, 0)
	affected := (leader + 1) % len(c.nodes)
	cut.Store(int64(affected))
	c.drive("the figures keep their weight", routers, func() bool { return routers[affected].held.Weight(time.Now()) == 0 })
	require.Positive(t, routers[leader].held.Weight(time.Now()), "other nodes are not affected")
	cut.Store(uncut)
	c.drive("the figures stay without weight", routers, func() bool { return routers[affected].held.Weight(time.Now()) == 1 })
}

// TestANodeThatMissesViewsGetsThemLater guards against routers that keep entries of a view that was
// followed by an empty one, which is published once, and against a node without views because
// it did not run or could not be reached when they were published.
func TestANodeThatMissesViewsGetsThemLater(t *testing.T) {
	c := newCluster(t, 5)
	c.loses = func(to int, request *http.Request) bool { return to > 0 && request.URL.Path == "/peer/load/view" }
	c.startAll(true)
	c.put(document(1, "routes a"))
	routers := c.newLoadRouters()
	for range 2 {
		c.drive("the view is not held everywhere", routers, allHold(routers, inTrouble))
		for _, router := range routers {
			require.True(t, router.held.At.Before(time.Now()), "valid in the future")
		}
		reported := routers[0].request.Load
		for _, router := range routers {
			router.request.Load = &loadview.Report{}
		}
		c.drive("the empty view is not held everywhere", routers, allHold(routers, loadview.View.Empty))
		for _, router := range routers {
			router.request.Load = reported
		}
	}
}

// TestFiguresExpireWithoutALeader guards against routers that act on figures that nobody updates.
func TestFiguresExpireWithoutALeader(t *testing.T) {
	c := newCluster(t, 3)
	c.losses = 1
	c.withPlanner()
	c.startAll(true)
	c.put(document(1, "routes a"))
	routers := c.newLoadRouters()
	c.drive("no shortage", routers, allHold(routers, short))
	stoppedAt := time.Now()
	c.stop(1)
	c.stop(2)
	c.drive("the figures keep their weight", routers[:1], func() bool { return routers[0].held.Weight(time.Now()) == 0 })
	require.True(t, routers[0].held.At.Before(stoppedAt.Add(time.Second+stopGrace)), "figures without a quorum")
}

// TestRestartOfAllNodes guards against figures of before the restart, and against routers that
// get none after it.
func TestRestartOfAllNodes(t *testing.T) {
	c := newCluster(t, 3)
	c.losses = 1
	c.withPlanner()
	c.startAll(true)
	c.put(document(1, "routes a"))
	routers := c.newLoadRouters()
	c.drive("no shortage", routers, allHold(routers, short))
	before := routers[0].held.View.Term
	for index := range c.nodes {
		c.stop(index)
	}
	c.startAll(false)
	first, err := c.nodes[0].Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "new"}, Load: &loadview.Report{}})
	require.True(t, err != nil || first.Load == nil || first.Load.Term > before, "a view of before the restart")
	c.drive("no view after the restart", routers, allHold(routers, func(view loadview.View) bool { return short(view) && view.Term > before }))
}

// TestReloadOfTheDocumentDuringAShortage guards against a reload that ends the shortage of routes
// that stay, or that the planner does not learn.
func TestReloadOfTheDocumentDuringAShortage(t *testing.T) {
	c := newCluster(t, 3)
	c.losses = 1
	c.withPlanner()
	c.startAll(true)
	c.put(document(1, "routes a"))
	routers := c.newLoadRouters()
	for _, router := range routers {
		router.request.Load.Routes = append(router.request.Load.Routes, loadview.RouteDemand{Route: "b", Offered: 8, Work: 10 * time.Millisecond})
	}
	c.drive("no shortage", routers, allHold(routers, short))
	c.put(document(2, "routes a b"))
	c.drive("the new route is not planned", routers, allHold(routers, func(view loadview.View) bool { return len(view.Routes) == 2 }))
	for _, router := range routers {
		require.False(t, router.withoutRoutes, "the shortage ended in between")
	}
	c.put(document(3, "none"))
	c.drive("routes that are gone stay short", routers, allHold(routers, func(view loadview.View) bool { return !view.Short() }))
	c.drive("no log line", routers, func() bool {
		return c.logs("admission_changed", "after", "1") && c.logs("admission_changed", "after", "0.5")
	})
}

// logs reports whether some node logged a line with a field.
func (c *cluster) logs(message, field, value string) bool {
	for _, hook := range c.logged {
		for _, entry := range hook.AllEntries() {
			if entry.Message == message && fieldText(entry, field) == value {
				return true
			}
		}
	}
	return false
}

func fieldText(entry *logrus.Entry, field string) string {
	if number, ok := entry.Data[field].(float64); ok {
		return strconv.FormatFloat(number, 'g', -1, 64)
	}
	text, _ := entry.Data[field].(string)
	return strings.TrimSpace(text)
}
