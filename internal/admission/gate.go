package admission

import (
	"time"

	"github.com/martenstage/martenstage/internal/plan"
)

// Fractions of the concurrency limit and of a request's remaining time that a
// priority class may use. Lower classes are refused first: while capacity remains
// for higher ones, and at a shorter queue.
const (
	batchShare       = 0.7
	normalShare      = 0.85
	interactiveShare = 1.0

	// queueShare is the fraction of the remaining time that the expected wait for a
	// free slot may take. The rest is for the work itself and for the error of the
	// estimate.
	queueShare = 0.5
	// maxWaitFactor bounds the expected wait as a multiple of the typical duration of
	// an attempt. A longer queue absorbs no more bursts and only delays every answer
	// while the load lasts.
	maxWaitFactor = 10
)

// Gate bounds the number of requests in flight in one engine.
type Gate struct {
	// MaxInFlight is the maximum number of requests of all classes together.
	MaxInFlight int
}

// Admits reports whether a request of the class is admitted while inFlight requests
// are in flight.
func (g Gate) Admits(priority plan.Priority, inFlight int) bool {
	return float64(inFlight) < share(priority)*float64(g.MaxInFlight)
}

// Expectation is the load that a request finds at the busiest shard that it needs.
type Expectation struct {
	// Wait is the expected wait for a free slot at a replica.
	Wait time.Duration
	// Typical is the typical duration of an attempt.
	Typical time.Duration
}

// Feasible reports whether a request is likely to get a complete answer within the
// time left.
func (g Gate) Feasible(priority plan.Priority, expected Expectation, left time.Duration) bool {
	bound := min(queueShare*float64(left), maxWaitFactor*float64(expected.Typical))
	return float64(expected.Wait) <= share(priority)*bound
}

// InTime reports whether a shard's part is likely to arrive within the time left.
// The expected time includes all waits and the work itself.
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

// Wait estimates how long a new item waits behind ahead others at servers with a
// total of slots, if each item takes the typical time (Little's law).
func Wait(ahead, slots int, typical time.Duration) time.Duration {
	if ahead == 0 || slots == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(slots) * float64(typical))
}
