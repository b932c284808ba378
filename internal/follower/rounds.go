package follower

import (
	"context"
	"time"

	"github.com/martenstage/martenstage/internal/steadyclock"
)

// rounds counts calls, so that a waiter can tell when one that was sent after
// it began to wait has succeeded, and interrupts held calls. The owner's lock
// guards it.
type rounds struct {
	sent      uint64
	completed uint64
	wanted    uint64
	changed   chan struct{}
	// The call under way.
	cancel context.CancelFunc
	sentAt time.Time
	timer  *time.Timer
	poked  bool
	// held says that the server may hold the call under way. Only such a call
	// may be cut short, and the one after it is not held: otherwise pokes would
	// cut short one call after the other where an answer takes longer than
	// pokeSpacing, and the lease would lapse.
	held   bool
	prompt bool
}

func newRounds() rounds { return rounds{changed: make(chan struct{})} }

// begin numbers a call that is about to be sent.
func (r *rounds) begin(now time.Time, cancel context.CancelFunc) uint64 {
	r.sent++
	r.held = !r.urgent()
	r.prompt = false
	r.cancel = cancel
	r.sentAt = now
	r.poked = false
	return r.sent
}

// end notes the end of a call and reports whether a poke cut it short.
func (r *rounds) end() bool {
	r.cancel = nil
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
	r.prompt = r.poked
	return r.poked
}

// complete notes that a call brought a lease.
func (r *rounds) complete(number uint64) {
	r.completed = max(r.completed, number)
	close(r.changed)
	r.changed = make(chan struct{})
}

// request returns the number of a call that is not sent yet, and sees to it
// that it is sent soon.
func (r *rounds) request() uint64 {
	r.wanted = r.sent + 1
	r.poke()
	return r.wanted
}

// urgent reports whether the next call must not be held, because somebody waits
// for it or the one before was cut short.
func (r *rounds) urgent() bool { return r.prompt || r.wanted > r.completed }

func (r *rounds) reached(target uint64) (bool, <-chan struct{}) {
	return r.completed >= target, r.changed
}

// poke cuts the call under way short if it may be held, at the earliest
// pokeSpacing after it was sent. Between calls there is nothing to do, as the
// next one is to come.
func (r *rounds) poke() {
	if r.cancel == nil || r.timer != nil || !r.held {
		return
	}
	cancel := r.cancel
	r.poked = true
	r.timer = time.AfterFunc(pokeSpacing-steadyclock.Since(r.sentAt), cancel)
}
