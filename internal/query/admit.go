package query

import (
	"time"

	"github.com/martenstage/martenstage/internal/admission"
	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Bounds of the RetryAfter hint of a refusal. Up to half of the hint is added at
// random, so that callers refused together do not retry together.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// leaseRetryAfter is about the interval at which a lease is renewed.
	leaseRetryAfter = time.Second
)

// minTimeLeft is the minimum time to the deadline for admission: a shorter time is
// used up before a back end has read the query.
const minTimeLeft = time.Millisecond

// requestArrived admits a request or refuses it at once. The checks run in order of
// their cost, and no state is kept for a refused request.
func (e *Engine) requestArrived(input Request) {
	route, refusal := e.admit(input)
	if refusal != nil {
		e.refuse(input, refusal)
		return
	}
	admitted := e.newRequest(input, route)
	if route.Policy.Once {
		e.claim(admitted)
		return
	}
	e.start(admitted)
}

func (e *Engine) admit(input Request) (*routeView, *verdict.Error) {
	if refusal := e.refuseIfNotServing(); refusal != nil {
		return nil, refusal
	}
	route, known := e.routes[input.Route]
	if !known {
		return nil, verdict.Refuse(verdict.ReasonUnknownRoute, input.Route)
	}
	if route.Target == plan.TargetKey && input.Key == "" {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "the route needs a key")
	}
	if _, duplicate := e.requests[input.ID]; duplicate {
		return nil, verdict.Refuse(verdict.ReasonInternal, "request number in use")
	}
	left := deadlineOf(e.now, input, route).Sub(e.now)
	if left <= 0 {
		return nil, verdict.Refuse(verdict.ReasonDeadlinePassed, "")
	}
	if left < minTimeLeft {
		return nil, verdict.Refuse(verdict.ReasonDeadlineTooShort, "")
	}
	return route, e.refuseIfOverloaded(input, route, left)
}

// refuseIfNotServing returns the refusal that applies to every request while the
// engine is stopping or has no configuration or valid lease, or nil.
func (e *Engine) refuseIfNotServing() *verdict.Error {
	switch {
	case e.stopping:
		return e.refusal(verdict.ReasonStopping, minRetryAfter)
	case !e.installed || e.now.After(e.leaseUntil):
		return e.refusal(verdict.ReasonNoLease, leaseRetryAfter)
	default:
		return nil
	}
}

// refuseIfOverloaded refuses a request that exceeds the limit on requests in flight,
// or whose expected wait for replicas endangers its deadline. Refusing it now is
// cheaper for both sides than failing it later.
func (e *Engine) refuseIfOverloaded(input Request, route *routeView, left time.Duration) *verdict.Error {
	priority := route.Policy.Priority
	if !e.gate.Admits(priority, len(e.requests)) {
		return e.refuseOverloaded(route, minRetryAfter)
	}
	if !e.config.Tuning.limited() {
		return nil
	}
	if len(route.elapsedThresholds) > 0 {
		// From the first elapsed threshold on, a policy may answer without the shards
		// that are still waiting.
		left = min(left, route.elapsedThresholds[0])
	}
	predicted := e.estimateLoad(input, route, left)
	if predicted.late == 0 && predicted.slow <= predicted.omittable && e.gate.Feasible(priority, predicted.longestWait, left) {
		return nil
	}
	return e.refuseOverloaded(route, max(predicted.longestWait.Wait, predicted.latest-left))
}

func (e *Engine) refuseOverloaded(route *routeView, wait time.Duration) *verdict.Error {
	state := route.service.state
	state.overloadedUntil = e.now.Add(e.config.Tuning.OverloadHold)
	e.record(journal.Event{Kind: journal.KindSurgeRefused, Service: route.service.definition.Name, Detail: route.Name})
	return e.refusal(verdict.ReasonOverloaded, wait)
}

// loadEstimate predicts how a request would fare at the shards it needs.
type loadEstimate struct {
	// longestWait belongs to the shard with the longest wait for a free slot.
	longestWait admission.Expectation
	// late counts the shards whose part is not expected in time because of queued
	// work, slow those where an attempt alone takes too long. Refusing requests does
	// not help the slow ones; omittable is how many of them the policy can answer
	// without. latest is the longest expected duration among late and slow shards.
	late      int
	slow      int
	omittable int
	latest    time.Duration
}

// estimateLoad finds the longest wait among the shards that the request needs, since
// the slowest shard sets its latency, and counts the shards that would be late. That
// count includes work queued at the replicas: a slow replica makes a request late
// even if nothing waits in this engine.
func (e *Engine) estimateLoad(input Request, route *routeView, left time.Duration) loadEstimate {
	var estimate loadEstimate
	partitions := route.service.partitions
	if len(partitions) == 0 {
		return estimate
	}
	newest := partitions[len(partitions)-1]
	first, count := 0, len(newest.Groups)
	if route.Target == plan.TargetKey {
		first, count = ShardOfKey(input.Key, count), 1
	}
	estimate.omittable = int(float64(count) * route.omittableShare)
	for index := first; index < first+count; index++ {
		group := newest.Groups[index]
		ahead := newest.queues[index].Ahead(route.Policy.Priority)
		wait := admission.Wait(ahead, group.Slots(), group.Typical())
		if wait >= estimate.longestWait.Wait {
			estimate.longestWait = admission.Expectation{Wait: wait, Typical: max(group.Typical(), time.Millisecond)}
		}
		if duration := expectedDuration(group, ahead); !e.gate.InTime(route.Policy.Priority, duration, left) {
			estimate.latest = max(estimate.latest, duration)
			if group.Typical() > left {
				estimate.slow++
			} else {
				estimate.late++
			}
		}
	}
	return estimate
}

// expectedDuration is how long a shard's part is expected to take: the wait for a
// slot, the queue at the replica and the attempt itself. It is 0 if nothing is
// queued: however slow the replicas have become, the next attempt measures their
// present latency.
func expectedDuration(group *balancer.Group, ahead int) time.Duration {
	ahead += group.Queued()
	if ahead == 0 {
		return 0
	}
	return admission.Wait(ahead, group.Slots(), group.Typical()) + group.Typical()
}

// refusal returns the error for a request of which nothing was sent, with a
// RetryAfter hint.
func (e *Engine) refusal(reason verdict.Reason, wait time.Duration) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: reason, RetryAfter: e.retryAfter(wait)}
}

func (e *Engine) retryAfter(wait time.Duration) time.Duration {
	wait = max(min(wait, maxRetryAfter), minRetryAfter)
	return wait + time.Duration(e.random.Int64N(int64(wait)/2+1))
}

// refuse answers a request that was not admitted.
func (e *Engine) refuse(input Request, refusal *verdict.Error) {
	e.emit(Respond{Request: input.ID, Answer: Answer{
		Err: refusal, Verdict: refusal.Verdict, ConfigRevision: e.revision,
	}})
}
