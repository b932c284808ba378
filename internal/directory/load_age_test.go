package directory

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/loadview"
)

// newLoadNode returns a node that only exchanges load figures.
func newLoadNode() *Node {
	node := newTableNode(0)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	node.logger, node.changed, node.load = logger, make(chan struct{}), newNodeLoad()
	return node
}

// TestAViewIsDatedByTheSummary guards against a node that takes a view for fresh which waited in its
// socket buffer while it was suspended, or which a leader sent that no longer hears from it.
func TestAViewIsDatedByTheSummary(t *testing.T) {
	node, sentAt := newLoadNode(), time.Now().Add(-10*time.Second)
	message, due := node.nextSummary(sentAt, "leader")
	require.True(t, due)
	published := publishedView{View: loadview.View{Term: 1, Revision: 1}, Source: "start-0", Sequence: message.Sequence, Elapsed: 300 * time.Millisecond}
	node.acceptView(published)
	require.Zero(t, node.heldView(), "a view for an earlier start of the node")
	published.Source, published.Sequence = message.Source, message.Sequence+1
	node.acceptView(published)
	require.Zero(t, node.heldView(), "a summary that was not sent")
	published.Sequence = message.Sequence
	node.acceptView(published)
	require.Equal(t, sentAt.Add(300*time.Millisecond), node.heldView().At)

	published.View.Revision, published.Elapsed = 2, -time.Second
	node.acceptView(published)
	require.Equal(t, sentAt.Add(-time.Second), node.heldView().At, "published before the summary was received")

	older := published
	older.View.Revision, older.Elapsed = 0, time.Minute
	node.acceptView(older)
	require.Equal(t, uint64(2), node.heldView().View.Revision)

	receivedAt, reply := sentAt.Add(time.Second), FollowReply{}
	require.True(t, node.addLoad(&reply, FollowRequest{Load: &loadview.Report{}}, receivedAt))
	require.Equal(t, -2*time.Second, *reply.LoadAt, "relative to the arrival of the call")
}

// TestSummariesAreSentWhenDue guards against summaries that expire at the leader, and against a
// message for every check.
func TestSummariesAreSentWhenDue(t *testing.T) {
	node, now := newLoadNode(), time.Now()
	sent := func(leader string, after time.Duration) bool {
		_, due := node.nextSummary(now.Add(after), leader)
		if due {
			node.load.lastReceiver = leader
		}
		return due
	}
	require.True(t, sent("one", 0))
	require.False(t, sent("one", 100*time.Millisecond), "unchanged")
	require.True(t, sent("two", 200*time.Millisecond), "another leader")
	node.recordLoad(now.Add(250*time.Millisecond), FollowRequest{Router: Router{Name: "r"}, Load: &loadview.Report{Routes: []loadview.RouteDemand{{Route: "a", Offered: 1}}}})
	require.True(t, sent("two", 300*time.Millisecond), "changed")
	node.load.lastReceiver = ""
	require.True(t, sent("two", 400*time.Millisecond), "not received")
	require.False(t, sent("two", 800*time.Millisecond))
	require.True(t, sent("two", 900*time.Millisecond), "before it expires at the leader")
	for index := range 3 * rememberedSummaries {
		require.True(t, sent("two", time.Duration(index+2)*time.Second))
	}
	require.Len(t, node.load.sentAt, rememberedSummaries)
}

// TestATermContinuesFromTheHeldView guards against epochs that begin anew and against shares that
// routers have stopped acting on.
func TestATermContinuesFromTheHeldView(t *testing.T) {
	now := time.Now()
	view := loadview.View{
		Term: 1, Revision: 9, Epoch: 100, EpochElapsed: 200 * time.Millisecond,
		Routes:   []loadview.RouteState{{Route: "a", Fraction: 0.4}},
		Services: []loadview.ServiceState{{Service: "s", Since: 5 * time.Second}},
	}
	var load leaderLoad
	load.begin(2, now, loadview.Held{View: view, At: now.Add(-time.Second)}, nil)
	next := loadview.View{Term: 2, Revision: load.published.Revision + 1}
	load.setEpoch(&next, now)
	require.Equal(t, uint64(104), next.Epoch)
	require.Equal(t, 200*time.Millisecond, next.EpochElapsed)
	require.Equal(t, 6*time.Second, now.Sub(load.since["s"]))
	require.Equal(t, view.Routes, load.published.Routes)
	require.True(t, next.Newer(view))
	require.True(t, load.due(loadview.View{}, now), "the first view of a term, whatever routers hold")

	load.begin(3, now, loadview.Held{View: view, At: now.Add(-loadview.MaxAge)}, nil)
	require.Empty(t, load.published.Routes)
	load.begin(4, now, loadview.Held{}, nil)
	load.setEpoch(&next, now.Add(600*time.Millisecond))
	require.Equal(t, uint64(2), next.Epoch)
}

// TestAdmissionChangesAreLogged guards against a line for each view, and against changes of exactly
// one step that rounding hides.
func TestAdmissionChangesAreLogged(t *testing.T) {
	load := leaderLoad{logged: make(map[string]float64)}
	changes := func(fractions ...float64) int {
		var view loadview.View
		for _, fraction := range fractions {
			view.Routes = append(view.Routes, loadview.RouteState{Route: "a", Fraction: fraction})
		}
		return len(load.admissionChanges(view))
	}
	require.Equal(t, 1, changes(0.95), "a start")
	require.Zero(t, changes(0.9))
	require.Equal(t, 1, changes(0.5))
	require.Equal(t, 1, changes(0.4))
	require.Zero(t, changes(0.45))
	require.Equal(t, 1, changes(), "an end")
	require.Zero(t, changes())
}

// TestViewsArePublishedWhenDue guards against figures that lose their weight while nothing changes,
// and against a wake of all routers for every change.
func TestViewsArePublishedWhenDue(t *testing.T) {
	now := time.Now()
	services := func(demand float64) loadview.View {
		return loadview.View{Services: []loadview.ServiceState{{Service: "s", Demand: demand, Capacity: 1.5}}}
	}
	load := leaderLoad{published: services(1), publishedAt: now}
	load.published.Revision = 1
	require.False(t, load.due(services(2), now.Add(200*time.Millisecond)))
	require.True(t, load.due(services(2), now.Add(250*time.Millisecond)))
	require.False(t, load.due(services(1.2), now.Add(900*time.Millisecond)), "routers act alike")
	require.True(t, load.due(services(1.2), now.Add(time.Second)))
	require.False(t, load.due(services(1), now.Add(900*time.Millisecond)))
	require.True(t, load.due(services(1), now.Add(time.Second)))
	load.published.Services = nil
	require.False(t, load.due(loadview.View{}, now.Add(time.Minute)), "an empty view is published once")
}
