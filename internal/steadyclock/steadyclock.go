// Package steadyclock provides the clock by which processes measure ages, leases and
// deadlines: a monotonic clock that also advances while the machine is suspended.
//
// The monotonic clock of package time (CLOCK_MONOTONIC) stops during a suspension. After a
// suspension of a minute, a process would take an expired lease for valid and its last
// received data for fresh. Now therefore adds the time by which CLOCK_BOOTTIME is ahead.
//
// Timers, contexts and connections of the standard library use the monotonic clock that
// stops; Until, WithDeadline and RuntimeDeadline convert to it.
package steadyclock

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock that includes the time for which the machine was suspended
// since the Clock was created. It is safe for concurrent use.
type Clock struct {
	source  Machine
	started time.Time
	// initialOffset is an upper bound of the offset between the two clocks of the source
	// when the Clock was created.
	initialOffset time.Duration
	// lastRead is when the clocks were last read, as time since started, and suspended is the
	// total suspension measured so far, both in ns.
	lastRead  atomic.Int64
	suspended atomic.Int64
	err       error
}

// readInterval is how long a reading of the clocks is reused: reading both takes 0.1 to
// 0.3 us, and a request needs the time about a hundred times. A suspension is noticed at most
// this long after it ended.
const readInterval = time.Millisecond

// Machine provides the two clocks that a Clock compares. Reading them may fail.
type Machine interface {
	// Monotonic returns the clock that stops while the machine is suspended.
	Monotonic() (time.Duration, error)
	// BootTime returns the clock that advances during suspensions.
	BootTime() (time.Duration, error)
}

// initialReadings is the number of readings from which New takes the lowest offset.
const initialReadings = 8

// New returns a Clock that is based on the clocks of a machine.
func New(machine Machine) *Clock {
	created := &Clock{source: machine, started: time.Now(), initialOffset: math.MaxInt64}
	for range initialReadings {
		offset, err := offsetUpperBound(machine)
		if err != nil {
			created.err = err
			return created
		}
		created.initialOffset = min(created.initialOffset, offset)
	}
	return created
}

// offsetUpperBound returns an upper bound of the offset between the clocks. The process may be
// descheduled between the two readings. As New uses the upper bound and later readings use the
// lower bound, such a delay never counts as a suspension.
func offsetUpperBound(machine Machine) (time.Duration, error) {
	running, err := machine.Monotonic()
	if err != nil {
		return 0, err
	}
	sinceBoot, err := machine.BootTime()
	return sinceBoot - running, err
}

// offsetLowerBound returns a lower bound of the offset between the clocks; see
// offsetUpperBound.
func offsetLowerBound(machine Machine) (time.Duration, error) {
	sinceBoot, err := machine.BootTime()
	if err != nil {
		return 0, err
	}
	running, err := machine.Monotonic()
	return sinceBoot - running, err
}

// Now returns the current time. Its wall clock reading is ahead by the suspensions since the
// Clock was created; use time.Now for times that are shown to people.
func (c *Clock) Now() time.Time {
	now := time.Now()
	elapsed := int64(now.Sub(c.started))
	if sinceRead := elapsed - c.lastRead.Load(); sinceRead < 0 || sinceRead >= int64(readInterval) {
		c.update(elapsed)
	}
	return now.Add(time.Duration(c.suspended.Load()))
}

// update reads both clocks and raises the measured suspension. If a clock can't be read, the
// previous value stays.
func (c *Clock) update(elapsed int64) {
	c.lastRead.Store(elapsed)
	if c.err != nil {
		return
	}
	offset, err := offsetLowerBound(c.source)
	if err != nil {
		return
	}
	suspended := int64(offset - c.initialOffset)
	for {
		known := c.suspended.Load()
		// Suspensions are long; smaller differences do not justify a step of the clock.
		if suspended < known+int64(readInterval) || c.suspended.CompareAndSwap(known, suspended) {
			return
		}
	}
}

// Suspended returns how long the machine was suspended since the Clock was created.
func (c *Clock) Suspended() time.Duration {
	c.update(int64(time.Since(c.started)))
	return time.Duration(c.suspended.Load())
}

// systemClocks reads CLOCK_MONOTONIC and CLOCK_BOOTTIME (clock_gettime(2)).
type systemClocks struct{}

// Monotonic implements Machine.
func (systemClocks) Monotonic() (time.Duration, error) { return readClock(unix.CLOCK_MONOTONIC) }

// BootTime implements Machine.
func (systemClocks) BootTime() (time.Duration, error) { return readClock(unix.CLOCK_BOOTTIME) }

func readClock(id int32) (time.Duration, error) {
	var read unix.Timespec
	err := unix.ClockGettime(id, &read)
	return time.Duration(read.Nano()), err
}

// current is the clock of the process.
var current atomic.Pointer[Clock]

func init() { current.Store(New(systemClocks{})) }

// Replace replaces the clock of the process and returns a function that restores it. It is
// for tests, which can't suspend the machine.
func Replace(replacement *Clock) (restore func()) {
	previous := current.Swap(replacement)
	return func() { current.Store(previous) }
}

// Now returns the current time; see Clock.Now.
func Now() time.Time { return current.Load().Now() }

// Since returns the time elapsed since a time obtained from Now.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Until returns the duration until a time on the clock of Now.
func Until(at time.Time) time.Duration { return at.Sub(Now()) }

// RuntimeDeadline converts a time on the clock of Now to a deadline for timers and connections of the
// standard library. The deadline is late if the machine is suspended before it.
func RuntimeDeadline(at time.Time) time.Time { return time.Now().Add(Until(at)) }

// WithDeadline is context.WithDeadline for a time on the clock of Now.
func WithDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, Until(at))
}

// watchPollInterval is how often Watch checks for a suspension.
const watchPollInterval = 100 * time.Millisecond

// Watch calls onSuspension after each suspension with its length, until the context is
// canceled. It returns an error immediately if the clocks could not be read when the Clock
// was created, because suspensions then go undetected.
func Watch(ctx context.Context, onSuspension func(length time.Duration)) error {
	clock := current.Load()
	if clock.err != nil {
		return clock.err
	}
	known := clock.Suspended()
	ticker := time.NewTicker(watchPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if suspended := clock.Suspended(); suspended > known {
				onSuspension(suspended - known)
				known = suspended
			}
		}
	}
}
