package quota

import (
	"maps"
	"slices"
	"time"
)

// maxRecall is how long a gate keeps what it admitted. A ledger with a longer window withholds
// tokens for a whole window after it started.
const maxRecall = 10 * time.Second

// Passed counts the requests of a tenant that a router admitted at about one time.
type Passed struct {
	// Age is the time since the last of them, or less, when the message was composed.
	Age   time.Duration `json:"age"`
	Count int           `json:"count"`
}

// Recall is what a router admitted, with or without a token, before its message.
type Recall struct {
	// Since is how long before the message the record begins.
	Since time.Duration `json:"since"`
	// Routers is the number of routers that the router last knew to share the limits.
	Routers int `json:"routers"`
	// Passed has one entry for each tenant and slot, up to the message. It includes
	// Message.Spent.
	Passed map[string][]Passed `json:"passed,omitempty"`
}

// admitted records requests that a gate admitted.
func (g *Gate) admitted(now time.Time, tenant string, count int) {
	if g.since.IsZero() {
		g.since = now
	}
	number := slotAt(now)
	if last := len(g.recent) - 1; last >= 0 && g.recent[last].number == number {
		g.recent[last].passed[tenant] += count
		return
	}
	g.recent = append(g.recent, passedSlot{number: number, passed: map[string]int{tenant: count}})
	if oldest := g.recent[0].number; number-oldest > int64(maxRecall/slotLength) {
		g.recent = slices.Delete(g.recent, 0, 1)
	}
}

// passedSlot is what a gate admitted within one slot.
type passedSlot struct {
	number int64
	passed map[string]int
}

// Recall returns what the gate admitted within a window, for a ledger that asked for it instead
// of processing a report of what was spent. The message has to report all that it returns as
// spent: what was admitted since the first report is in the recall too.
func (g *Gate) Recall(now time.Time, window time.Duration, spent map[string]int) (Recall, map[string]int) {
	g.returnReport(spent)
	recall := Recall{Routers: g.routers, Passed: make(map[string][]Passed)}
	if !g.since.IsZero() {
		recall.Since = min(now.Sub(g.since), maxRecall)
	}
	for _, recent := range g.recent {
		ended := slot{number: recent.number}.leavesAt(0)
		age := max(0, now.Sub(ended))
		if age >= window {
			continue
		}
		for tenant, count := range recent.passed {
			recall.Passed[tenant] = append(recall.Passed[tenant], Passed{Age: age, Count: count})
		}
	}
	return recall, g.TakeUnreported()
}

// recollection is what a new ledger learns from routers about the window before it started.
type recollection struct {
	// until is the end of the first window; from then on nothing has to be recalled.
	until time.Time
	// reporters have recalled what they admitted, routers is the greatest number that any of
	// them knows, since the latest beginning of a record.
	reporters map[string]bool
	routers   int
	since     time.Time
	done      bool
}

// complete reports whether all known routers have recalled what they admitted.
func (r *recollection) complete() bool {
	return r != nil && r.routers > 0 && len(r.reporters) >= r.routers
}

// mustRecall reports whether a router has to recall what it admitted before its message can be
// processed.
func (l *Ledger) mustRecall(now time.Time, message Message) bool {
	r := l.recollection
	return r != nil && !r.done && now.Before(r.until) && message.Recalls && message.Recall == nil && !r.reporters[message.Router]
}

// recollect takes what a router recalls into the window. Once all routers have recalled a whole
// window, the buckets are what they would be had this ledger granted all of it.
func (l *Ledger) recollect(now time.Time, router string, recall Recall) {
	r := l.recollection
	if r == nil || r.done || r.reporters[router] || len(r.reporters) >= maxReporters {
		return
	}
	r.reporters[router] = true
	r.routers = max(r.routers, recall.Routers)
	if since := now.Add(-recall.Since); since.After(r.since) {
		r.since = since
	}
	for name, passed := range recall.Passed {
		held, limited := l.buckets[name]
		if !limited {
			continue
		}
		for _, each := range passed {
			if each.Count > 0 && each.Age >= 0 && each.Age < l.tolerance.Window {
				held.passed.add(now.Add(-each.Age), each.Count)
			}
		}
	}
	l.completeRecollection(now)
}

// completeRecollection replaces the buckets if all routers have recalled a whole window.
func (l *Ledger) completeRecollection(now time.Time) {
	r := l.recollection
	if r == nil || r.done || !r.complete() || now.Sub(r.since) < l.tolerance.Window {
		return
	}
	r.done = true
	for held := range maps.Values(l.buckets) {
		if held.releaseAt.Equal(r.until) {
			l.replay(held, now)
		}
	}
}

// replay sets the level of a bucket to what the requests that passed in the last window leave
// of a bucket that was full before it.
func (l *Ledger) replay(b *bucket, now time.Time) {
	b.passed.expire(now, l.tolerance.Window)
	b.level, b.extra = l.capacity(b.limit), l.extraCapacity(b.limit)
	b.updatedAt, b.refillFrom, b.withheld = now.Add(-l.tolerance.Window), time.Time{}, 0
	for _, each := range b.passed.slots {
		if at := each.leavesAt(0); at.Before(now) {
			l.add(b, at)
		}
		b.remove(float64(each.count))
	}
	l.refill(b, now)
	l.updateMetering(b, now)
}
