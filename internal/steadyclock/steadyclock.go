// Package steadyclock tells the time by which processes measure ages, leases and deadlines:
// a steady one that also counts while the machine is suspended.
//
// The steady clock of package time (CLOCK_MONOTONIC) stands still then. A machine that was
// suspended for a minute would take a lease that ended long ago for a good one, and what it
// last heard for fresh. Now adds what CLOCK_BOOTTIME has counted beyond it.
//
// Timers, contexts and connections of the standard library go by the clock that stands
// still; Until, WithDeadline and Runtime translate.
package steadyclock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock adds up how long the machine was suspended since the clock was made. It is safe for
// concurrent use.
type Clock struct {
	read    func() (running, sinceBoot time.Duration, err error)
	started time.Time
	// first is what the clocks were apart when the clock was made.
	first time.Duration
	// looked is when the clocks were last read, suspended what was found then, both ns.
	looked    atomic.Int64
	suspended atomic.Int64
	err       error
}

// lookInterval is how long a reading counts: reading both clocks takes 0.1 to 0.3 us, and a
// request asks for the time some hundred times. After a suspension a process believes for
// that long at the most that there was none.
const lookInterval = time.Millisecond

// New returns a clock by a function that reads both clocks of the machine.
func New(read func() (running, sinceBoot time.Duration, err error)) *Clock {
	made := &Clock{read: read, started: time.Now()}
	running, sinceBoot, err := read()
	made.first, made.err = sinceBoot-running, err
	return made
}

// Now returns the time. Its wall clock reading is off by the suspensions since the process
// began: for what a person reads, use time.Now.
func (c *Clock) Now() time.Time {
	now := time.Now()
	at := int64(now.Sub(c.started))
	if passed := at - c.looked.Load(); passed < 0 || passed >= int64(lookInterval) {
		c.look(at)
	}
	return now.Add(time.Duration(c.suspended.Load()))
}

// look reads both clocks. One that can't be read leaves what was found before.
func (c *Clock) look(at int64) {
	c.looked.Store(at)
	running, sinceBoot, err := c.read()
	if err != nil || c.err != nil {
		return
	}
	found := int64(sinceBoot - running - c.first)
	for {
		known := c.suspended.Load()
		// The clocks are read one after the other, so that they are never apart to the ns.
		if found < known+int64(lookInterval) || c.suspended.CompareAndSwap(known, found) {
			return
		}
	}
}

// Suspended returns for how long the machine was suspended since the clock was made.
func (c *Clock) Suspended() time.Duration {
	c.look(int64(time.Since(c.started)))
	return time.Duration(c.suspended.Load())
}

// readMachine reads CLOCK_MONOTONIC and CLOCK_BOOTTIME (clock_gettime(2)).
func readMachine() (running, sinceBoot time.Duration, err error) {
	var steady, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, 0, err
	}
	return time.Duration(steady.Nano()), time.Duration(boot.Nano()), nil
}

// current is the clock of the process.
var current atomic.Pointer[Clock]

func init() { current.Store(New(readMachine)) }

// Replace puts another clock in the place of the process's and returns what takes that back.
// It is for tests, in which the clocks of the machine can't be stepped apart.
func Replace(by *Clock) (restore func()) {
	before := current.Swap(by)
	return func() { current.Store(before) }
}

// Now returns the time; see Clock.Now.
func Now() time.Time { return current.Load().Now() }

// Since returns how long ago a time by Now was.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Until returns how long it is until a time by Now.
func Until(at time.Time) time.Duration { return at.Sub(Now()) }

// Runtime returns the time at which a timer or a connection of the standard library has to
// end for it to end at a time by Now, unless the machine is suspended before.
func Runtime(at time.Time) time.Time { return time.Now().Add(Until(at)) }

// WithDeadline is context.WithDeadline for a time by Now.
func WithDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, Until(at))
}

// watchInterval is how often Watch looks.
const watchInterval = 100 * time.Millisecond

// Watch calls told after each suspension with its length, until the context ends. It
// returns an error at once if the clocks of the machine can't be read, so that suspensions
// are not seen.
func Watch(ctx context.Context, told func(length time.Duration)) error {
	watched := current.Load()
	if watched.err != nil {
		return watched.err
	}
	known := watched.Suspended()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if found := watched.Suspended(); found > known {
				told(found - known)
				known = found
			}
		}
	}
}
