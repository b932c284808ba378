// Package virtualtime is the virtual time of a simulated run and the queue of what
// happens next. Things of one moment happen in the order in which they were
// scheduled, which makes runs repeatable.
package virtualtime

import "time"

// Epoch is the wall-clock time at which every simulation begins.
var Epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// Queue holds what is to happen. The zero value is empty, at time 0.
type Queue struct {
	now      time.Duration
	sequence uint64
	heap     []scheduled
}

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

// Now returns the time since Epoch.
func (q *Queue) Now() time.Duration { return q.now }

// Wall returns the time as a date.
func (q *Queue) Wall() time.Time { return Epoch.Add(q.now) }

// After schedules act; a negative delay counts as none.
func (q *Queue) After(delay time.Duration, act func()) { q.At(q.now+delay, act) }

// At schedules act at a time since Epoch; a time in the past counts as now.
func (q *Queue) At(moment time.Duration, act func()) {
	q.sequence++
	q.heap = append(q.heap, scheduled{at: max(moment, q.now), sequence: q.sequence, act: act})
	child := len(q.heap) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !q.heap[child].before(&q.heap[parent]) {
			return
		}
		q.heap[child], q.heap[parent] = q.heap[parent], q.heap[child]
		child = parent
	}
}

// RunUntil makes everything happen that is due up to a time.
func (q *Queue) RunUntil(end time.Duration) {
	for len(q.heap) > 0 && q.heap[0].at <= end {
		q.Step()
	}
	q.now = max(q.now, end)
}

// Step makes the next thing happen and reports whether there was one.
func (q *Queue) Step() bool {
	if len(q.heap) == 0 {
		return false
	}
	next := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = scheduled{}
	q.heap = q.heap[:last]
	q.sink()
	q.now = next.at
	next.act()
	return true
}

func (q *Queue) sink() {
	parent := 0
	for {
		child := 2*parent + 1
		if child >= len(q.heap) {
			return
		}
		if right := child + 1; right < len(q.heap) && q.heap[right].before(&q.heap[child]) {
			child = right
		}
		if !q.heap[child].before(&q.heap[parent]) {
			return
		}
		q.heap[child], q.heap[parent] = q.heap[parent], q.heap[child]
		parent = child
	}
}

// driftDenominator is the unit of Drift: one part in a million.
const driftDenominator = 1_000_000

// Local is the clock of one machine. It runs faster than true time by Drift
// parts per million and began Offset away from it. All arithmetic is on
// integers, so that it gives the same on any machine.
type Local struct {
	Drift  int64
	Offset time.Duration
}

// At returns what the clock shows at a true time.
func (l Local) At(moment time.Duration) time.Time {
	return Epoch.Add(l.Offset + moment + moment/driftDenominator*time.Duration(l.Drift))
}

// True returns how much true time passes, at the least, until the clock has
// moved on by a duration.
func (l Local) True(local time.Duration) time.Duration {
	if local <= 0 {
		return 0
	}
	return local - local/driftDenominator*time.Duration(l.Drift) + time.Microsecond
}
