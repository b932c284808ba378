package gateway_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/registry"
)

const (
	// restartPause is how long a server is down between two starts.
	restartPause = 300 * time.Millisecond
	// restartedServes is for how long the second start serves before it leaves.
	restartedServes = 2 * time.Second
	restartedSeed   = 480
)

// restartedRandom draws the nodes that a server calls.
func restartedRandom() *rand.Rand { return rand.New(rand.NewPCG(restartedSeed, 2)) }

// restartedServer is the second start of a server at the address of the first.
type restartedServer struct {
	first, second *departingServer
}

// restart ends a server without a word and starts it again under its name at its address.
func (s *departingSite) restart(first *departingServer, born int64) restartedServer {
	first.crash()
	time.Sleep(restartPause)
	listener := s.listenAt(first.instance.Address)
	return restartedServer{first: first, second: s.serve(listener, registry.NameOf(first.instance.ID), born, restartedSeed)}
}

// lateHeartbeats sends heartbeats of a start that has ended, as a cut holds them up.
func (s *departingSite) lateHeartbeats(ended *departingServer, count int) {
	for range count {
		beat := ended.instance
		beat.Sequence = ended.sequence.Add(1)
		for node := range s.nodes {
			calling, cancel := context.WithTimeout(s.ctx, time.Second)
			_ = s.call(calling, node, func(ctx context.Context, n *directory.Node) error { return n.Heartbeat(ctx, beat) })
			cancel()
		}
	}
}

// TestRequestReachesARestartedServerAfterItsDeparture guards against routers that go on with the
// earlier start of a server, which the process answers that has left under its later one.
func TestRequestReachesARestartedServerAfterItsDeparture(t *testing.T) {
	const born, later, earlier = 10_000, 20_000, 5_000
	cases := map[string]struct {
		born  int64
		leave func(s *departingSite, server restartedServer)
	}{
		"says draining": {later, func(s *departingSite, server restartedServer) { server.second.leaving.Store(true) }},
		"deregisters with its time of start": {later, func(s *departingSite, server restartedServer) {
			server.second.silent.Store(true)
			s.deregister(server.second, later, restartedRandom())
		}},
		"deregisters without a time of start": {later, func(s *departingSite, server restartedServer) {
			server.second.silent.Store(true)
			s.deregister(server.second, 0, restartedRandom())
		}},
		"says draining, clock was set back": {earlier, func(s *departingSite, server restartedServer) { server.second.leaving.Store(true) }},
		"deregisters with its time of start, clock was set back": {earlier, func(s *departingSite, server restartedServer) {
			server.second.silent.Store(true)
			s.deregister(server.second, earlier, restartedRandom())
		}},
		"says draining, late heartbeats of the earlier start follow": {later, func(s *departingSite, server restartedServer) {
			server.second.leaving.Store(true)
			s.eventually("not acknowledged", func() bool { return server.second.acknowledged.Load() > 0 })
			s.lateHeartbeats(server.first, 3)
		}},
	}
	for name, played := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startDepartingSite(t)
			s.install()
			other := s.addServer("y", born, restartedSeed)
			first := s.addServer("x", born, restartedSeed)
			for _, server := range []*departingServer{other, first} {
				s.eventually("a server gets no requests", func() bool { return server.arrivals.Load() > 0 })
			}
			server := s.restart(first, played.born)
			s.eventually("the second start gets no requests", func() bool { return server.second.arrivals.Load() > 0 })
			time.Sleep(restartedServes)
			played.leave(s, server)
			s.eventually("the departure is not acknowledged", func() bool { return server.second.acknowledged.Load() > 0 })
			time.Sleep(departureLife)
			latest := time.Duration(server.second.latest.Load())
			t.Logf("%d requests after the acknowledgement, the last one after %s", server.second.afterDeparture.Load(), latest)
			require.LessOrEqual(t, latest, departureBound)
		})
	}
}

// crash ends a server without a word.
func (d *departingServer) crash() {
	d.silent.Store(true)
	_ = d.server.Close()
}

// TestLateDepartureOfAnEarlierStartLeavesTheLaterOneInService guards against the opposite: a start
// in use that gets no requests because an earlier one of its server said that it leaves, and was heard late.
func TestLateDepartureOfAnEarlierStartLeavesTheLaterOneInService(t *testing.T) {
	const born, later = 10_000, 20_000
	s := startDepartingSite(t)
	s.install()
	first := s.addServer("x", born, restartedSeed)
	s.eventually("a server gets no requests", func() bool { return first.arrivals.Load() > 0 })
	server := s.restart(first, later)
	s.eventually("the second start gets no requests", func() bool { return server.second.arrivals.Load() > 0 })
	first.instance.State = registry.Leaving
	s.lateHeartbeats(first, 1)
	s.deregister(first, born, restartedRandom())
	for range 4 {
		time.Sleep(departingHeartbeat)
		served := server.second.arrivals.Load()
		s.eventually("the start in use gets no requests", func() bool { return server.second.arrivals.Load() > served })
	}
}

// TestConnectionsAreKeptToAStartThatIsReplaced guards against routers that hold connections to one
// process for each of its starts, which together are more than it accepts.
func TestConnectionsAreKeptToAStartThatIsReplaced(t *testing.T) {
	const born, earlier = 10_000, 5_000
	// closedWithin is shorter than an idle connection is kept in any case.
	const closedWithin = 10 * time.Second
	s := startDepartingSite(t)
	s.install()
	first := s.addServer("x", born, restartedSeed)
	s.eventually("a server gets no requests", func() bool { return first.arrivals.Load() > 0 })
	server := s.restart(first, earlier)
	s.eventually("the clock that was set back is not seen through", func() bool {
		return s.everyNode(func(n *departingNode) bool { return n.inUse(server.second.instance.ID) })
	})
	require.Eventually(t, func() bool { return server.second.connections.Load() <= departingRouters }, closedWithin, 10*time.Millisecond)
}

// everyNode reports whether something holds at each node.
func (s *departingSite) everyNode(holds func(*departingNode) bool) bool {
	return lo.EveryBy(s.nodes, holds)
}

// inUse reports whether a node tells routers that a start is there and gets work.
func (n *departingNode) inUse(id string) bool {
	reply, err := n.Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
	return err == nil && lo.ContainsBy(reply.Instances, func(known registry.Instance) bool {
		return known.ID == id && known.State == registry.Ready && !known.Replaced
	})
}
