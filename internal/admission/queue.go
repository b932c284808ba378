package admission

import "github.com/martenstage/martenstage/internal/plan"

const classes = int(plan.PriorityInteractive) + 1

// Queue holds the attempts that wait for a shard's replicas, ordered by the urgency of their
// class, and first in, first out within a class. Items that are no longer needed
// stay in the queue until they are popped; Leave only removes them from the count.
type Queue[T any] struct {
	fifos  [classes]fifo[T]
	counts [classes]int
}

type fifo[T any] struct {
	items []T
	head  int
}

// Push appends an item to its class.
func (q *Queue[T]) Push(priority plan.Priority, item T) {
	class := urgencyOf(priority)
	q.fifos[class].items = append(q.fifos[class].items, item)
	q.counts[class]++
}

// Pop removes and returns the first item, even if Leave was already called for it. If it
// was not, the caller must call Leave.
func (q *Queue[T]) Pop() (T, bool) {
	var none T
	for class := range q.fifos {
		queued := &q.fifos[class]
		if queued.head == len(queued.items) {
			continue
		}
		item := queued.items[queued.head]
		queued.items[queued.head] = none
		queued.head++
		queued.compact()
		return item, true
	}
	return none, false
}

// PushFront puts back an item that was popped but could not be sent.
func (q *Queue[T]) PushFront(priority plan.Priority, item T) {
	queued := &q.fifos[urgencyOf(priority)]
	if queued.head == 0 {
		queued.items = append(queued.items, item)
		copy(queued.items[1:], queued.items)
		queued.items[0] = item
		return
	}
	queued.head--
	queued.items[queued.head] = item
}

// Discard removes an item from the count.
func (q *Queue[T]) Discard(priority plan.Priority) { q.counts[urgencyOf(priority)]-- }

// Waiting returns the number of items that are still needed.
func (q *Queue[T]) Waiting() int { return q.Ahead(0) }

// Ahead returns the number of items that would be served before a new one of a class.
func (q *Queue[T]) Ahead(priority plan.Priority) int {
	count := 0
	for class := urgency(0); class <= urgencyOf(priority); class++ {
		count += q.counts[class]
	}
	return count
}

// compact frees the space of popped items once they make up at least half of the slice,
// so that Pop takes amortized constant time and memory is bounded by the waiting items.
func (l *fifo[T]) compact() {
	if l.head*2 < len(l.items) {
		return
	}
	kept := copy(l.items, l.items[l.head:])
	clear(l.items[kept:])
	l.items, l.head = l.items[:kept], 0
}
