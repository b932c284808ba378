package scatter

import (
	"time"

	"github.com/martenstage/martenstage/internal/routing"
)

// Hedge delays.
const (
	hedgeQuantile = 0.90
	// hedgeFactor is put on the quantile, hedgeFloor under it.
	hedgeFactor = 1.0
	hedgeFloor  = 4 * time.Millisecond
	// hedgeAgainPart of the delay is waited before a hedge that was not possible is
	// tried again.
	hedgeAgainPart = 4
	// minObservations is how many attempts of a route make its quantile count.
	minObservations = 30
	// firstHedgeShare of the target is the delay before that.
	firstHedgeShare   = 0.4
	defaultHedgeDelay = 100 * time.Millisecond
	// dueHedgeShare of the time until a part is due is waited at the most, so that a
	// hedge may still be in time when many servers are slow and the quantile with
	// them. 0.35 served no better (docs/results/0013).
	dueHedgeShare = 0.5
	// stallFactor times the typical time of a route, and of what waits before it at
	// the server, is how long an attempt may be out before its server is taken to
	// pause. Two and three served alike (docs/results/0013).
	stallFactor = 2.0
)

// hedgeDelay is how long an attempt may be out before another server is asked.
func (e *Engine) hedgeDelay(route *routing.Route) time.Duration {
	observed := e.histogram(route)
	if observed.Count() >= minObservations {
		return max(hedgeFloor, time.Duration(hedgeFactor*float64(observed.Quantile(hedgeQuantile))))
	}
	if route.Target > 0 {
		return time.Duration(firstHedgeShare * float64(route.Target))
	}
	return defaultHedgeDelay
}

// callHedgeDelay is hedgeDelay for an attempt that is sent now, cut by the time
// that is left until the part is due.
func (e *Engine) callHedgeDelay(called *call) time.Duration {
	delay := e.hedgeDelay(called.request.route)
	if left := called.request.due.Sub(e.now); left > 0 {
		delay = min(delay, max(hedgeFloor, time.Duration(dueHedgeShare*float64(left))))
	}
	return delay
}

// patience is how long an attempt that is sent now may be out before its server is
// taken to pause.
func (e *Engine) patience(route *routing.Route, at *server) time.Duration {
	typical := e.typical(route)
	if typical <= 0 || e.histogram(route).Count() < minObservations {
		return e.hedgeDelay(route)
	}
	ahead := max(1, at.load(e.now)/float64(max(1, at.Slots)))
	return max(hedgeFloor, time.Duration(stallFactor*ahead*float64(typical)))
}

// typicalQuantile of a route's attempts is its typical time; quickQuantile is about
// the time of one that waits for nothing at its server.
const (
	typicalQuantile = 0.5
	quickQuantile   = 0.25
)

// typical returns the typical time of a route's attempts; 0 if there were none.
func (e *Engine) typical(route *routing.Route) time.Duration {
	return e.histogram(route).Quantile(typicalQuantile)
}

// quickest returns about the time of an attempt that waits for nothing at its
// server; 0 while too few were observed.
func (e *Engine) quickest(route *routing.Route) time.Duration {
	observed := e.histogram(route)
	if observed.Count() < minObservations {
		return 0
	}
	return observed.Quantile(quickQuantile)
}

// hedge asks another server while an attempt is out for longer than most are.
func (e *Engine) hedge(id AttemptID) {
	out, exists := e.attempts[id]
	if !exists || out.call.settled {
		return
	}
	called := out.call
	route := called.request.route
	if len(called.live) > 1 || len(called.tried)-called.unsent >= called.maxAttempts() {
		return
	}
	chosen, found := e.choose(called)
	possible := found == available && chosen.condition(e.now) < doubted && !called.request.holds()
	if possible && !e.mayRepeat(called) {
		called.claimDue = true
		return
	}
	if !possible || !e.pay(called, hedgeReserve) {
		// There may be room, or a token, a little later.
		again := max(hedgeFloor, e.hedgeDelay(route)/hedgeAgainPart)
		e.timers.add(timer{at: e.now.Add(again), kind: timerHedge, attempt: id})
		return
	}
	e.send(called, chosen, true)
}
