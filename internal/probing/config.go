package probing

import (
	"cmp"
	"time"
)

// Defaults of Config.
const (
	DefaultInterval      = 250 * time.Millisecond
	DefaultIdlePause     = 1500 * time.Millisecond
	DefaultObservedPause = 4 * time.Second
	DefaultDownPause     = 4 * time.Second
	DefaultRate          = 16
)

const (
	// closeProbingTime is how long a back end is probed at the shortest interval after
	// an external report about it changed. It covers the time for which such a report
	// overrides the back end's own state, see the hold time in package balancer.
	closeProbingTime = 6 * time.Second
	// drainDistrust is how long a back end that refused as draining is probed at the
	// shortest interval while its health endpoint still reports ready, so that even a
	// brief change of the reported state is noticed; see
	// balancer.DefaultDrainDistrust.
	drainDistrust = 5 * time.Minute
	// unreachableAfter is the number of consecutive timed-out probes after which a back
	// end that refused as draining counts as unreachable; see package balancer.
	unreachableAfter = 2
	// downDivisor sets the pause before the next probe of a back end that is down: the
	// time that it has been down, divided by this number.
	downDivisor = 4
	// jitterFraction is the maximum fraction by which a pause is randomly lengthened
	// or shortened.
	jitterFraction = 0.25
)

// Config sets the pauses of a Schedule, before jitter. Zero values mean the
// defaults.
type Config struct {
	// Interval is the shortest pause, used while the state of a back end is
	// uncertain.
	Interval time.Duration
	// IdlePause is the maximum time without an observation of a ready back end.
	IdlePause time.Duration
	// ObservedPause is the maximum pause between probes of a back end whose replies
	// count as observations.
	ObservedPause time.Duration
	// DownPause is the maximum pause between probes of a back end that is
	// unreachable, draining or warming.
	DownPause time.Duration
	// Rate is the number of probes per second that an idle back end gets from all
	// routers together, unless IdlePause requires more.
	Rate float64
}

func (c Config) withDefaults() Config {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.IdlePause = max(cmp.Or(c.IdlePause, DefaultIdlePause), c.Interval)
	c.ObservedPause = max(cmp.Or(c.ObservedPause, DefaultObservedPause), c.IdlePause)
	c.DownPause = max(cmp.Or(c.DownPause, DefaultDownPause), c.Interval)
	c.Rate = cmp.Or(c.Rate, DefaultRate)
	return c
}

// idlePause returns the pause between probes of an idle back end that the given
// number of routers use.
func (c Config) idlePause(routers int) time.Duration {
	shared := time.Duration(float64(routers) / c.Rate * float64(time.Second))
	return min(max(shared, c.Interval), c.IdlePause)
}

// MaxWithJitter returns a pause with the largest positive jitter.
func MaxWithJitter(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (1 + jitterFraction))
}
