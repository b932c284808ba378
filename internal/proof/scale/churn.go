package scale

import (
	"context"
	"math/rand/v2"
	"time"
)

// The daily churn of the target fleet: of 4,500 nodes and 57,000 servers,
// 23,000 are restarted or replaced and 150 fail.
const (
	targetNodes    = 4500
	targetServers  = 57000
	targetMachines = targetNodes + targetServers
	plannedPerDay  = 23000
	failuresPerDay = 150
	endsPerDay     = plannedPerDay + failuresPerDay
	day            = 24 * time.Hour
	// startPace is the time that each first follower of a fleet adds to that
	// over which they all start. Whoever starts is told to all others, so a
	// start of all at once costs the square of their number.
	startPace = 12 * time.Millisecond
)

// churnStep is how often a follower decides whether its end has come.
const churnStep = 250 * time.Millisecond

// ending says how a follower ends.
type ending int

const (
	// endRestart gives the lease back and comes back under the same name.
	endRestart ending = iota + 1
	// endReplacement gives the lease back; another name takes the place.
	endReplacement
	// endFailure just vanishes; another name takes the place later.
	endFailure
)

// absence is how long the place stays empty.
func (e ending) absence() time.Duration {
	const restartTime, failureTime = time.Second, 5 * time.Second
	if e == endFailure {
		return failureTime
	}
	return restartTime
}

// Churn counts how followers ended.
type Churn struct {
	Restarts     int `json:"restarts"`
	Replacements int `json:"replacements"`
	Failures     int `json:"failures"`
	// Servers counts restarts of servers in the platform's list.
	Servers int `json:"servers"`
}

func (f *Fleet) count(ended ending) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch ended {
	case endRestart:
		f.counts.Restarts++
	case endReplacement:
		f.counts.Replacements++
	case endFailure:
		f.counts.Failures++
	}
}

// end is how a follower ends, and for how long its place then stays empty.
type end struct {
	kind    ending
	absence time.Duration
}

func endBy(kind ending) end { return end{kind: kind, absence: kind.absence()} }

// awaitEnd waits until the churn or a fault ends a follower, or the context
// does. Ends of one follower are independent of its age.
func (f *Fleet) awaitEnd(ctx context.Context, own *place, random *rand.Rand) end {
	const perStep = float64(endsPerDay) / targetMachines * float64(churnStep) / float64(day)
	ticker := time.NewTicker(churnStep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return endBy(endRestart)
		case absence := <-own.struck:
			return end{kind: endFailure, absence: absence}
		case <-ticker.C:
		}
		if random.Float64() < perStep*float64(f.churn.Load()) {
			return endBy(drawEnding(random))
		}
	}
}

// drawEnding picks failures at their share, and restarts and replacements
// equally often: the target gives only their sum.
func drawEnding(random *rand.Rand) ending {
	switch drawn := random.IntN(endsPerDay); {
	case drawn < failuresPerDay:
		return endFailure
	case drawn%2 == 0:
		return endRestart
	default:
		return endReplacement
	}
}
