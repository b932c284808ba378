package admission

import (
	"time"

	"github.com/martenstage/martenstage/internal/plan"
)

// Shares of the concurrency limit and of a request's time that a priority
// class may use. Lower classes give way first: they are refused while there is
// still room, and with a shorter queue, than interactive requests.
const (
	batchShare       = 0.7
	normalShare      = 0.85
	interactiveShare = 1.0

	// queueShare is the part of the time left that waiting for a place may be
	// expected to take. The rest is for the work itself and for the error of
	// the estimate.
	queueShare = 0.5
	// mostQueued bounds the wait as a multiple of the time that an attempt
	// usually takes. A longer queue absorbs no more bursts; it only makes
	// every answer later while the load lasts.
	mostQueued = 10
)

// Gate bounds the requests that are under way in one engine.
type Gate struct {
	// MaxInFlight is the most requests of all classes together.
	MaxInFlight int
}

// Admits reports whether a request of the class may enter while inFlight are
// under way.
func (g Gate) Admits(priority plan.Priority, inFlight int) bool {
	return float64(inFlight) < share(priority)*float64(g.MaxInFlight)
}

// Expectation is what a request meets at the shard that is the busiest of
// those that it needs.
type Expectation struct {
	// Wait is the expected wait for a place at a replica.
	Wait time.Duration
	// Typical is how long an attempt usually takes.
	Typical time.Duration
}

// Feasible reports whether a request has a fair chance to be answered in full
// within the time left.
func (g Gate) Feasible(priority plan.Priority, expected Expectation, left time.Duration) bool {
	bound := min(queueShare*float64(left), mostQueued*float64(expected.Typical))
	return float64(expected.Wait) <= share(priority)*bound
}

// InTime reports whether a shard whose part is expected after a time, all
// waits and the work itself counted, may be counted on within the time left.
func (g Gate) InTime(priority plan.Priority, expected, left time.Duration) bool {
	return float64(expected) <= share(priority)*float64(left)
}

func share(priority plan.Priority) float64 {
	switch priority {
	case plan.PriorityInteractive:
		return interactiveShare
	case plan.PriorityBatch:
		return batchShare
	default:
		return normalShare
	}
}

// Wait estimates how long a new item waits behind others at servers with a
// number of slots, each item taking the typical time (Little's law).
func Wait(ahead, slots int, typical time.Duration) time.Duration {
	if ahead == 0 || slots == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(slots) * float64(typical))
}
