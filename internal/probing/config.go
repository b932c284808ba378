package probing

import (
	"cmp"
	"time"
)

// Defaults of Config.
const (
	DefaultInterval   = 250 * time.Millisecond
	DefaultIdlePause  = 1500 * time.Millisecond
	DefaultHeardPause = 4 * time.Second
	DefaultDownPause  = 4 * time.Second
	DefaultRate       = 16
)

const (
	// watchTime is how long a back end is probed closely after the word of
	// others about it changed. It covers the time for which such a word
	// outweighs the back end's own, see balancer.DefaultWordHold.
	watchTime = 6 * time.Second
	// distrust is how long a back end that refused as draining, while its health
	// endpoint goes on saying ready, is probed closely, so that a short moment in
	// which the endpoint says something else is seen; see
	// balancer.DefaultDrainDistrust.
	distrust = 5 * time.Minute
	// unreachableAfter is how many lost probes in a row say something about a back
	// end that refused as draining; see package balancer.
	unreachableAfter = 2
	// downPart is the part of the time that a back end has been down for which
	// the next probe waits.
	downPart = 4
	// spread is the part of a pause by which it is made longer or shorter.
	spread = 0.25
)

// Config sets the pauses of a Schedule, before they are spread. Zero values
// mean the defaults.
type Config struct {
	// Interval is the least pause, that of a back end in doubt.
	Interval time.Duration
	// IdlePause is the longest time without an observation of a back end that is
	// ready.
	IdlePause time.Duration
	// HeardPause is the longest pause between two probes of a back end whose
	// replies count as observations.
	HeardPause time.Duration
	// DownPause is the longest pause between two probes of a back end that is
	// unreachable, draining or warming.
	DownPause time.Duration
	// Rate is how many probes a second one idle back end gets from all routers
	// that use it together, unless IdlePause asks for more.
	Rate float64
}

func (c Config) withDefaults() Config {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.IdlePause = max(cmp.Or(c.IdlePause, DefaultIdlePause), c.Interval)
	c.HeardPause = max(cmp.Or(c.HeardPause, DefaultHeardPause), c.IdlePause)
	c.DownPause = max(cmp.Or(c.DownPause, DefaultDownPause), c.Interval)
	c.Rate = cmp.Or(c.Rate, DefaultRate)
	return c
}

// idlePause is the pause of an idle back end that a number of routers use.
func (c Config) idlePause(routers int) time.Duration {
	shared := time.Duration(float64(routers) / c.Rate * float64(time.Second))
	return min(max(shared, c.Interval), c.IdlePause)
}

// Longest returns a pause with the most that spreading adds to it.
func Longest(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (1 + spread))
}
