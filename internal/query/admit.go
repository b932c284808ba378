package query

import (
	"time"

	"github.com/martenstage/martenstage/internal/admission"
	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Hints for when a caller that was refused may come again. They are spread by
// half, so that callers refused together do not come back together.
const (
	leastRetryAfter = 50 * time.Millisecond
	mostRetryAfter  = 5 * time.Second
	// leaseRetryAfter is about the time in which a lease is renewed.
	leaseRetryAfter = time.Second
)

// leastTimeLeft is the least time to the deadline with which a request is
// taken in: less is gone before a back end has read the query.
const leastTimeLeft = time.Millisecond

// requestArrived admits a request or refuses it at once. The checks are in the
// order of their cost; nothing is kept of a request that is refused.
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
	if refusal := e.refuseAll(); refusal != nil {
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
	if left < leastTimeLeft {
		return nil, verdict.Refuse(verdict.ReasonDeadlineTooShort, "")
	}
	return route, e.refuseForLoad(input, route, left)
}

// refuseAll refuses for reasons that hold for every request.
func (e *Engine) refuseAll() *verdict.Error {
	switch {
	case e.stopping:
		return e.refusal(verdict.ReasonStopping, leastRetryAfter)
	case !e.installed || e.now.After(e.leaseUntil):
		return e.refusal(verdict.ReasonNoLease, leaseRetryAfter)
	default:
		return nil
	}
}

// refuseForLoad refuses a request that there is no room for, or that would
// wait for replicas so long that its deadline is in danger. To refuse it now
// is cheaper for both sides than to fail it later.
func (e *Engine) refuseForLoad(input Request, route *routeView, left time.Duration) *verdict.Error {
	priority := route.Policy.Priority
	if !e.gate.Admits(priority, len(e.requests)) {
		return e.refuseSurge(route, leastRetryAfter)
	}
	if !e.config.Tuning.limited() {
		return nil
	}
	if len(route.moments) > 0 {
		// From its first moment on, a policy may answer without the shards that
		// still wait.
		left = min(left, route.moments[0])
	}
	expected := e.expect(input, route, left)
	if expected.late == 0 && expected.slow <= expected.spared && e.gate.Feasible(priority, expected.busiest, left) {
		return nil
	}
	return e.refuseSurge(route, max(expected.busiest.Wait, expected.latest-left))
}

func (e *Engine) refuseSurge(route *routeView, wait time.Duration) *verdict.Error {
	state := route.service.state
	state.overloadedUntil = e.now.Add(e.config.Tuning.OverloadHold)
	e.record(journal.Event{Kind: journal.KindSurgeRefused, Service: route.service.definition.Name, Detail: route.Name})
	return e.refusal(verdict.ReasonOverloaded, wait)
}

// expectation is how a request would fare at the shards that it needs.
type expectation struct {
	// busiest is the shard with the longest wait for a place.
	busiest admission.Expectation
	// late counts the shards whose part is not expected in time because of what
	// is ahead, and slow those where an attempt itself takes too long. Refusals
	// do not help the latter, of which the policy may spare some. latest is when
	// the last part of both is expected.
	late   int
	slow   int
	spared int
	latest time.Duration
}

// expect finds the longest wait of all shards that the request needs, since
// the slowest one sets its latency, and counts the shards that would be late.
// For these, what is queued at replicas counts as well: a replica that takes
// its time makes a request late though nothing waits here.
func (e *Engine) expect(input Request, route *routeView, left time.Duration) expectation {
	var found expectation
	partitions := route.service.partitions
	if len(partitions) == 0 {
		return found
	}
	newest := partitions[len(partitions)-1]
	first, count := 0, len(newest.Groups)
	if route.Target == plan.TargetKey {
		first, count = ShardOfKey(input.Key, count), 1
	}
	found.spared = int(float64(count) * route.spared)
	for index := first; index < first+count; index++ {
		group := newest.Groups[index]
		ahead := newest.queues[index].Ahead(route.Policy.Priority)
		wait := admission.Wait(ahead, group.Slots(), group.Typical())
		if wait >= found.busiest.Wait {
			found.busiest = admission.Expectation{Wait: wait, Typical: max(group.Typical(), time.Millisecond)}
		}
		if whole := wholeTime(group, ahead); !e.gate.InTime(route.Policy.Priority, whole, left) {
			found.latest = max(found.latest, whole)
			if group.Typical() > left {
				found.slow++
			} else {
				found.late++
			}
		}
	}
	return found
}

// wholeTime is how long a shard's part is expected to take: the wait for a
// place and at the replica, and the attempt itself. It is 0 where nothing is
// ahead: however slow the replicas have become, the next attempt finds out how
// they are now.
func wholeTime(group *balancer.Group, ahead int) time.Duration {
	ahead += group.Queued()
	if ahead == 0 {
		return 0
	}
	return admission.Wait(ahead, group.Slots(), group.Typical()) + group.Typical()
}

// refusal returns an error for a request of which nothing was sent, with a
// hint when to come again.
func (e *Engine) refusal(reason verdict.Reason, wait time.Duration) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: reason, RetryAfter: e.retryAfter(wait)}
}

func (e *Engine) retryAfter(wait time.Duration) time.Duration {
	wait = max(min(wait, mostRetryAfter), leastRetryAfter)
	return wait + time.Duration(e.random.Int64N(int64(wait)/2+1))
}

// refuse answers a request that was not taken in.
func (e *Engine) refuse(input Request, refusal *verdict.Error) {
	e.emit(Respond{Request: input.ID, Answer: Answer{
		Err: refusal, Verdict: refusal.Verdict, ConfigRevision: e.revision,
	}})
}
