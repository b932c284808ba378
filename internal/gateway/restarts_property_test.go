package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/registry"
)

// restartLocation is the address at which a server starts again.
type restartLocation string

const (
	sameAddress         restartLocation = "at the same address"
	newAddress          restartLocation = "at another address"
	otherServersAddress restartLocation = "at another server's former address"
)

var restartLocations = []restartLocation{sameAddress, newAddress, otherServersAddress}

// longestRestartPause bounds the time between two starts of a server.
const longestRestartPause = 2500 * time.Millisecond

// restarting describes how a server starts again and leaves.
type restarting struct {
	location restartLocation
	pause    time.Duration
	// startTime is that of the second start; it is lower than that of the first where the
	// clock was set back.
	startTime int64
	method    departureMethod
	// late is how many heartbeats of the first start arrive after the second one is known,
	// lateAfter how many after its departure was acknowledged.
	late, lateAfter int
	first, second   *departingServer
}

const firstStartTime = 10_000

func drawRestarting(random *rand.Rand, number int) *restarting {
	return &restarting{
		location:  restartLocations[random.IntN(len(restartLocations))],
		pause:     time.Duration(random.Int64N(int64(longestRestartPause))),
		startTime: lo.Ternary(random.IntN(3) == 0, int64(firstStartTime/2), int64(firstStartTime*2)),
		method:    departureMethods[number%len(departureMethods)],
		late:      random.IntN(3), lateAfter: random.IntN(2),
	}
}

func (r *restarting) String() string {
	return fmt.Sprintf("%s starts again %s after %s as %d, %d late heartbeats, %s, %d late ones after that",
		r.first.instance.ID, r.location, r.pause.Round(time.Millisecond), r.startTime, r.late, r.method, r.lateAfter)
}

// TestRequestReachesARestartedServerBesideSlowNodes guards against requests that reach a
// restarted server later than the shortest drain time after its departure was acknowledged: at
// any address, with any clock, with late heartbeats of the earlier start, and whichever nodes
// are slow.
func TestRequestReachesARestartedServerBesideSlowNodes(t *testing.T) {
	for offset := range uint64(*departuresSites) {
		seed := *departuresSeed + offset
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			checkRestarts(t, seed)
		})
	}
}

func checkRestarts(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, restartedSeed))
	s := startDepartingSite(t)
	s.install()
	s.addServer("kept", 0, seed)
	var restarts []*restarting
	for number := range 2 * len(departureMethods) {
		drawn := drawRestarting(random, number)
		drawn.first = s.addServer(fmt.Sprint("i", number), firstStartTime, seed+uint64(number))
		restarts = append(restarts, drawn)
	}
	for _, each := range restarts {
		s.eventually("a server gets no requests", func() bool { return each.first.arrivals.Load() > 0 })
	}
	slowBefore := random.IntN(2) == 0
	if slowBefore {
		defer s.slowTwoNodes(random)()
	}
	s.restartAll(restarts, seed)
	if !slowBefore {
		defer s.slowTwoNodes(random)()
	}
	for number, each := range restarts {
		t.Log(each)
		s.lateHeartbeats(each.first, each.late)
		go s.leave(each.second, each.method, rand.New(rand.NewPCG(seed, uint64(number))))
	}
	for _, each := range restarts {
		s.eventually("a departure is not acknowledged", func() bool { return each.second.acknowledged.Load() > 0 })
		s.lateHeartbeats(each.first, each.lateAfter)
	}
	time.Sleep(servingAfterDeparture)
	for _, each := range restarts {
		latest := time.Duration(each.second.latestRequest.Load())
		t.Logf("%s: %d requests after the acknowledgement, the last one after %s", each.second.instance.ID, each.second.afterDeparture.Load(), latest)
		require.LessOrEqual(t, latest, departureBound, "a request reached %s", each.second.instance.ID)
	}
	s.startThird(restarts, seed)
}

// slowTwoNodes makes as many nodes slow as the group tolerates losing, until faultDuration has
// passed or the returned function is called.
func (s *departingSite) slowTwoNodes(random *rand.Rand) (heal func()) {
	var heals []func()
	for _, node := range random.Perm(departingNodes)[:departingLosses] {
		kind := nodeFaults[random.IntN(len(nodeFaults))]
		s.t.Logf("node %d: %s", node, kind)
		healNode := s.nodes[node].injectFault(kind)
		healed := time.AfterFunc(faultDuration, healNode)
		heals = append(heals, func() {
			if healed.Stop() {
				healNode()
			}
		})
	}
	return func() {
		for _, each := range heals {
			each()
		}
	}
}

// restartAll crashes all servers and starts each again after its pause.
func (s *departingSite) restartAll(restarts []*restarting, seed uint64) {
	for _, each := range restarts {
		each.first.crash()
	}
	free := lo.FilterMap(restarts, func(each *restarting, _ int) (string, bool) {
		return each.first.instance.Address, each.location != sameAddress
	})
	began := time.Now()
	for number, each := range restarts {
		address := each.first.instance.Address
		switch {
		case each.location == newAddress:
			address = testaddress.Next().String()
		case each.location == otherServersAddress && len(free) > 1:
			// The address of the next server in the ring of those that move.
			position := lo.IndexOf(free, address)
			address = free[(position+1)%len(free)]
		}
		time.Sleep(time.Until(began.Add(each.pause)))
		each.second = s.serve(s.listenAt(address), registry.NameOf(each.first.instance.ID), each.startTime, seed+uint64(number))
	}
	for _, each := range restarts {
		s.eventually("no requests for "+each.second.instance.ID, func() bool { return each.second.arrivals.Load() > 0 })
	}
}

// listenAt listens at the address of a stopped server.
func (s *departingSite) listenAt(address string) net.Listener {
	var listener net.Listener
	s.eventually("the address is still in use", func() bool {
		var err error
		listener, err = net.Listen("tcp4", address)
		return err == nil
	})
	return listener
}

// startThird starts each server a third time, at the address of its second start, with a later
// or an earlier clock.
func (s *departingSite) startThird(restarts []*restarting, seed uint64) {
	for number, each := range restarts {
		each.second.crash()
		startTime := lo.Ternary(number%2 == 0, each.startTime+1, each.startTime-1)
		third := s.serve(s.listenAt(each.second.instance.Address), registry.NameOf(each.first.instance.ID), startTime, seed+uint64(number))
		s.eventually("no requests for the next start, "+third.instance.ID, func() bool { return third.arrivals.Load() > 0 })
	}
}
