package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

// The lane of disks and departures.
const (
	soakStorageLane = 2
	// soakStoragePause bounds the pause before a fault, soakStorageFault its length, ms.
	soakStoragePause = 800
	soakStorageFault = 4000
	// soakClockBack is by how much a server's clock is set back before its next start.
	soakClockBack = time.Hour
)

// soakDisks are what befalls the disk of a directory node.
var soakDisks = []string{"stall", "slow 100ms", "slow 800ms", "full"}

// soakWay is one in which a server leaves.
type soakWay string

const (
	soakDrains       soakWay = "draining"
	soakDeregisters  soakWay = "deregistered, still ready"
	soakFallsSilent  soakWay = "deregistered, silent"
	soakGarbledWords soakWay = "deregistered, garbled"
)

var soakWays = []soakWay{soakDrains, soakDeregisters, soakFallsSilent, soakGarbledWords}

// soakDeparture is a server that keeps its name, leaves in a way and starts again.
type soakDeparture struct {
	service string
	way     soakWay
	// names says that the departure names the start.
	names bool
}

func drawDeparture(random *rand.Rand) soakDeparture {
	return soakDeparture{
		service: soakShards[random.IntN(len(soakShards))], way: soakWays[random.IntN(len(soakWays))], names: random.IntN(2) == 0,
	}
}

// disturbStorage plays faults of disks, one after the other, and beside them departures, until
// the context ends.
func (s *soakSite) disturbStorage(ctx context.Context, lane int) {
	random := rand.New(rand.NewPCG(*soakSeed, uint64(lane)))
	departing := make(chan struct{})
	go func() {
		defer close(departing)
		departures := rand.New(rand.NewPCG(*soakSeed, uint64(lane)+1))
		for ctx.Err() == nil {
			s.depart(drawDeparture(departures))
		}
	}()
	for ctx.Err() == nil {
		node, disk := s.nodes[random.IntN(len(s.nodes))], soakDisks[random.IntN(len(soakDisks))]
		time.Sleep(time.Duration(random.IntN(soakStoragePause)) * time.Millisecond)
		s.disturbDisk(node, disk, time.Duration(random.IntN(soakStorageFault))*time.Millisecond)
	}
	<-departing
}

// disturbDisk has a fault of a node's disk last for a time.
func (s *soakSite) disturbDisk(node *soakProcess, disk string, lasting time.Duration) {
	s.storage.Lock()
	defer s.storage.Unlock()
	began := time.Now()
	require.NoError(s.t, os.WriteFile(node.diskFaults(), []byte(disk), 0o600))
	time.Sleep(lasting)
	require.NoError(s.t, os.WriteFile(node.diskFaults(), nil, 0o600))
	s.records.note(func(records *soakRecords) {
		records.troubles = append(records.troubles, soakTroubled{began, time.Now()})
		records.disks++
	})
}

// depart starts a server, has it leave in a way, and starts it again under its name with an
// earlier time of start, which is served as well.
func (s *soakSite) depart(departure soakDeparture) {
	number := s.nextNumber()
	first := s.startNamed(departure.service, number, time.Now().UnixMilli())
	defer first.stop()
	s.awaitArrival(first, "a server that keeps its name")
	s.leaveBy(first, departure)
	time.Sleep(soakDrainBound + time.Second)
	first.silent.Store(true)
	next := s.startNamed(departure.service, number, first.born-soakClockBack.Milliseconds())
	defer next.stop()
	s.awaitArrival(next, fmt.Sprintf("the next start of a server that left (%s)", departure.way))
	s.leaveBy(next, soakDeparture{service: departure.service, way: soakDrains})
	time.Sleep(soakDrainBound)
}

// leaveBy has a server leave and waits for the acknowledgement.
func (s *soakSite) leaveBy(server *soakServer, departure soakDeparture) {
	if departure.way == soakDrains {
		server.leaving.Store(true)
	} else {
		server.silent.Store(departure.way == soakFallsSilent)
		go server.deregister(departure)
	}
	select {
	case <-server.left:
	case <-time.After(soakRecoveryTime):
		if departure.way != soakFallsSilent || departure.names || !s.nodesStartedSince(server.heard.Load()) {
			s.t.Errorf("the departure of %s is not acknowledged (%s)", server.start(), departure.way)
		}
	}
}

// nodesStartedSince reports whether each node has started since a time, Unix ns: none of them has heard of
// a server that is silent since, whose departure is refused where it names no start.
func (s *soakSite) nodesStartedSince(at int64) bool {
	return lo.EveryBy(s.nodes, func(node *soakProcess) bool { return node.begun.Load() > at })
}

// deregister says that the server is gone until that is acknowledged, or the soak ends.
func (r *soakServer) deregister(departure soakDeparture) {
	client := &http.Client{Timeout: soakBeatPatience}
	defer client.CloseIdleConnections()
	var body []byte
	switch {
	case departure.way == soakGarbledWords:
		body = []byte(`{"born":"`)
	case departure.names:
		body = fmt.Appendf(nil, `{"born":%d}`, r.born)
	}
	for ended := time.Now().Add(soakRecoveryTime); time.Now().Before(ended); time.Sleep(soakHeartbeat) {
		if r.tell(client, "deregister", body) {
			r.noteLeft()
			return
		}
	}
}

// awaitArrival waits until a server was sent a request.
func (s *soakSite) awaitArrival(server *soakServer, what string) {
	arrived := func() (found bool) {
		s.records.note(func(records *soakRecords) { found = records.reached[server.start()] })
		return found
	}
	for ended := time.Now().Add(soakRecoveryTime); !arrived(); time.Sleep(soakPace) {
		if time.Now().After(ended) {
			s.t.Errorf("%s gets no requests: %s", what, server.start())
			return
		}
	}
}

func TestSoakDeparturesDependOnTheirSeedOnly(t *testing.T) {
	draw := func(seed uint64) (drawn []soakDeparture) {
		random := rand.New(rand.NewPCG(seed, soakStorageLane))
		for range 50 {
			drawn = append(drawn, drawDeparture(random))
		}
		return drawn
	}
	require.Equal(t, draw(7), draw(7))
	require.NotEqual(t, draw(7), draw(8))
	for _, way := range soakWays {
		require.Contains(t, fmt.Sprint(draw(7)), string(way))
	}
}
