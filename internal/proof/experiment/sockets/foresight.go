package sockets

import (
	"net/netip"
	"sync"
	"time"

	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/query"
)

// foresight predicts when replies will be back. It knows service times and
// faults from the back ends, and their queues from the queries that it was
// told of, so every query must go through it.
type foresight struct {
	fleet     *emulator.Fleet
	zoneDelay time.Duration
	begin     time.Time

	mutex sync.Mutex
	// busy holds, per server, when each query that was sent there ends.
	busy map[netip.AddrPort][]time.Duration
}

func newForesight(fleet *emulator.Fleet, zoneDelay time.Duration) *foresight {
	return &foresight{fleet: fleet, zoneDelay: zoneDelay, begin: time.Now(), busy: map[netip.AddrPort][]time.Duration{}}
}

// Now returns the time that predictions count in.
func (w *World) Now() time.Duration { return time.Since(w.foresight.begin) }

// Foresee returns when the reply to an attempt would be back, or false if the
// server would refuse it.
func (w *World) Foresee(router int, address netip.AddrPort, send query.Send) (time.Duration, bool) {
	w.foresight.mutex.Lock()
	defer w.foresight.mutex.Unlock()
	end, delay, ok := w.foresight.end(w.config.Zones[router], address, send, w.Now())
	return end + delay, ok
}

// Sent tells that an attempt goes to a server.
func (w *World) Sent(router int, address netip.AddrPort, send query.Send) {
	w.foresight.mutex.Lock()
	defer w.foresight.mutex.Unlock()
	if end, _, ok := w.foresight.end(w.config.Zones[router], address, send, w.Now()); ok {
		w.foresight.busy[address] = append(w.foresight.busy[address], end)
	}
}

// end returns when the server will have worked on the attempt, and the delay
// of the way back.
func (f *foresight) end(zone string, address netip.AddrPort, send query.Send, now time.Duration) (end, delay time.Duration, ok bool) {
	server, ok := f.fleet.ServerAt(address)
	if !ok {
		return 0, 0, false
	}
	outlook, ok := server.Foresee(servicetime.Query{Service: send.Service, Request: send.CallerID, Shard: send.Shard},
		send.Generation, send.Version)
	if !ok {
		return 0, 0, false
	}
	if outlook.Zone != zone {
		delay = f.zoneDelay
	}
	pending := f.pending(address, now)
	if len(pending) >= outlook.Slots+outlook.Queue {
		return 0, 0, false
	}
	begin := now + delay
	if len(pending) >= outlook.Slots {
		// Queries end in about the order of their prediction, so the one that
		// frees a slot for this is the slots-th from the back.
		begin = max(begin, pending[len(pending)-outlook.Slots])
	}
	return begin + outlook.ServiceTime, delay, true
}

// pending returns the ends, sorted, of the queries that have not ended yet.
func (f *foresight) pending(address netip.AddrPort, now time.Duration) []time.Duration {
	kept := f.busy[address][:0]
	for _, end := range f.busy[address] {
		if end > now {
			kept = append(kept, end)
		}
	}
	for index := len(kept) - 1; index > 0 && kept[index] < kept[index-1]; index-- {
		kept[index], kept[index-1] = kept[index-1], kept[index]
	}
	f.busy[address] = kept
	return kept
}
