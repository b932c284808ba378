package gateway_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/registry"
)

var (
	departuresSeed  = flag.Uint64("departures.seed", 110, "first seed of the sites whose servers depart")
	departuresSites = flag.Int("departures.sites", 4, "how many of them are played, side by side")
)

const (
	// departureBound is the shortest drain time of any deployment: by then the last request has
	// reached a server whose departure was acknowledged.
	departureBound = 3 * time.Second
	// departureLife is for how long a server serves after its departure.
	departureLife = 4500 * time.Millisecond
	// disturbedFor is for how long nodes are slow.
	disturbedFor = 7 * time.Second
	// slowWrite is what a write takes on a slow disk.
	slowWrite = 1500 * time.Millisecond
)

// wayToLeave is one in which a server leaves.
type wayToLeave string

const (
	leavesDraining wayToLeave = "says draining in its heartbeats"
	leavesReady    wayToLeave = "deregisters and goes on with ready"
	leavesSilent   wayToLeave = "deregisters and is silent"
)

var waysToLeave = []wayToLeave{leavesDraining, leavesReady, leavesSilent}

// slowness of a directory node.
type slowness string

const (
	diskStalls slowness = "disk stalls"
	diskSlow   slowness = "disk is slow"
	linkSilent slowness = "link is silent"
	paused     slowness = "is paused"
)

var slownesses = []slowness{diskStalls, diskSlow, linkSilent, paused}

// disturb makes a node slow until the returned function is called.
func (n *departingNode) disturb(kind slowness) (heal func()) {
	switch kind {
	case diskStalls:
		return n.disk.Stall()
	case diskSlow:
		n.disk.Slow(slowWrite)
		return func() { n.disk.Slow(0) }
	case linkSilent:
		n.link.Silence(true)
		return func() {
			n.link.Silence(false)
			n.link.Reset()
		}
	}
	held := make(chan struct{})
	n.paused.Store(&held)
	return func() {
		n.paused.Store(nil)
		close(held)
	}
}

// TestRequestReachesADepartedServer guards against requests that reach a server later than the
// shortest drain time after its departure was acknowledged, whichever nodes are slow, in which
// way, and however the server leaves; and against leaving out the server's next start.
func TestRequestReachesADepartedServer(t *testing.T) {
	for offset := range uint64(*departuresSites) {
		seed := *departuresSeed + offset
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playDepartures(t, seed)
		})
	}
}

func playDepartures(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	s := startDepartingSite(t)
	s.install()
	kept := s.addServer("kept", 0, seed)
	var leaving []*departingServer
	for number := range 2 * len(waysToLeave) {
		leaving = append(leaving, s.addServer(fmt.Sprint("i", number), int64(number%2)*1700, seed+uint64(number)))
	}
	for _, server := range append(leaving, kept) {
		s.eventually("a server gets no requests", func() bool { return server.arrivals.Load() > 0 })
	}
	defer s.slowTwoNodes(random)()
	time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	for number, server := range leaving {
		way := waysToLeave[number%len(waysToLeave)]
		t.Logf("%s %s", server.instance.ID, way)
		go s.leave(server, way, rand.New(rand.NewPCG(seed, uint64(number))))
	}
	for _, server := range leaving {
		s.eventually("a departure is not acknowledged", func() bool { return server.acknowledged.Load() > 0 })
	}
	time.Sleep(departureLife)
	for _, server := range leaving {
		latest := time.Duration(server.latest.Load())
		require.LessOrEqual(t, latest, departureBound, "a request reached %s", server.instance.ID)
		t.Logf("%s: %d requests, the last one %s after the acknowledgement", server.instance.ID, server.arrivals.Load(), latest)
	}
	for number, server := range leaving {
		server.silent.Store(true)
		if server.instance.Born > 0 {
			next := s.addServer(registry.NameOf(server.instance.ID), server.instance.Born-1, seed+uint64(number))
			s.eventually("the next start of a server gets no requests", func() bool { return next.arrivals.Load() > 0 })
		}
	}
}

// leave has a server leave in one way.
func (s *departingSite) leave(server *departingServer, way wayToLeave, random *rand.Rand) {
	if way == leavesDraining {
		server.leaving.Store(true)
		return
	}
	server.silent.Store(way == leavesSilent)
	born := lo.Ternary(random.IntN(2) == 0, server.instance.Born, 0)
	s.deregister(server, born, random)
}

// deregister tells nodes that a server leaves, by a time of start or with 0 by none, until one
// acknowledges it.
func (s *departingSite) deregister(server *departingServer, born int64, random *rand.Rand) {
	for s.ctx.Err() == nil && server.acknowledged.Load() == 0 {
		calling, cancel := context.WithTimeout(s.ctx, time.Second)
		err := s.call(calling, random.IntN(departingNodes), func(ctx context.Context, n *directory.Node) error {
			return n.Depart(ctx, registry.NameOf(server.instance.ID), born)
		})
		cancel()
		if err == nil {
			server.acknowledged.Store(time.Now().UnixNano())
		}
	}
}
