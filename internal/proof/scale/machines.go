package scale

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/machinelist"
	"github.com/martenstage/martenstage/internal/wait"
)

const (
	// leavingTime is how long a server is listed as leaving, goneTime how long
	// it is then missing from the platform's list.
	leavingTime = 3 * time.Second
	goneTime    = 10 * time.Second
)

// machines stands in for the platform whose list of servers the voters read,
// and restarts servers at the target's rate.
type machines struct {
	standIn   *machinelist.FakePlatform
	addresses []netip.AddrPort
	server    *http.Server
	next      int
	restarted int
}

// serveMachines serves the list of a configuration's servers at an address.
func serveMachines(address string, configuration *Configuration) (*machines, error) {
	addresses := configuration.Addresses()
	standIn := machinelist.NewFakePlatform(machinelist.FakePlatformConfig{Machines: addresses})
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "platform list")
	}
	server := &http.Server{Handler: standIn.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return &machines{standIn: standIn, addresses: addresses, server: server}, nil
}

func (m *machines) close() { _ = m.server.Close() }

// restartsPerSecond is the target's rate of servers that restart, are replaced
// or fail, times a factor. It does not depend on how many servers this run has,
// because the rate decides what spreads to each node.
func restartsPerSecond(speed int64) float64 {
	return float64(endsPerDay) * targetServers / targetMachines * float64(speed) / day.Seconds()
}

// run restarts servers at a rate until the context ends.
func (m *machines) run(ctx context.Context, perSecond float64) {
	if perSecond == 0 {
		return
	}
	var under sync.WaitGroup
	defer under.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		const step = 7907 // a prime, to spread restarts over services
		m.next += step
		address := m.addresses[m.next%len(m.addresses)]
		m.restarted++
		under.Go(func() { m.restart(ctx, address) })
	}
}

func (m *machines) restart(ctx context.Context, address netip.AddrPort) {
	defer m.standIn.Change(address, machinelist.StateLive)
	m.standIn.Change(address, machinelist.StateLeaving)
	if !wait.For(ctx, leavingTime) {
		return
	}
	m.standIn.Change(address, machinelist.StateGone)
	wait.For(ctx, goneTime)
}
