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

// restartPlace is where a server starts again.
type restartPlace string

const (
	atItsAddress   restartPlace = "at its address"
	atAnother      restartPlace = "at another address"
	atAnothersPast restartPlace = "at an address that another server had"
)

var restartPlaces = []restartPlace{atItsAddress, atAnother, atAnothersPast}

// longestRestartPause bounds the time between two starts of a server.
const longestRestartPause = 2500 * time.Millisecond

// restarting is how one server starts again and leaves.
type restarting struct {
	place restartPlace
	pause time.Duration
	// born is the time of the second start, below that of the first where the clock was set back.
	born int64
	way  wayToLeave
	// late is how many heartbeats of the first start come after the second one is known, lateAfter
	// how many after its departure was acknowledged.
	late, lateAfter int
	first, second   *departingServer
}

const restartingBorn = 10_000

func drawRestarting(random *rand.Rand, number int) *restarting {
	return &restarting{
		place: restartPlaces[random.IntN(len(restartPlaces))],
		pause: time.Duration(random.Int64N(int64(longestRestartPause))),
		born:  lo.Ternary(random.IntN(3) == 0, int64(restartingBorn/2), int64(restartingBorn*2)),
		way:   waysToLeave[number%len(waysToLeave)],
		late:  random.IntN(3), lateAfter: random.IntN(2),
	}
}

func (r *restarting) String() string {
	return fmt.Sprintf("%s starts again %s after %s as %d, %d late heartbeats, %s, %d late ones after that",
		r.first.instance.ID, r.place, r.pause.Round(time.Millisecond), r.born, r.late, r.way, r.lateAfter)
}

// TestRequestReachesARestartedServerBesideSlowNodes guards against requests that reach a server later
// than the shortest drain time after its departure was acknowledged, where it had started again before:
// wherever, with any clock, with late heartbeats of the earlier start, whichever nodes are slow.
func TestRequestReachesARestartedServerBesideSlowNodes(t *testing.T) {
	for offset := range uint64(*departuresSites) {
		seed := *departuresSeed + offset
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playRestarts(t, seed)
		})
	}
}

func playRestarts(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, restartedSeed))
	s := startDepartingSite(t)
	s.install()
	s.addServer("kept", 0, seed)
	var restarts []*restarting
	for number := range 2 * len(waysToLeave) {
		drawn := drawRestarting(random, number)
		drawn.first = s.addServer(fmt.Sprint("i", number), restartingBorn, seed+uint64(number))
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
		go s.leave(each.second, each.way, rand.New(rand.NewPCG(seed, uint64(number))))
	}
	for _, each := range restarts {
		s.eventually("a departure is not acknowledged", func() bool { return each.second.acknowledged.Load() > 0 })
		s.lateHeartbeats(each.first, each.lateAfter)
	}
	time.Sleep(departureLife)
	for _, each := range restarts {
		latest := time.Duration(each.second.latest.Load())
		t.Logf("%s: %d requests after the acknowledgement, the last one after %s", each.second.instance.ID, each.second.afterDeparture.Load(), latest)
		require.LessOrEqual(t, latest, departureBound, "a request reached %s", each.second.instance.ID)
	}
	s.startThird(restarts, seed)
}

// slowTwoNodes makes as many nodes slow as may be lost, until they are healed after a while or by
// the returned function.
func (s *departingSite) slowTwoNodes(random *rand.Rand) (heal func()) {
	var heals []func()
	for _, node := range random.Perm(departingNodes)[:departingLosses] {
		kind := slownesses[random.IntN(len(slownesses))]
		s.t.Logf("node %d: %s", node, kind)
		healNode := s.nodes[node].disturb(kind)
		healed := time.AfterFunc(disturbedFor, healNode)
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

// restartAll ends all servers without a word and starts each again after its pause.
func (s *departingSite) restartAll(restarts []*restarting, seed uint64) {
	for _, each := range restarts {
		each.first.crash()
	}
	free := lo.FilterMap(restarts, func(each *restarting, _ int) (string, bool) {
		return each.first.instance.Address, each.place != atItsAddress
	})
	began := time.Now()
	for number, each := range restarts {
		address := each.first.instance.Address
		switch {
		case each.place == atAnother:
			address = testaddress.Next().String()
		case each.place == atAnothersPast && len(free) > 1:
			// The next one's, in a ring of those that move.
			position := lo.IndexOf(free, address)
			address = free[(position+1)%len(free)]
		}
		time.Sleep(time.Until(began.Add(each.pause)))
		each.second = s.serve(s.listenAt(address), registry.NameOf(each.first.instance.ID), each.born, seed+uint64(number))
	}
	for _, each := range restarts {
		s.eventually("no requests for "+each.second.instance.ID, func() bool { return each.second.arrivals.Load() > 0 })
	}
}

// listenAt listens at an address that a server has left.
func (s *departingSite) listenAt(address string) net.Listener {
	var listener net.Listener
	s.eventually("the address is still in use", func() bool {
		var err error
		listener, err = net.Listen("tcp4", address)
		return err == nil
	})
	return listener
}

// startThird starts each server once more, at the address of its second start, whatever clock it has.
func (s *departingSite) startThird(restarts []*restarting, seed uint64) {
	for number, each := range restarts {
		each.second.crash()
		born := lo.Ternary(number%2 == 0, each.born+1, each.born-1)
		third := s.serve(s.listenAt(each.second.instance.Address), registry.NameOf(each.first.instance.ID), born, seed+uint64(number))
		s.eventually("no requests for the next start, "+third.instance.ID, func() bool { return third.arrivals.Load() > 0 })
	}
}
