// Package admission limits the work in flight: per back end by an adaptive
// concurrency limit, and per router by a gate that refuses requests by priority class
// and by whether their deadline can still be met.
package admission

import "time"

// QueuePerServer is the number of attempts that a router may have at a server beyond
// its share of slots. One keeps a slot busy while the next attempt is in transit. The
// other lets a router use slots that the rest of its cell leaves idle, since shares
// are fixed and load is not; Limit withdraws it when the server reports a queue. Any
// more would queue at the server, where they can't be sent to another replica.
const QueuePerServer = 2

const (
	// decreaseFactor is the factor of the multiplicative decrease.
	decreaseFactor = 0.7
	// decreaseInterval is the minimum time between two decreases, so that refusals
	// caused by one burst count once.
	decreaseInterval = 100 * time.Millisecond
)

// Ceiling returns the maximum number of attempts in flight to a server, from the
// router's share of its slots and connections. A share of less than one slot counts
// as one; without a connection, no attempt is allowed.
func Ceiling(slots, connections int) int {
	return max(min(max(slots, 1)+QueuePerServer, connections), 0)
}

// Floor returns the number of attempts that a router with a share of slots may always
// have at a server, even if others cause a queue there: the share, and one to keep a
// slot busy during the round trip.
func Floor(slots int) int { return max(slots, 0) + 1 }

// Limit is an adaptive concurrency limit: additive increase while it is fully used,
// multiplicative decrease on signs of overload (Chiu and Jain, "Analysis of the
// Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks",
// 1989). It stays between one and its ceiling.
type Limit struct {
	ceiling   int
	value     float64
	loweredAt time.Time
}

// NewLimit returns a limit at its ceiling.
func NewLimit(ceiling int) Limit {
	return Limit{ceiling: ceiling, value: float64(ceiling)}
}

// Resize changes the ceiling. A limit at its ceiling follows it.
func (l *Limit) Resize(ceiling int) {
	if l.value >= float64(l.ceiling) {
		l.value = float64(ceiling)
	}
	l.ceiling = ceiling
	l.value = max(min(l.value, float64(ceiling)), min(1, float64(ceiling)))
}

// Value returns the limit.
func (l *Limit) Value() int { return int(l.value) }

// Raise records a success while the limit was fully used.
func (l *Limit) Raise() {
	if l.value >= 1 {
		l.value = min(l.value+1/l.value, float64(l.ceiling))
	}
}

// Lower records a refusal, or another sign that the limit is too high.
func (l *Limit) Lower(now time.Time) { l.LowerTo(now, 1) }

// LowerTo records a sign of overload that others may have caused. It does not lower
// the limit below a floor.
func (l *Limit) LowerTo(now time.Time, floor int) {
	if now.Sub(l.loweredAt) < decreaseInterval {
		return
	}
	l.loweredAt = now
	l.value = min(l.value, max(l.value*decreaseFactor, float64(min(floor, l.ceiling))))
}
