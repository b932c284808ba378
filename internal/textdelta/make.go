package textdelta

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Make returns the delta that leads from base to next. Equal arguments give
// equal deltas. The work is in proportion to what lies between the first and
// the last difference.
func Make(base, next string) ([]byte, error) {
	first := commonPrefix(base, next)
	last := commonSuffix(base[first:], next[first:])
	found := script{}
	found.copy(0, first)
	changed := lines{text: base, from: first, to: len(base) - last}
	found.compare(changed, lines{text: next, from: first, to: len(next) - last})
	found.copy(len(base)-last, last)
	return encode(header{
		baseLength: len(base), baseHash: xxhash.Sum64String(base),
		resultLength: len(next), resultHash: xxhash.Sum64String(next),
	}, found.steps)
}

// commonPrefix returns the length of the whole lines that both texts begin
// with.
func commonPrefix(left, right string) int {
	length := sharedLength(left, right)
	if length == len(left) && length == len(right) {
		return length
	}
	return strings.LastIndexByte(left[:length], '\n') + 1
}

// sharedLength returns how many leading bytes are equal. It compares blocks
// first, which the runtime does many bytes at a time.
func sharedLength(left, right string) int {
	const block = 4096
	length, most := 0, min(len(left), len(right))
	for length+block <= most && left[length:length+block] == right[length:length+block] {
		length += block
	}
	for length < most && left[length] == right[length] {
		length++
	}
	return length
}

// commonSuffix returns the length of the whole lines that both texts end with.
func commonSuffix(left, right string) int {
	const block = 4096
	length, most := 0, min(len(left), len(right))
	tail := func(text string, from, to int) string { return text[len(text)-to : len(text)-from] }
	for length+block <= most && tail(left, length, length+block) == tail(right, length, length+block) {
		length += block
	}
	for length < most && left[len(left)-1-length] == right[len(right)-1-length] {
		length++
	}
	if length == len(left) && length == len(right) {
		return length
	}
	// The part after the first line break in the shared end: before it the
	// lines may begin differently.
	shared := tail(left, 0, length)
	cut := strings.IndexByte(shared, '\n')
	if cut < 0 {
		return 0
	}
	return length - cut - 1
}

// lines are the lines of a part of a text.
type lines struct {
	text     string
	from, to int
}

// next returns the end of the line that starts at an offset.
func (l lines) next(start int) int {
	if end := strings.IndexByte(l.text[start:l.to], '\n'); end >= 0 {
		return start + end + 1
	}
	return l.to
}

// index returns where each line of the part starts, in ascending order.
func (l lines) index() map[string][]int {
	starts := map[string][]int{}
	for start := l.from; start < l.to; {
		end := l.next(start)
		line := l.text[start:end]
		starts[line] = append(starts[line], start)
		start = end
	}
	return starts
}

// script collects the steps of a delta.
type script struct{ steps []step }

// compare adds the steps that make next out of base. It walks through the
// lines of next beside those of base; where they differ it goes on at the
// nearest equal line of base further on, or before if there is none further on.
func (s *script) compare(base, next lines) {
	if next.from == next.to {
		return
	}
	if base.from == base.to {
		s.insert(next.text[next.from:next.to])
		return
	}
	starts := base.index()
	position := base.from
	for start := next.from; start < next.to; {
		end := next.next(start)
		line := next.text[start:end]
		place, found := nearest(starts[line], position)
		if found {
			s.copy(place, len(line))
			position = place + len(line)
		} else {
			s.insert(line)
		}
		start = end
	}
}

// nearest returns the first place that is not before a position, or else the
// last one before it.
func nearest(places []int, position int) (int, bool) {
	if len(places) == 0 {
		return 0, false
	}
	after, _ := slices.BinarySearch(places, position)
	return places[min(after, len(places)-1)], true
}

// copy adds bytes of the base; it joins what follows the copy before.
func (s *script) copy(from, length int) {
	if length == 0 {
		return
	}
	if count := len(s.steps); count > 0 {
		last := &s.steps[count-1]
		if last.inserted == nil && last.from+last.length == from {
			last.length += length
			return
		}
	}
	s.steps = append(s.steps, step{from: from, length: length})
}

// insert adds new bytes; it joins those before.
func (s *script) insert(text string) {
	if count := len(s.steps); count > 0 && s.steps[count-1].inserted != nil {
		last := &s.steps[count-1]
		last.inserted = append(last.inserted, text...)
		last.length = len(last.inserted)
		return
	}
	s.steps = append(s.steps, step{inserted: []byte(text), length: len(text)})
}
