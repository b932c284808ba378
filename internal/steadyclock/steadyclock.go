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
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock adds up how long the machine was suspended since the clock was made. It is safe for
// concurrent use.
type Clock struct {
	machine Machine
	started time.Time
	// first is the most that the clocks were apart when the clock was made.
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

// Machine has the two clocks that a Clock compares. Readings may fail.
type Machine interface {
	// Running returns the time that stands still while the machine is suspended.
	Running() (time.Duration, error)
	// SinceBoot returns the time that counts on.
	SinceBoot() (time.Duration, error)
}

// firstReadings is how often a new clock compares those of the machine.
const firstReadings = 8

// New returns a clock that goes by those of a machine.
func New(machine Machine) *Clock {
	made := &Clock{machine: machine, started: time.Now(), first: math.MaxInt64}
	for range firstReadings {
		apart, err := atMostApart(machine)
		if err != nil {
			made.err = err
			return made
		}
		made.first = min(made.first, apart)
	}
	return made
}

// atMostApart returns a bound above what the clocks are apart. The process may wait for a processor
// between two readings: by this bound at first, and the one below later, that wait never counts as a
// suspension.
func atMostApart(machine Machine) (time.Duration, error) {
	running, err := machine.Running()
	if err != nil {
		return 0, err
	}
	sinceBoot, err := machine.SinceBoot()
	return sinceBoot - running, err
}

// atLeastApart returns a bound below what the clocks are apart; see atMostApart.
func atLeastApart(machine Machine) (time.Duration, error) {
	sinceBoot, err := machine.SinceBoot()
	if err != nil {
		return 0, err
	}
	running, err := machine.Running()
	return sinceBoot - running, err
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
	if c.err != nil {
		return
	}
	apart, err := atLeastApart(c.machine)
	if err != nil {
		return
	}
	found := int64(apart - c.first)
	for {
		known := c.suspended.Load()
		// A suspension is long; less than this is not worth a step of the clock.
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

// thisMachine reads CLOCK_MONOTONIC and CLOCK_BOOTTIME (clock_gettime(2)).
type thisMachine struct{}

// Running implements Machine.
func (thisMachine) Running() (time.Duration, error) { return readClock(unix.CLOCK_MONOTONIC) }

// SinceBoot implements Machine.
func (thisMachine) SinceBoot() (time.Duration, error) { return readClock(unix.CLOCK_BOOTTIME) }

func readClock(id int32) (time.Duration, error) {
	var read unix.Timespec
	err := unix.ClockGettime(id, &read)
	return time.Duration(read.Nano()), err
}

// current is the clock of the process.
var current atomic.Pointer[Clock]

func init() { current.Store(New(thisMachine{})) }

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
