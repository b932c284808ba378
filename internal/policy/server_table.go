package policy

import "math/bits"

// serverTable finds servers by their key. It holds the segment that uses each
// first, in an open-addressing table (Knuth 1998, section 6.4, algorithm L): it
// is filled anew with all servers at each change, which a map is too slow for.
type serverTable struct {
	keys     []serverKey // 0 where empty, which is no server's key
	segments []int32
	shift    int
}

// newServerTable has room for a number of servers at a load of at most a half.
func newServerTable(count int) *serverTable {
	const leastBits, keyBits = 4, 64
	size := max(leastBits, bits.Len(uint(2*count)))
	return &serverTable{
		keys: make([]serverKey, 1<<size), segments: make([]int32, 1<<size), shift: keyBits - size,
	}
}

// add notes that a segment uses a server. If one did before, it returns that one
// and true.
func (t *serverTable) add(key serverKey, segment int) (first int, taken bool) {
	const multiplier = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio
	place := int(uint64(key) * multiplier >> t.shift)
	for t.keys[place] != 0 {
		if t.keys[place] == key {
			return int(t.segments[place]), true
		}
		place = (place + 1) & (len(t.keys) - 1)
	}
	t.keys[place], t.segments[place] = key, int32(segment)
	return 0, false
}
