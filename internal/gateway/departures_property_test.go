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
	// departureBound is the shortest drain time of any deployment. By then the last request
	// must have reached a server whose departure was acknowledged.
	departureBound = 3 * time.Second
	// servingAfterDeparture is how long a server keeps serving after its departure.
	servingAfterDeparture = 4500 * time.Millisecond
	// faultDuration is how long faults of nodes last.
	faultDuration = 7 * time.Second
	// slowWrite is the duration of a write on a slow disk.
	slowWrite = 1500 * time.Millisecond
)

// departureMethod is how a server leaves.
type departureMethod string

const (
	reportsDraining       departureMethod = "reports draining in its heartbeats"
	deregistersThenReady  departureMethod = "deregisters and keeps reporting ready"
	deregistersThenSilent departureMethod = "deregisters and sends no more heartbeats"
)

var departureMethods = []departureMethod{reportsDraining, deregistersThenReady, deregistersThenSilent}

// nodeFault is a fault that makes a directory node slow.
type nodeFault string

const (
	diskStalls       nodeFault = "disk stalls"
	diskSlow         nodeFault = "disk is slow"
	linkDropsTraffic nodeFault = "link drops traffic"
	nodePaused       nodeFault = "is paused"
)

var nodeFaults = []nodeFault{diskStalls, diskSlow, linkDropsTraffic, nodePaused}

// injectFault makes a node slow until the returned function is called.
func (n *departingNode) injectFault(kind nodeFault) (heal func()) {
	switch kind {
	case diskStalls:
		return n.disk.Stall()
	case diskSlow:
		n.disk.Slow(slowWrite)
		return func() { n.disk.Slow(0) }
	case linkDropsTraffic:
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

// TestNoRequestReachesADepartedServer guards against requests that reach a server later than
// the shortest drain time after its departure was acknowledged, whichever nodes are slow, for
// whatever reason, and however the server leaves. It also guards against ignoring the server's
// next start.
func TestNoRequestReachesADepartedServer(t *testing.T) {
	for offset := range uint64(*departuresSites) {
		seed := *departuresSeed + offset
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			checkDepartures(t, seed)
		})
	}
}

func checkDepartures(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	s := startDepartingSite(t)
	s.install()
	kept := s.addServer("kept", 0, seed)
	var leaving []*departingServer
	for number := range 2 * len(departureMethods) {
		leaving = append(leaving, s.addServer(fmt.Sprint("i", number), int64(number%2)*1700, seed+uint64(number)))
	}
	for _, server := range append(leaving, kept) {
		s.eventually("a server gets no requests", func() bool { return server.arrivals.Load() > 0 })
	}
	defer s.slowTwoNodes(random)()
	time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	for number, server := range leaving {
		method := departureMethods[number%len(departureMethods)]
		t.Logf("%s %s", server.instance.ID, method)
		go s.leave(server, method, rand.New(rand.NewPCG(seed, uint64(number))))
	}
	for _, server := range leaving {
		s.eventually("a departure is not acknowledged", func() bool { return server.acknowledged.Load() > 0 })
	}
	time.Sleep(servingAfterDeparture)
	for _, server := range leaving {
		latest := time.Duration(server.latestRequest.Load())
		require.LessOrEqual(t, latest, departureBound, "a request reached %s", server.instance.ID)
		t.Logf("%s: %d requests, the last one %s after the acknowledgement", server.instance.ID, server.arrivals.Load(), latest)
	}
	for number, server := range leaving {
		server.heartbeatsStopped.Store(true)
		if server.instance.StartedAt > 0 {
			next := s.addServer(registry.NameOf(server.instance.ID), server.instance.StartedAt-1, seed+uint64(number))
			s.eventually("the next start of a server gets no requests", func() bool { return next.arrivals.Load() > 0 })
		}
	}
}

// leave makes a server leave by the given method.
func (s *departingSite) leave(server *departingServer, method departureMethod, random *rand.Rand) {
	if method == reportsDraining {
		server.leaving.Store(true)
		return
	}
	server.heartbeatsStopped.Store(method == deregistersThenSilent)
	startTime := lo.Ternary(random.IntN(2) == 0, server.instance.StartedAt, 0)
	s.deregister(server, startTime, random)
}

// deregister deregisters a server, with a start time or with 0 for none, until a node
// acknowledges it.
func (s *departingSite) deregister(server *departingServer, startTime int64, random *rand.Rand) {
	for s.ctx.Err() == nil && server.acknowledged.Load() == 0 {
		callCtx, cancel := context.WithTimeout(s.ctx, time.Second)
		err := s.call(callCtx, random.IntN(departingNodes), func(ctx context.Context, n *directory.Node) error {
			return n.Depart(ctx, registry.NameOf(server.instance.ID), startTime)
		})
		cancel()
		if err == nil {
			server.acknowledged.Store(time.Now().UnixNano())
		}
	}
}
