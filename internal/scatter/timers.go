package scatter

import (
	"container/heap"
	"time"
)

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	timerHedge timerKind = iota
	timerDeadline
	timerAbort
	timerCapacity
	timerDue
	timerClaim
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

// due removes and returns the next timer if its time has come.
func (h *timerHeap) due(now time.Time) (timer, bool) {
	if len(*h) == 0 || (*h)[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(h).(timer), true
}
