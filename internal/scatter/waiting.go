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
	if found == absent && !called.patient {
		called.patient = true
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

// serveGroup sends calls of a service that wait for room, the most urgent first.
func (e *Engine) serveGroup(service string) {
	in := e.group(service)
	if len(in.waiting) == 0 {
		return
	}
	waiting := slices.DeleteFunc(in.waiting, func(c *call) bool { return !c.waiting })
	slices.SortStableFunc(waiting, e.compareUrgency)
	in.waiting = nil
	for _, called := range waiting {
		called.waiting = false
		e.dispatchExtra(called)
		switch {
		case called.settled:
			e.decide(called.request)
		case called.held:
			e.reviewHeld(called.request)
		}
	}
}

// compareUrgency orders calls that wait for room. Those whose parts can still be in
// when they are due go first, since later ones are worth little, and a queue that is
// longer than the time until then would make all late; of them the first due. The
// others go by the priority of their routes. Other orders served alike or worse
// (docs/results/0013).
func (e *Engine) compareUrgency(a, b *call) int {
	overdueA, overdueB := e.overdue(a), e.overdue(b)
	switch {
	case overdueA && overdueB:
		return cmp.Compare(a.request.route.Priority, b.request.route.Priority)
	case overdueA:
		return 1
	case overdueB:
		return -1
	}
	return cmp.Or(
		a.request.usefulUntil().Compare(b.request.usefulUntil()),
		cmp.Compare(a.request.route.Priority, b.request.route.Priority),
	)
}

// overdue reports whether the reply to a call can't be in when it is due.
func (e *Engine) overdue(waiting *call) bool {
	due := waiting.request.due
	return !due.IsZero() && e.now.Add(e.quickest(waiting.request.route)).After(due)
}
