package state

import (
	"math/bits"
	"math/rand/v2"
)

const (
	// smallestIDSet is the least number of slots, a power of two.
	smallestIDSet = 64
	// idSetFill is the share of slots, out of idSetFillOf, that may be taken.
	idSetFill, idSetFillOf = 2, 3
)

// idSet is a set of hashes: open addressing with linear probing and deletion by
// moving back (Knuth, The Art of Computer Programming, volume 3, 6.4). Hashes
// need not be hashed again, which is what a map of millions of them would spend
// its time on. The multiplier of a run is random, so that nobody can choose ids
// that all meet in one place; it decides about places only, never about results.
type idSet struct {
	slots      []idHash // 0 is a free slot
	count      int
	multiplier uint64
	shift      int
	// zero says that the hash 0 is in the set.
	zero bool
}

// newIDSet returns a set with room for a number of hashes.
func newIDSet(room int) idSet {
	size := smallestIDSet
	for size*idSetFill < room*idSetFillOf {
		size *= 2
	}
	return idSet{
		slots:      make([]idHash, size),
		multiplier: rand.Uint64() | 1,
		shift:      64 - bits.TrailingZeros(uint(size)),
	}
}

// place is where the search for a hash begins.
func (s *idSet) place(hash idHash) int { return int(uint64(hash) * s.multiplier >> s.shift) }

func (s *idSet) after(slot int) int { return (slot + 1) & (len(s.slots) - 1) }

// find returns the slot of a hash, or the free one where it would go.
func (s *idSet) find(hash idHash) int {
	slot := s.place(hash)
	for s.slots[slot] != 0 && s.slots[slot] != hash {
		slot = s.after(slot)
	}
	return slot
}

func (s *idSet) has(hash idHash) bool {
	if hash == 0 {
		return s.zero
	}
	return s.slots[s.find(hash)] == hash
}

func (s *idSet) add(hash idHash) {
	if hash == 0 {
		s.zero = true
		return
	}
	slot := s.find(hash)
	if s.slots[slot] == hash {
		return
	}
	s.slots[slot] = hash
	s.count++
	if s.count*idSetFillOf > len(s.slots)*idSetFill {
		s.grow()
	}
}

func (s *idSet) grow() {
	grown := newIDSet(2 * s.count)
	grown.zero = s.zero
	for _, hash := range s.slots {
		if hash != 0 {
			grown.slots[grown.find(hash)] = hash
			grown.count++
		}
	}
	*s = grown
}

// remove takes a hash out and moves those behind it forward that would not be
// found across the gap.
func (s *idSet) remove(hash idHash) {
	if hash == 0 {
		s.zero = false
		return
	}
	gap := s.find(hash)
	if s.slots[gap] != hash {
		return
	}
	s.count--
	for slot := s.after(gap); s.slots[slot] != 0; slot = s.after(slot) {
		if s.reaches(s.place(s.slots[slot]), gap, slot) {
			s.slots[gap] = s.slots[slot]
			gap = slot
		}
	}
	s.slots[gap] = 0
}

// reaches reports whether a search that begins at a place passes the gap before
// it comes to the slot.
func (s *idSet) reaches(place, gap, slot int) bool {
	mask := len(s.slots) - 1
	return (gap-place)&mask < (slot-place)&mask
}
