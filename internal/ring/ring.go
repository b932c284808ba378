// Package ring provides a typed, bounded queue between goroutines. It never
// blocks its producers: if the queue is full, the producer either refuses the
// item (TryPush) or drops the oldest ones (PushDropOldest).
package ring

// Ring is a bounded queue for many producers and one consumer.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds up to capacity items. Capacity must be
// positive.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPush appends an item and reports whether the ring had free capacity.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// PushDropOldest appends an item, discarding the oldest ones when the ring is
// full, and returns how many were discarded.
func (r *Ring[T]) PushDropOldest(item T) int {
	dropped := 0
	for !r.TryPush(item) {
		select {
		case <-r.items:
			dropped++
		default:
		}
	}
	return dropped
}

// Items returns the channel that the single consumer receives from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Depth returns the number of queued items, for use in a gauge.
func (r *Ring[T]) Depth() int { return len(r.items) }

// Capacity returns the maximum number of queued items.
func (r *Ring[T]) Capacity() int { return cap(r.items) }
