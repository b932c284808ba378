package scatter

import (
	"container/heap"
	"time"
)

// timerKind says what a timer is for.
type timerKind uint8

const (
	timerHedge timerKind = iota
	timerDeadline
	timerAbort
	timerRoom
	timerDue
	timerClaim
)

// timer is one thing to look at later. Timers are never removed: one whose
// request or attempt is gone does nothing.
type timer struct {
	at      time.Time
	kind    timerKind
	request RequestID
	attempt AttemptID
	service string
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (h *timerHeap) add(added timer) { heap.Push(h, added) }

// due takes the next timer out if its time has come.
func (h *timerHeap) due(now time.Time) (timer, bool) {
	if len(*h) == 0 || (*h)[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(h).(timer), true
}
