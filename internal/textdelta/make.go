package textdelta

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Make returns the delta from base to next. Equal arguments give equal deltas. Apart
// from finding the common prefix and suffix, the cost is proportional to the range
// between the first and the last difference.
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
	}, found.instructions)
}

// commonPrefix returns the length of the common prefix in complete lines.
func commonPrefix(left, right string) int {
	length := commonPrefixBytes(left, right)
	if length == len(left) && length == len(right) {
		return length
	}
	return strings.LastIndexByte(left[:length], '\n') + 1
}

// commonPrefixBytes returns the length of the common prefix in bytes. It compares
// blocks first, because the runtime compares many bytes at a time.
func commonPrefixBytes(left, right string) int {
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

// commonSuffix returns the length of the common suffix in complete lines.
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
	// The lines that contain the start of the common suffix may differ before it, so
	// only the part after its first line break counts.
	shared := tail(left, 0, length)
	cut := strings.IndexByte(shared, '\n')
	if cut < 0 {
		return 0
	}
	return length - cut - 1
}

// lines is a range of a text, read line by line.
type lines struct {
	text     string
	from, to int
}

// lineEnd returns the end of the line that starts at the given offset.
func (l lines) lineEnd(start int) int {
	if end := strings.IndexByte(l.text[start:l.to], '\n'); end >= 0 {
		return start + end + 1
	}
	return l.to
}

// lineStarts returns, by content, the ascending offsets of all lines in the range.
func (l lines) lineStarts() map[string][]int {
	starts := map[string][]int{}
	for start := l.from; start < l.to; {
		end := l.lineEnd(start)
		line := l.text[start:end]
		starts[line] = append(starts[line], start)
		start = end
	}
	return starts
}

// script collects the instructions of a delta.
type script struct{ instructions []instruction }

// compare adds the instructions that produce next from base. For each line of next it
// copies the first equal line of base at or after the end of the previous copy, else
// the last equal one before it, and inserts the line if there is none.
func (s *script) compare(base, next lines) {
	if next.from == next.to {
		return
	}
	if base.from == base.to {
		s.insert(next.text[next.from:next.to])
		return
	}
	starts := base.lineStarts()
	position := base.from
	for start := next.from; start < next.to; {
		end := next.lineEnd(start)
		line := next.text[start:end]
		offset, found := nearestOffset(starts[line], position)
		if found {
			s.copy(offset, len(line))
			position = offset + len(line)
		} else {
			s.insert(line)
		}
		start = end
	}
}

// nearestOffset returns the first offset at or after a position, or else the last one
// before it.
func nearestOffset(offsets []int, position int) (int, bool) {
	if len(offsets) == 0 {
		return 0, false
	}
	index, _ := slices.BinarySearch(offsets, position)
	return offsets[min(index, len(offsets)-1)], true
}

// copy adds a copy from the base, or extends the previous copy if it is adjacent.
func (s *script) copy(from, length int) {
	if length == 0 {
		return
	}
	if count := len(s.instructions); count > 0 {
		last := &s.instructions[count-1]
		if last.inserted == nil && last.baseOffset+last.length == from {
			last.length += length
			return
		}
	}
	s.instructions = append(s.instructions, instruction{baseOffset: from, length: length})
}

// insert adds an insertion, or extends the previous instruction if that is one.
func (s *script) insert(text string) {
	if count := len(s.instructions); count > 0 && s.instructions[count-1].inserted != nil {
		last := &s.instructions[count-1]
		last.inserted = append(last.inserted, text...)
		last.length = len(last.inserted)
		return
	}
	s.instructions = append(s.instructions, instruction{inserted: []byte(text), length: len(text)})
}
