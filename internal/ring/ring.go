// Package ring provides the typed bounded queue that joins goroutines. A ring
// never blocks its producer: when it is full, TryPush reports it and the
// producer applies its stated overflow rule (refuse, or drop the oldest).
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

// TryPush appends an item and reports whether there was room.
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

// Items returns the channel that the one consumer receives from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Depth returns the number of waiting items, for a gauge.
func (r *Ring[T]) Depth() int { return len(r.items) }

// Capacity returns the bound of the ring.
func (r *Ring[T]) Capacity() int { return cap(r.items) }
