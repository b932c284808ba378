package virtual

import (
	"net/netip"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/query"
)

// Foresee returns when the reply to a query sent now would be back at a
// router, given the queue of the server as it stands and the faults to come.
func (w *World) Foresee(router int, address netip.AddrPort, send query.Send) Outlook {
	server, from := w.servers[address], w.routers[router]
	outlook := Outlook{Address: address}
	if server == nil || server.refusal(send.Generation, send.Shard, send.Version) != "" {
		return outlook
	}
	delay := from.delayTo(server)
	used := from.connectionsTo(server)
	if used.busy >= used.open {
		if used.open >= from.connectionShare(server) {
			return outlook
		}
		delay += w.config.ConnectionSetup
	}
	arrival := w.clock.Now() + delay
	start := server.freeAt(arrival)
	end := start + server.serviceTime(send.CallerID, send.Shard, start)
	outlook.Finish = end + from.delayTo(server)
	outlook.OK = slices.Contains(server.versionsAt(arrival), send.Version) &&
		!server.suffers(emulator.FaultDrain, arrival, arrival) && !server.suffers(emulator.FaultCrash, w.clock.Now(), end)
	return outlook
}

// suffers reports whether the script holds a fault of a kind for any moment
// from one to another, both included.
func (s *server) suffers(kind emulator.FaultKind, from, until time.Duration) bool {
	return slices.ContainsFunc(s.faults, func(fault *emulator.Fault) bool {
		return fault.Kind == kind && fault.At <= until && (fault.For == 0 || from <= fault.At+fault.For)
	})
}

// freeAt returns when a query arriving at a moment would begin to run, if
// nothing else arrived before it.
func (s *server) freeAt(arrival time.Duration) time.Duration {
	if len(s.running) < s.slots && len(s.queue) == 0 {
		return arrival
	}
	free := make([]time.Duration, 0, len(s.running))
	for _, run := range s.running {
		free = append(free, min(run.finish, run.attempt.expires))
	}
	for _, waiting := range s.queue {
		first := earliest(free)
		begin := max(free[first], s.world.clock.Now())
		free[first] = begin + s.serviceTime(waiting.attempt.send.CallerID, waiting.attempt.send.Shard, begin)
	}
	return max(arrival, free[earliest(free)])
}

func earliest(times []time.Duration) int {
	first := 0
	for index := range times {
		if times[index] < times[first] {
			first = index
		}
	}
	return first
}
