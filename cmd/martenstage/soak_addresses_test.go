package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/proof/testaddress"
)

// The lane of addresses that pass to other processes.
const (
	soakAddressLane = 3
	// soakAddressPause bounds the pause before a fault, soakAddressFault its length, ms.
	soakAddressPause = 1500
	soakAddressFault = 2500
	// soakOtherFirst is the number of the first server of the other site, soakOtherVersion its
	// first version: neither is met at the site under test.
	soakOtherFirst   = 100_000
	soakOtherVersion = 1_000_000
)

// soakPassings are how an address passes: to a router or node of another site while its process is
// down, or to another node of the group, or a node gets a new one. The first two nodes keep their
// addresses between them: they are the seeds of routers that start.
var soakPassings = []string{"stranger at router", "stranger at node", "node moves", "nodes swap"}

// listenOption names the address at which other processes reach one.
const listenOption = "--peer-listen"

// peerAddress returns where a process is told to listen for others.
func (p *soakProcess) peerAddress() string {
	return p.arguments[slices.Index(p.arguments, listenOption)+1]
}

// listenAt has the next start of a process listen elsewhere.
func (p *soakProcess) listenAt(address string) {
	p.arguments = slices.Clone(p.arguments)
	p.arguments[slices.Index(p.arguments, listenOption)+1] = address
}

// startOtherSite starts a site of one node and one router with the shards of the one under test. Its
// router has the name of one of those.
func startOtherSite(t *testing.T) *soakSite {
	other := &soakSite{t: t, folder: t.TempDir(), document: soakDocument, servers: map[string][]*soakServer{}, started: soakOtherFirst, records: soakRecords{reached: map[string]bool{}}}
	other.proposed.Store(soakOtherVersion)
	control, peer := testaddress.Next().String(), testaddress.Next().String()
	other.control = slices.Repeat([]string{control}, *soakNodes)
	other.nodes = []*soakProcess{other.process("d0", "directory", "--seed", peer, "--control-listen", control, listenOption, peer, "--bootstrap",
		"--data-folder", other.dataFolder(0), "--losses", "0", "--heartbeat-interval", soakHeartbeat.String())}
	other.routers = []*soakProcess{other.process("g0", "gateway", "--seed", peer, "--zone", "z0", "--clients-listen", testaddress.Next().String(),
		"--ready-listen", testaddress.Next().String(), listenOption, testaddress.Next().String(), "--stop-limit", soakGrace.String())}
	for _, process := range append(slices.Clone(other.nodes), other.routers...) {
		process.start(t)
	}
	t.Cleanup(other.close)
	for _, service := range soakShards {
		other.addServer(service)
	}
	require.Eventually(t, func() bool { return other.putNext(0) }, soakFormingTime, 100*time.Millisecond, "no document is taken")
	return other
}

// disturbAddresses has addresses pass until the context ends.
func (s *soakSite) disturbAddresses(ctx context.Context, other *soakSite) {
	random := rand.New(rand.NewPCG(*soakSeed, soakAddressLane))
	for ctx.Err() == nil {
		kind, target := soakPassings[random.IntN(len(soakPassings))], random.IntN(1<<20)
		lasts := time.Duration(random.IntN(soakAddressFault)) * time.Millisecond
		time.Sleep(time.Duration(random.IntN(soakAddressPause)) * time.Millisecond)
		began := time.Now()
		s.pass(kind, target, lasts, other)
		s.records.note(func(records *soakRecords) {
			records.troubles = append(records.troubles, soakTroubled{began, time.Now()})
			records.passings++
		})
	}
}

// pass has one address pass.
func (s *soakSite) pass(kind string, target int, lasts time.Duration, other *soakSite) {
	last := s.nodes[len(s.nodes)-1]
	switch kind {
	case "stranger at router":
		s.lend(s.routers[target%len(s.routers)], other.routers[0], lasts)
	case "stranger at node":
		s.lend(s.nodes[target%len(s.nodes)], other.nodes[0], lasts)
	case "node moves":
		defer take(last)()
		last.kill()
		last.listenAt(testaddress.Next().String())
		last.start(s.t)
	case "nodes swap":
		first, second := s.nodes[0], s.nodes[1]
		defer take(first, second)()
		first.kill()
		second.kill()
		former := first.peerAddress()
		first.listenAt(second.peerAddress())
		second.listenAt(former)
		first.start(s.t)
		second.start(s.t)
	}
}

// lend has a process of another site listen at the address of one of this site, which is down
// meanwhile.
func (s *soakSite) lend(own, stranger *soakProcess, lasts time.Duration) {
	defer take(own)()
	home := stranger.peerAddress()
	own.kill()
	stranger.kill()
	stranger.listenAt(own.peerAddress())
	stranger.start(s.t)
	time.Sleep(lasts)
	stranger.kill()
	own.start(s.t)
	stranger.listenAt(home)
	stranger.start(s.t)
}

// countLogged counts the lines of a message in the logs of processes.
func countLogged(t testing.TB, message string, processes ...*soakProcess) (count int) {
	for _, process := range processes {
		text, err := os.ReadFile(process.log.Name())
		require.NoError(t, err)
		count += strings.Count(string(text), "msg="+message)
	}
	return count
}

func TestSoakPassingsDependOnTheirSeedOnly(t *testing.T) {
	draw := func(seed uint64) (drawn []string) {
		random := rand.New(rand.NewPCG(seed, soakAddressLane))
		for range 50 {
			drawn = append(drawn, soakPassings[random.IntN(len(soakPassings))])
		}
		return drawn
	}
	require.Equal(t, draw(7), draw(7))
	require.NotEqual(t, draw(7), draw(8))
	for _, kind := range soakPassings {
		require.Contains(t, fmt.Sprint(draw(7)), kind)
	}
}
