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
	// secondStartServingTime is how long the second start serves before it leaves.
	secondStartServingTime = 2 * time.Second
	restartedSeed          = 480
)

// restartedRandom returns the random source for the nodes that a server calls.
func restartedRandom() *rand.Rand { return rand.New(rand.NewPCG(restartedSeed, 2)) }

// restartedServer holds two starts of a server at the same address.
type restartedServer struct {
	first, second *departingServer
}

// restart crashes a server and starts it again with the same name and address.
func (s *departingSite) restart(first *departingServer, startTime int64) restartedServer {
	first.crash()
	time.Sleep(restartPause)
	listener := s.listenAt(first.instance.Address)
	return restartedServer{first: first, second: s.serve(listener, registry.NameOf(first.instance.ID), startTime, restartedSeed)}
}

// lateHeartbeats sends heartbeats of a start that has ended, as if a network partition had
// delayed them.
func (s *departingSite) lateHeartbeats(ended *departingServer, count int) {
	for range count {
		heartbeat := ended.instance
		heartbeat.Sequence = ended.sequence.Add(1)
		for node := range s.nodes {
			callCtx, cancel := context.WithTimeout(s.ctx, time.Second)
			_ = s.call(callCtx, node, func(ctx context.Context, n *directory.Node) error { return n.Heartbeat(ctx, heartbeat) })
			cancel()
		}
	}
}

// TestNoRequestReachesARestartedServerAfterItsDeparture guards against routers that keep
// calling the earlier start of a server. The process that answers them has left under its
// later start.
func TestNoRequestReachesARestartedServerAfterItsDeparture(t *testing.T) {
	const startTime, later, earlier = 10_000, 20_000, 5_000
	cases := map[string]struct {
		startTime int64
		leave     func(s *departingSite, server restartedServer)
	}{
		"reports draining": {later, func(s *departingSite, server restartedServer) { server.second.leaving.Store(true) }},
		"deregisters with its start time": {later, func(s *departingSite, server restartedServer) {
			server.second.heartbeatsStopped.Store(true)
			s.deregister(server.second, later, restartedRandom())
		}},
		"deregisters without a start time": {later, func(s *departingSite, server restartedServer) {
			server.second.heartbeatsStopped.Store(true)
			s.deregister(server.second, 0, restartedRandom())
		}},
		"reports draining, clock was set back": {earlier, func(s *departingSite, server restartedServer) { server.second.leaving.Store(true) }},
		"deregisters with its start time, clock was set back": {earlier, func(s *departingSite, server restartedServer) {
			server.second.heartbeatsStopped.Store(true)
			s.deregister(server.second, earlier, restartedRandom())
		}},
		"reports draining, late heartbeats of the earlier start follow": {later, func(s *departingSite, server restartedServer) {
			server.second.leaving.Store(true)
			s.eventually("not acknowledged", func() bool { return server.second.acknowledged.Load() > 0 })
			s.lateHeartbeats(server.first, 3)
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startDepartingSite(t)
			s.install()
			other := s.addServer("y", startTime, restartedSeed)
			first := s.addServer("x", startTime, restartedSeed)
			for _, server := range []*departingServer{other, first} {
				s.eventually("a server gets no requests", func() bool { return server.arrivals.Load() > 0 })
			}
			server := s.restart(first, test.startTime)
			s.eventually("the second start gets no requests", func() bool { return server.second.arrivals.Load() > 0 })
			time.Sleep(secondStartServingTime)
			test.leave(s, server)
			s.eventually("the departure is not acknowledged", func() bool { return server.second.acknowledged.Load() > 0 })
			time.Sleep(servingAfterDeparture)
			latest := time.Duration(server.second.latestRequest.Load())
			t.Logf("%d requests after the acknowledgement, the last one after %s", server.second.afterDeparture.Load(), latest)
			require.LessOrEqual(t, latest, departureBound)
		})
	}
}

// crash stops a server without deregistering it.
func (d *departingServer) crash() {
	d.heartbeatsStopped.Store(true)
	_ = d.server.Close()
}

// TestLateDepartureOfAnEarlierStartKeepsTheLaterOneInService guards against the opposite: the
// start in use gets no requests because the departure of an earlier start arrived late.
func TestLateDepartureOfAnEarlierStartKeepsTheLaterOneInService(t *testing.T) {
	const startTime, later = 10_000, 20_000
	s := startDepartingSite(t)
	s.install()
	first := s.addServer("x", startTime, restartedSeed)
	s.eventually("a server gets no requests", func() bool { return first.arrivals.Load() > 0 })
	server := s.restart(first, later)
	s.eventually("the second start gets no requests", func() bool { return server.second.arrivals.Load() > 0 })
	first.instance.State = registry.Leaving
	s.lateHeartbeats(first, 1)
	s.deregister(first, startTime, restartedRandom())
	for range 4 {
		time.Sleep(departingHeartbeat)
		served := server.second.arrivals.Load()
		s.eventually("the start in use gets no requests", func() bool { return server.second.arrivals.Load() > served })
	}
}

// TestConnectionsToAReplacedStartAreClosed guards against routers that keep connections to one
// process for each of its starts, and so exceed its connection limit.
func TestConnectionsToAReplacedStartAreClosed(t *testing.T) {
	const startTime, earlier = 10_000, 5_000
	// closedWithin is shorter than the time for which an idle connection is kept.
	const closedWithin = 10 * time.Second
	s := startDepartingSite(t)
	s.install()
	first := s.addServer("x", startTime, restartedSeed)
	s.eventually("a server gets no requests", func() bool { return first.arrivals.Load() > 0 })
	server := s.restart(first, earlier)
	s.eventually("the start with the earlier clock is not recognized as the current one", func() bool {
		return s.everyNode(func(n *departingNode) bool { return n.inUse(server.second.instance.ID) })
	})
	require.Eventually(t, func() bool { return server.second.connections.Load() <= departingRouters }, closedWithin, 10*time.Millisecond)
}

// everyNode reports whether a condition holds at each node.
func (s *departingSite) everyNode(holds func(*departingNode) bool) bool {
	return lo.EveryBy(s.nodes, holds)
}

// inUse reports whether a node lists a start to routers as ready and not replaced.
func (n *departingNode) inUse(id string) bool {
	reply, err := n.Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
	return err == nil && lo.ContainsBy(reply.Instances, func(known registry.Instance) bool {
		return known.ID == id && known.State == registry.Ready && !known.Replaced
	})
}
