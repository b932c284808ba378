package scatter

import (
	"cmp"
	"maps"
	"slices"
)

// enqueue adds a call to the queue of its service.
func (e *Engine) enqueue(c *call) {
	c.queued = true
	c.group.queue = append(c.group.queue, c)
	if !c.group.listed {
		c.group.listed = true
		e.waiting = append(e.waiting, c.group)
	}
}

// unlist reports whether no calls wait at the service, and marks it as not listed then.
func (g *group) unlist() bool {
	g.listed = g.waitingCalls() > 0
	return !g.listed
}

// waitingCalls counts the calls that wait for a server with capacity.
func (g *group) waitingCalls() (count int) {
	for _, c := range g.queue {
		if c.queued {
			count++
		}
	}
	return count
}

// await queues a call until a server has capacity or becomes known.
func (e *Engine) await(c *call, found availability) {
	e.note(c, Step{Kind: StepQueued})
	e.enqueue(c)
	if found == absent && !c.hasWaitTimer {
		c.hasWaitTimer = true
		e.timers.add(timer{at: c.request.arrived.Add(serverWaitTimeout), kind: timerCapacity, service: c.group.service})
	}
}

// canOmit reports whether a shard whose servers just refused work as overloaded can be omitted
// from an answer, so that its remaining capacity serves requests that need it.
func (e *Engine) canOmit(c *call) bool {
	pending := c.request
	if !pending.route.Gathers() || !c.group.hasFull(e.now) {
		return false
	}
	missing := 0
	for _, other := range pending.calls {
		if other.settled && other.part == nil {
			missing++
		}
	}
	return share(len(pending.calls)-missing-1, len(pending.calls)) >= pending.route.LeastShare
}

// dispatchWaiting dispatches the queued calls of all services where there is capacity now.
func (e *Engine) dispatchWaiting() {
	for _, service := range slices.Sorted(maps.Keys(e.groups)) {
		e.dispatchQueue(service)
	}
}

// dispatchQueue dispatches the queued calls of a service, the most urgent first.
func (e *Engine) dispatchQueue(service string) {
	grp := e.group(service)
	if len(grp.queue) == 0 {
		return
	}
	pending := slices.DeleteFunc(grp.queue, func(c *call) bool { return !c.queued })
	slices.SortStableFunc(pending, e.compareUrgency)
	grp.queue = nil
	if e.config.ClassOrder {
		e.dispatchByClass(grp, pending)
		return
	}
	for _, c := range pending {
		e.dispatchQueued(c)
	}
}

// dispatchQueued dispatches a call that was queued.
func (e *Engine) dispatchQueued(c *call) {
	c.queued = false
	e.dispatchExtra(c)
	switch {
	case c.settled:
		e.decide(c.request)
	case c.held:
		e.releaseHeld(c.request)
	}
}

// compareUrgency orders queued calls. Calls whose parts can still be in time go first, by due
// time, since later parts have little value, and a queue longer than the remaining time would
// make all of them late. The others go by the priority of their routes. Other orders performed
// no better (docs/results/0013). With Config.ClassOrder, those of a more urgent route go first,
// whatever their due times.
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
	if e.config.ClassOrder && a.request.route.Priority != b.request.route.Priority {
		return cmp.Compare(a.request.route.Priority, b.request.route.Priority)
	}
	return cmp.Or(
		a.request.usefulUntil().Compare(b.request.usefulUntil()),
		cmp.Compare(a.request.route.Priority, b.request.route.Priority),
	)
}

// overdue reports whether the reply to a call can't arrive by its due time.
func (e *Engine) overdue(pending *call) bool {
	due := pending.request.due
	return !due.IsZero() && e.now.Add(e.unqueuedTime(pending.request.route)).After(due)
}
