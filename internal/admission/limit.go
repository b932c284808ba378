// Package admission decides how much work may be under way: per back end an
// adaptive concurrency limit, and per router a gate that refuses requests by
// priority class and by whether their deadline can still be met.
package admission

import "time"

// QueuePerServer is how many attempts a router may have at a server beyond its
// share of slots. One keeps a slot busy during the round trip in which its
// next attempt would otherwise be on the way. The other lets a router use
// slots that the rest of its cell leaves idle, since shares are fixed and load
// is not; Limit takes it back where the server reports a queue. Any more would
// wait where it can no longer be sent to another replica.
const QueuePerServer = 2

const (
	// decrease is the factor of a multiplicative decrease.
	decrease = 0.7
	// decreasePause is the least time between two decreases: refusals that
	// were caused by one burst count once.
	decreasePause = 100 * time.Millisecond
)

// Ceiling returns the most attempts that may be in flight to a server of which
// the router holds a share of slots and connections. A share of slots below
// one still allows one attempt; no connection allows none.
func Ceiling(slots, connections int) int {
	return max(min(max(slots, 1)+QueuePerServer, connections), 0)
}

// Floor returns the attempts that a router with a share of slots may always
// have at a server, whatever queue others have caused there: the share, and one
// that keeps a slot busy during the round trip.
func Floor(slots int) int { return max(slots, 0) + 1 }

// Limit is an adaptive concurrency limit: additive increase while it is used
// in full, multiplicative decrease on signs of overload (Chiu and Jain,
// "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance
// in Computer Networks", 1989). It stays between one and its ceiling.
type Limit struct {
	ceiling int
	value   float64
	lowered time.Time
}

// NewLimit returns a limit at its ceiling.
func NewLimit(ceiling int) Limit {
	return Limit{ceiling: ceiling, value: float64(ceiling)}
}

// Resize sets another ceiling. A limit that was at its ceiling follows it.
func (l *Limit) Resize(ceiling int) {
	if l.value >= float64(l.ceiling) {
		l.value = float64(ceiling)
	}
	l.ceiling = ceiling
	l.value = max(min(l.value, float64(ceiling)), min(1, float64(ceiling)))
}

// Value returns the limit.
func (l *Limit) Value() int { return int(l.value) }

// Raise takes in a success that came while the limit was used in full.
func (l *Limit) Raise() {
	if l.value >= 1 {
		l.value = min(l.value+1/l.value, float64(l.ceiling))
	}
}

// Lower takes in a refusal, or another sign that the limit itself is too high.
func (l *Limit) Lower(now time.Time) { l.LowerTo(now, 1) }

// LowerTo takes in a sign of overload that others may have caused: it never
// lowers the limit below a floor.
func (l *Limit) LowerTo(now time.Time, floor int) {
	if now.Sub(l.lowered) < decreasePause {
		return
	}
	l.lowered = now
	l.value = min(l.value, max(l.value*decrease, float64(min(floor, l.ceiling))))
}
