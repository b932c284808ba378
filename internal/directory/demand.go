package directory

import (
	"math"
	"time"
)

// Steps of demand.
const (
	// demandStep is the factor from one step to the next: how many routers gather a
	// shard follows the steps, and each change moves connections.
	demandStep = 2.0
	// demandHold is for how long demand has to stay below a step before a lower one
	// is told: longer than a restart of all routers, after which few calls are made.
	demandHold = 15 * time.Second
)

// demand follows, in steps, how many calls to servers all routers make a second: up at
// once, down only after it was less for some time. The zero value is ready for use; its
// owner guards it.
type demand struct {
	level float64
	// enough is when the level was last needed.
	enough time.Time
}

// follow takes in the calls a second that were counted, and returns the step: none
// below it would hold them.
func (d *demand) follow(now time.Time, calls float64) float64 {
	needed := 0.0
	if calls > 0 {
		needed = math.Pow(demandStep, math.Ceil(math.Log(max(1, calls))/math.Log(demandStep)))
	}
	if needed >= d.level || now.Sub(d.enough) > demandHold {
		d.level, d.enough = needed, now
	}
	return d.level
}
