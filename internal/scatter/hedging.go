package scatter

import (
	"time"

	"github.com/martenstage/martenstage/internal/routing"
)

// Parameters of hedge delays.
const (
	hedgeQuantile = 0.90
	// hedgeFactor multiplies the quantile; hedgeFloor is the minimum delay.
	hedgeFactor = 1.0
	hedgeFloor  = 4 * time.Millisecond
	// hedgeRetryDivisor divides the delay to give the time after which a hedge that was not
	// possible is tried again.
	hedgeRetryDivisor = 4
	// minObservations is how many attempts of a route must have been observed for its quantile
	// to be used.
	minObservations = 30
	// initialHedgeShare of the target is the delay before that.
	initialHedgeShare = 0.4
	defaultHedgeDelay = 100 * time.Millisecond
	// dueHedgeShare of the time until a part is due is the maximum delay, so that a hedge may
	// still be in time when many servers are slow and the quantile is high as well. 0.35
	// performed no better (docs/results/0013).
	dueHedgeShare = 0.5
	// stallFactor times the typical time of a route, and of the work queued ahead at the
	// server, is how long an attempt may be in flight before its server is assumed to be
	// stalled. 2 and 3 performed alike (docs/results/0013).
	stallFactor = 2.0
)

// hedgeDelay is how long an attempt may be in flight before another server is tried.
func (e *Engine) hedgeDelay(route *routing.Route) time.Duration {
	observed := e.histogram(route)
	if observed.Count() >= minObservations {
		return max(hedgeFloor, time.Duration(hedgeFactor*float64(observed.Quantile(hedgeQuantile))))
	}
	if route.Target > 0 {
		return time.Duration(initialHedgeShare * float64(route.Target))
	}
	return defaultHedgeDelay
}

// callHedgeDelay is hedgeDelay for an attempt that is sent now, limited by the time left until
// the part is due.
func (e *Engine) callHedgeDelay(c *call) time.Duration {
	delay := e.hedgeDelay(c.request.route)
	if left := c.request.due.Sub(e.now); left > 0 {
		delay = min(delay, max(hedgeFloor, time.Duration(dueHedgeShare*float64(left))))
	}
	return delay
}

// stallDelay is how long an attempt that is sent now may be in flight before its server is
// assumed to be stalled.
func (e *Engine) stallDelay(route *routing.Route, at *server) time.Duration {
	typical := e.typicalTime(route)
	if typical <= 0 || e.histogram(route).Count() < minObservations {
		return e.hedgeDelay(route)
	}
	ahead := max(1, at.load(e.now)/float64(max(1, at.Slots)))
	return max(hedgeFloor, time.Duration(stallFactor*ahead*float64(typical)))
}

// typicalQuantile of a route's attempts is its typical time; unqueuedQuantile is about the
// time of an attempt that does not queue at its server.
const (
	typicalQuantile  = 0.5
	unqueuedQuantile = 0.25
)

// typicalTime returns the median duration of a route's attempts; 0 if there were none.
func (e *Engine) typicalTime(route *routing.Route) time.Duration {
	return e.histogram(route).Quantile(typicalQuantile)
}

// unqueuedTime returns the approximate duration of an attempt that does not queue at its
// server; 0 while there are too few observations.
func (e *Engine) unqueuedTime(route *routing.Route) time.Duration {
	observed := e.histogram(route)
	if observed.Count() < minObservations {
		return 0
	}
	return observed.Quantile(unqueuedQuantile)
}

// hedge sends an attempt to another server while one is in flight for longer than most.
func (e *Engine) hedge(id AttemptID) {
	a, exists := e.attempts[id]
	if !exists || !e.mayAttempt(a.call) {
		return
	}
	c := a.call
	route := c.request.route
	if len(c.inFlight) > 1 || len(c.tried)-c.unsent >= c.maxAttempts() {
		return
	}
	chosen, found := e.choose(c)
	possible := found == available && chosen.condition(e.now) < suspected && !c.request.mustHold()
	if possible && !e.mayRepeat(c) {
		c.sendOnGrant = true
		return
	}
	if !possible || !e.spendToken(c, hedgeReserve) {
		// Capacity, or a token, may be available a little later.
		again := max(hedgeFloor, e.hedgeDelay(route)/hedgeRetryDivisor)
		e.timers.add(timer{at: e.now.Add(again), kind: timerHedge, attempt: id})
		return
	}
	e.send(c, chosen, true)
}
