package quota

import "time"

// slotLength is the length of the slots in which passed requests are counted. A request counts
// until its slot ends, so up to this time longer than the window.
const slotLength = 100 * time.Millisecond

// slot counts the requests that passed from a multiple of slotLength on.
type slot struct {
	number int64
	count  int
}

// slidingCount counts the requests that passed within a window.
type slidingCount struct {
	// slots are in order of time; total is the sum of their counts.
	slots []slot
	total int
}

func slotAt(at time.Time) int64 { return at.UnixNano() / int64(slotLength) }

// add counts requests that passed at a time, which may be earlier than others counted.
func (c *slidingCount) add(at time.Time, count int) {
	number, index := slotAt(at), len(c.slots)
	for index > 0 && c.slots[index-1].number > number {
		index--
	}
	c.total += count
	if index > 0 && c.slots[index-1].number == number {
		c.slots[index-1].count += count
		return
	}
	c.slots = append(c.slots, slot{})
	copy(c.slots[index+1:], c.slots[index:])
	c.slots[index] = slot{number: number, count: count}
}

// leavesAt returns when the requests of a slot are a window old.
func (s slot) leavesAt(window time.Duration) time.Time {
	return time.Unix(0, (s.number+1)*int64(slotLength)).Add(window)
}

// expire removes requests that are older than the window.
func (c *slidingCount) expire(now time.Time, window time.Duration) {
	expired := 0
	for expired < len(c.slots) && !c.slots[expired].leavesAt(window).After(now) {
		c.total -= c.slots[expired].count
		expired++
	}
	c.slots = append(c.slots[:0], c.slots[expired:]...)
}

// reaches returns how long it takes until at most a number of the requests are in the window.
func (c *slidingCount) reaches(now time.Time, window time.Duration, number float64) time.Duration {
	left := c.total
	for _, each := range c.slots {
		if float64(left) <= number {
			break
		}
		if left -= each.count; float64(left) <= number {
			return each.leavesAt(window).Sub(now)
		}
	}
	if float64(left) <= number {
		return 0
	}
	return window
}
