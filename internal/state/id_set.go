package state

import (
	"math/bits"
	"math/rand/v2"
)

const (
	// minIDSetSlots is the minimum number of slots, a power of two.
	minIDSetSlots = 64
	// maxLoadNumerator / maxLoadDenominator is the maximum load factor.
	maxLoadNumerator, maxLoadDenominator = 2, 3
)

// idSet is a hash table with open addressing, linear probing and deletion by
// backward shift (Knuth, The Art of Computer Programming, volume 3, 6.4). Its
// elements are hashes already; a map of millions of them would spend its time on
// hashing them again. The multiplier is random, so that clients can't choose ids
// that collide; it affects only slot positions, never results.
type idSet struct {
	slots      []idHash // 0 marks a free slot
	count      int
	multiplier uint64
	shift      int
	// hasZero reports whether the hash 0 is in the set.
	hasZero bool
}

// newIDSet returns a set that holds capacity hashes without growing.
func newIDSet(capacity int) idSet {
	size := minIDSetSlots
	for size*maxLoadNumerator < capacity*maxLoadDenominator {
		size *= 2
	}
	return idSet{
		slots:      make([]idHash, size),
		multiplier: rand.Uint64() | 1,
		shift:      64 - bits.TrailingZeros(uint(size)),
	}
}

// homeSlot returns the slot at which the probe for a hash starts.
func (s *idSet) homeSlot(hash idHash) int { return int(uint64(hash) * s.multiplier >> s.shift) }

func (s *idSet) nextSlot(slot int) int { return (slot + 1) & (len(s.slots) - 1) }

// find returns the slot of a hash, or the free slot to insert it in.
func (s *idSet) find(hash idHash) int {
	slot := s.homeSlot(hash)
	for s.slots[slot] != 0 && s.slots[slot] != hash {
		slot = s.nextSlot(slot)
	}
	return slot
}

func (s *idSet) has(hash idHash) bool {
	if hash == 0 {
		return s.hasZero
	}
	return s.slots[s.find(hash)] == hash
}

func (s *idSet) add(hash idHash) {
	if hash == 0 {
		s.hasZero = true
		return
	}
	slot := s.find(hash)
	if s.slots[slot] == hash {
		return
	}
	s.slots[slot] = hash
	s.count++
	if s.count*maxLoadDenominator > len(s.slots)*maxLoadNumerator {
		s.grow()
	}
}

func (s *idSet) grow() {
	grown := newIDSet(2 * s.count)
	grown.hasZero = s.hasZero
	for _, hash := range s.slots {
		if hash != 0 {
			grown.slots[grown.find(hash)] = hash
			grown.count++
		}
	}
	*s = grown
}

// remove deletes a hash and shifts back the following hashes that a probe would
// no longer reach across the gap.
func (s *idSet) remove(hash idHash) {
	if hash == 0 {
		s.hasZero = false
		return
	}
	gap := s.find(hash)
	if s.slots[gap] != hash {
		return
	}
	s.count--
	for slot := s.nextSlot(gap); s.slots[slot] != 0; slot = s.nextSlot(slot) {
		if s.probeCrosses(s.homeSlot(s.slots[slot]), gap, slot) {
			s.slots[gap] = s.slots[slot]
			gap = slot
		}
	}
	s.slots[gap] = 0
}

// probeCrosses reports whether a probe that starts at home passes the gap before
// it reaches the slot.
func (s *idSet) probeCrosses(home, gap, slot int) bool {
	mask := len(s.slots) - 1
	return (gap-home)&mask < (slot-home)&mask
}
