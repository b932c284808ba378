package follower

import (
	"context"
	"time"

	"github.com/martenstage/martenstage/internal/steadyclock"
)

// callTracker numbers calls, so that a waiter can detect that a call sent after
// it started to wait has succeeded, and interrupts held calls. It is guarded by
// the lock of its owner.
type callTracker struct {
	sent      uint64
	completed uint64
	requested uint64
	changed   chan struct{}
	// The call in flight.
	cancel      context.CancelFunc
	sentAt      time.Time
	timer       *time.Timer
	interrupted bool
	// holdable reports whether the server may hold the call in flight. Only such
	// a call may be interrupted, and the next call is not held. Otherwise, where
	// a response takes longer than minInterruptDelay, every call would be
	// interrupted and the lease would lapse.
	holdable            bool
	previousInterrupted bool
}

func newCallTracker() callTracker { return callTracker{changed: make(chan struct{})} }

// begin returns the number of a call that is about to be sent.
func (r *callTracker) begin(now time.Time, cancel context.CancelFunc) uint64 {
	r.sent++
	r.holdable = !r.skipHold()
	r.previousInterrupted = false
	r.cancel = cancel
	r.sentAt = now
	r.interrupted = false
	return r.sent
}

// end records the end of a call and reports whether it was interrupted.
func (r *callTracker) end() bool {
	r.cancel = nil
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
	r.previousInterrupted = r.interrupted
	return r.interrupted
}

// complete records that a call obtained a lease and notifies waiters.
func (r *callTracker) complete(number uint64) {
	r.completed = max(r.completed, number)
	close(r.changed)
	r.changed = make(chan struct{})
}

// request returns the number of the next call to be sent, and interrupts the
// call in flight so that the next one is sent soon.
func (r *callTracker) request() uint64 {
	r.requested = r.sent + 1
	r.interrupt()
	return r.requested
}

// skipHold reports whether the next call must not be held, because a waiter
// needs it or the previous call was interrupted.
func (r *callTracker) skipHold() bool { return r.previousInterrupted || r.requested > r.completed }

// reached reports whether the call with the target number, or a later one, has
// obtained a lease. The channel is closed when the next call does.
func (r *callTracker) reached(target uint64) (bool, <-chan struct{}) {
	return r.completed >= target, r.changed
}

// interrupt cancels the call in flight if it may be held, no earlier than
// minInterruptDelay after it was sent. Between calls nothing has to be done,
// because the next one follows anyway.
func (r *callTracker) interrupt() {
	if r.cancel == nil || r.timer != nil || !r.holdable {
		return
	}
	cancel := r.cancel
	r.interrupted = true
	r.timer = time.AfterFunc(minInterruptDelay-steadyclock.Since(r.sentAt), cancel)
}
