package admission

import "github.com/martenstage/martenstage/internal/plan"

const classes = int(plan.PriorityInteractive) + 1

// Queue holds the attempts that wait for a place at a shard's replicas, the
// highest priority class first and first in, first out within a class. Items
// that are no longer wanted stay in the queue until they come up; Leave only
// takes them out of the count.
type Queue[T any] struct {
	lines   [classes]line[T]
	waiting [classes]int
}

type line[T any] struct {
	items []T
	head  int
}

// Push appends an item to its class.
func (q *Queue[T]) Push(priority plan.Priority, item T) {
	q.lines[priority].items = append(q.lines[priority].items, item)
	q.waiting[priority]++
}

// Pop takes out the first item, also one that has left. The caller calls Leave
// for an item that has not.
func (q *Queue[T]) Pop() (T, bool) {
	var none T
	for class := classes - 1; class >= 0; class-- {
		line := &q.lines[class]
		if line.head == len(line.items) {
			continue
		}
		item := line.items[line.head]
		line.items[line.head] = none
		line.head++
		line.compact()
		return item, true
	}
	return none, false
}

// PushFront puts back an item that was popped and found no place.
func (q *Queue[T]) PushFront(priority plan.Priority, item T) {
	line := &q.lines[priority]
	if line.head == 0 {
		line.items = append(line.items, item)
		copy(line.items[1:], line.items)
		line.items[0] = item
		return
	}
	line.head--
	line.items[line.head] = item
}

// Leave takes an item out of the count.
func (q *Queue[T]) Leave(priority plan.Priority) { q.waiting[priority]-- }

// Waiting returns the number of items that are still wanted.
func (q *Queue[T]) Waiting() int { return q.Ahead(0) }

// Ahead returns how many items would be served before a new one of a class.
func (q *Queue[T]) Ahead(priority plan.Priority) int {
	count := 0
	for class := int(priority); class < classes; class++ {
		count += q.waiting[class]
	}
	return count
}

// compact frees the space of served items once it is most of the line, so that
// serving stays cheap on average and memory bounded by the waiting items.
func (l *line[T]) compact() {
	if l.head*2 < len(l.items) {
		return
	}
	kept := copy(l.items, l.items[l.head:])
	clear(l.items[kept:])
	l.items, l.head = l.items[:kept], 0
}
