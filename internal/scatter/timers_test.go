package scatter

import (
	"container/heap"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// libraryHeap is a timerHeap for container/heap.
type libraryHeap struct{ timerHeap }

func (h *libraryHeap) Len() int           { return len(h.timerHeap) }
func (h *libraryHeap) Less(i, j int) bool { return h.timerHeap[i].at.Before(h.timerHeap[j].at) }
func (h *libraryHeap) Swap(i, j int) {
	h.timerHeap[i], h.timerHeap[j] = h.timerHeap[j], h.timerHeap[i]
}
func (h *libraryHeap) Push(added any) { h.timerHeap = append(h.timerHeap, added.(timer)) }
func (h *libraryHeap) Pop() any {
	last := h.timerHeap[len(h.timerHeap)-1]
	h.timerHeap = h.timerHeap[:len(h.timerHeap)-1]
	return last
}

// TestTimersFireInTheOrderOfTheLibraryHeap guards against timers that are lost or fire out of
// order, and against another order of timers of equal time, which would change the choices that
// a seed gives.
func TestTimersFireInTheOrderOfTheLibraryHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		var timers timerHeap
		var library libraryHeap
		for number := range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "add") {
				at := start.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "at")))
				added := timer{at: at, attempt: AttemptID(number)}
				timers.add(added)
				heap.Push(&library, added)
				continue
			}
			now := start.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "now")))
			fired, due := timers.due(now)
			require.Equal(t, library.Len() > 0 && !library.timerHeap[0].at.After(now), due)
			if due {
				require.Equal(t, heap.Pop(&library), fired)
			}
		}
		require.Equal(t, library.Len(), len(timers))
	})
}
