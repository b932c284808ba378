package scatter

import "time"

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	timerHedge timerKind = iota
	timerDeadline
	timerAbort
	timerCapacity
	timerDue
	timerClaim
	timerLastSend
)

// timer is a scheduled action. Timers are never removed: one whose request or attempt has
// ended does nothing.
type timer struct {
	at      time.Time
	kind    timerKind
	request RequestID
	attempt AttemptID
	service string
}

// timerHeap is a binary min-heap of timers by their time. It is not a container/heap, which
// allocates for each timer that is added or removed; timers of equal time fire in the order
// that container/heap gives them.
type timerHeap []timer

// add adds a timer.
func (h *timerHeap) add(added timer) {
	*h = append(*h, added)
	timers := *h
	for child := len(timers) - 1; child > 0; {
		parent := (child - 1) / 2
		if !timers[child].at.Before(timers[parent].at) {
			return
		}
		timers[child], timers[parent] = timers[parent], timers[child]
		child = parent
	}
}

// due removes and returns the next timer if its time has come.
func (h *timerHeap) due(now time.Time) (timer, bool) {
	if len(*h) == 0 || (*h)[0].at.After(now) {
		return timer{}, false
	}
	timers := *h
	last := len(timers) - 1
	timers[0], timers[last] = timers[last], timers[0]
	timers[:last].siftDown()
	next := timers[last]
	timers[last] = timer{}
	*h = timers[:last]
	return next, true
}

// siftDown restores the heap order after the first timer was replaced.
func (h timerHeap) siftDown() {
	for parent := 0; ; {
		least := 2*parent + 1
		if least >= len(h) {
			return
		}
		if right := least + 1; right < len(h) && h[right].at.Before(h[least].at) {
			least = right
		}
		if !h[least].at.Before(h[parent].at) {
			return
		}
		h[parent], h[least] = h[least], h[parent]
		parent = least
	}
}
