package directory

import (
	"math"
	"time"
)

// Parameters of the demand steps.
const (
	// demandStep is the ratio between two steps. The number of routers that gather a shard
	// depends on the step, and each change of it moves connections.
	demandStep = 2.0
	// demandHold is how long demand must stay below a step before a lower one is reported. It
	// exceeds a restart of all routers, after which few calls are made.
	demandHold = 15 * time.Second
)

// demand tracks, in steps, the rate of calls that all routers make to servers. It rises at once
// and falls only after demandHold. The zero value is ready for use; the owner synchronizes
// access.
type demand struct {
	level float64
	// lastNeeded is when the current level was last needed.
	lastNeeded time.Time
}

// update records the measured calls per second and returns the step, which is at least as high.
func (d *demand) update(now time.Time, calls float64) float64 {
	needed := 0.0
	if calls > 0 {
		needed = math.Pow(demandStep, math.Ceil(math.Log(max(1, calls))/math.Log(demandStep)))
	}
	if needed >= d.level || now.Sub(d.lastNeeded) > demandHold {
		d.level, d.lastNeeded = needed, now
	}
	return d.level
}
