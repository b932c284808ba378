package scatter

import (
	"cmp"
	"maps"
	"slices"
)

// enqueue lets a call wait in the queue of its service.
func (c *call) enqueue() {
	c.waiting = true
	c.group.waiting = append(c.group.waiting, c)
}

// await lets a call wait for room, or for a server to be known.
func (e *Engine) await(called *call, found availability) {
	e.note(called, Step{Kind: StepWaits})
	called.enqueue()
	if found == absent {
		e.timers.add(timer{at: called.request.arrived.Add(absentPatience), kind: timerRoom, service: called.group.service})
	}
}

// canSpare reports whether a shard whose servers just refused work for want of
// room can be left out of an answer, so that what it still does goes to requests
// that need it.
func (e *Engine) canSpare(called *call) bool {
	waiting := called.request
	if !waiting.route.Gathers() || !called.group.full(e.now) {
		return false
	}
	missing := 0
	for _, other := range waiting.calls {
		if other.settled && other.part == nil {
			missing++
		}
	}
	return share(len(waiting.calls)-missing-1, len(waiting.calls)) >= waiting.route.LeastShare
}

// serveWaiting sends what waits wherever there is room now.
func (e *Engine) serveWaiting() {
	for _, service := range slices.Sorted(maps.Keys(e.groups)) {
		e.serveGroup(service)
	}
}

// serveGroup sends calls of a service that wait for room: first those whose
// requests can still be answered within their targets, since an answer after it
// is worth little and a queue longer than the target would make all late; then by
// the rank of their routes, first come first served.
func (e *Engine) serveGroup(service string) {
	in := e.group(service)
	if len(in.waiting) == 0 {
		return
	}
	waiting := slices.DeleteFunc(in.waiting, func(c *call) bool { return !c.waiting })
	slices.SortStableFunc(waiting, func(a, b *call) int {
		return cmp.Or(cmp.Compare(e.overdue(a), e.overdue(b)), cmp.Compare(a.request.route.Priority, b.request.route.Priority))
	})
	in.waiting = nil
	for _, called := range waiting {
		called.waiting = false
		e.dispatchExtra(called)
		if called.settled {
			e.decide(called.request)
		}
	}
}

// overdue is 1 for a call whose request is past its target, else 0.
func (e *Engine) overdue(waiting *call) int {
	target := waiting.request.route.Target
	if target > 0 && e.now.Sub(waiting.request.arrived) > target {
		return 1
	}
	return 0
}
