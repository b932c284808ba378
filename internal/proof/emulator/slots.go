package emulator

import (
	"sync/atomic"

	"github.com/martenstage/martenstage/internal/backendapi"
)

// slots bounds the queries that a server runs at once and those that wait.
type slots struct {
	free    chan struct{}
	queued  atomic.Int64
	maximum int64
}

func newSlots(count, queue int) *slots {
	made := &slots{free: make(chan struct{}, count), maximum: int64(queue)}
	for range count {
		made.free <- struct{}{}
	}
	return made
}

// acquire takes a slot, waiting in the bounded queue if it must. It returns
// the reason of the refusal when there is none: the queue is full, or the
// query ended while it waited.
func (s *slots) acquire(attempt *attempt) backendapi.RefusalReason {
	select {
	case <-s.free:
		return ""
	default:
	}
	if s.queued.Add(1) > s.maximum {
		s.queued.Add(-1)
		return backendapi.RefusalOverloaded
	}
	defer s.queued.Add(-1)
	select {
	case <-s.free:
		return ""
	case <-attempt.gone:
		return backendapi.RefusalCanceled
	case <-attempt.canceled:
		return backendapi.RefusalCanceled
	case <-attempt.expired():
		return backendapi.RefusalDeadline
	}
}

func (s *slots) release() { s.free <- struct{}{} }

// load reports the slots in use and the queries that wait.
func (s *slots) load() backendapi.Load {
	return backendapi.Load{
		InFlight: cap(s.free) - len(s.free),
		Slots:    cap(s.free),
		Queued:   int(s.queued.Load()),
	}
}
