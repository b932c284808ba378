package virtual

import "time"

// clock is the virtual time and the queue of what happens next.
type clock struct {
	now      time.Duration
	sequence uint64
	queue    []scheduled
}

// scheduled is one thing to happen. Things of one moment happen in the order
// in which they were scheduled, which makes runs repeatable.
type scheduled struct {
	at       time.Duration
	sequence uint64
	act      func()
}

func (s *scheduled) before(other *scheduled) bool {
	if s.at != other.at {
		return s.at < other.at
	}
	return s.sequence < other.sequence
}

// after schedules act; a delay in the past is taken as none.
func (c *clock) after(delay time.Duration, act func()) { c.at(c.now+delay, act) }

func (c *clock) at(moment time.Duration, act func()) {
	c.sequence++
	c.queue = append(c.queue, scheduled{max(moment, c.now), c.sequence, act})
	child := len(c.queue) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !c.queue[child].before(&c.queue[parent]) {
			return
		}
		c.queue[child], c.queue[parent] = c.queue[parent], c.queue[child]
		child = parent
	}
}

// step makes the next thing happen and reports whether there was one.
func (c *clock) step() bool {
	if len(c.queue) == 0 {
		return false
	}
	next := c.queue[0]
	last := len(c.queue) - 1
	c.queue[0] = c.queue[last]
	c.queue[last] = scheduled{}
	c.queue = c.queue[:last]
	c.sink()
	c.now = next.at
	next.act()
	return true
}

func (c *clock) sink() {
	parent := 0
	for {
		child := 2*parent + 1
		if child >= len(c.queue) {
			return
		}
		if right := child + 1; right < len(c.queue) && c.queue[right].before(&c.queue[child]) {
			child = right
		}
		if !c.queue[child].before(&c.queue[parent]) {
			return
		}
		c.queue[child], c.queue[parent] = c.queue[parent], c.queue[child]
		parent = child
	}
}
