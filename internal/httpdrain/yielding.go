package httpdrain

import (
	"time"

	"github.com/martenstage/martenstage/internal/steadyclock"
)

// accept decides whether further bytes of a request are taken. If not, the request is refused.
func (c *Conn) accept(text []byte) bool {
	cost := c.measure(text)
	if cost < 0 {
		c.refuse(CauseHeaderSize)
		return false
	}
	if cost == 0 || c.server.config.Intake == nil {
		return true
	}
	for _, victim := range c.server.config.Intake.take(c, cost, steadyclock.Now()) {
		if victim == c {
			c.refuse(CauseMemory)
			return false
		}
		victim.evict(CauseMemory)
	}
	return true
}

// measure returns the cost of bytes that were read: 0 for those of a next request, -1 for those
// of a head that is too large.
func (c *Conn) measure(text []byte) int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cost := byteCost * int64(len(text))
	switch {
	case c.complete:
		return 0
	case c.phase != Receiving:
		return cost
	}
	if c.head.size == 0 {
		cost += requestCost
	}
	lines := c.head.lines
	c.head.scan(text)
	if limit := c.server.maxHeaderBytes(); limit > 0 && c.head.size > limit {
		return -1
	}
	return cost + lineCost*int64(c.head.lines-lines)
}

// evict has the connection end in favour of others, unless its current request has been read.
func (c *Conn) evict(cause Cause) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == Opened || c.phase == Waiting || c.isReceiving() {
		c.interruptFor(cause)
	}
}

// isReceiving reports whether a part of a request has been read. The mutex is held.
func (c *Conn) isReceiving() bool {
	return !c.complete && (c.phase == Receiving || c.phase == Serving)
}

// makesRoom reports whether the connection was closed because there are too many.
func (c *Conn) makesRoom() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cause == CauseConnections
}

// evicted reports whether the connection ends in favour of others. The mutex is held.
func (c *Conn) evicted() bool {
	return c.interrupt == CauseMemory || c.interrupt == CauseConnections
}

// idleness tells how much a connection is in the way of others.
type idleness struct {
	// yields is set if no complete request is being served on the connection.
	yields bool
	// active is set if a request is being received or the connection is new, since is when the
	// phase began.
	active bool
	since  time.Time
}

// before orders connections by how soon they yield: those that rest, then the active ones, each
// the longest first.
func (i idleness) before(other idleness) bool {
	if i.active != other.active {
		return other.active
	}
	return i.since.Before(other.since)
}

func (c *Conn) idleness() idleness {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	receiving, isNew := c.isReceiving(), c.phase == Opened && steadyclock.Since(c.since) < newConnectionGrace
	yields := (c.phase == Opened || c.phase == Waiting || receiving) && c.interrupt == ""
	return idleness{yields: yields, active: receiving || isNew, since: c.since}
}
