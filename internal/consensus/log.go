package consensus

import "slices"

// entryLog is the in-memory log: the entries after the last compaction, and the
// index and term of the entry that precedes them.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
}

func (l *entryLog) firstIndex() uint64 { return l.baseIndex + 1 }
func (l *entryLog) lastIndex() uint64  { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an entry, or false if the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// between returns the entries of [from, to].
func (l *entryLog) between(from, to uint64) []Entry {
	from = max(from, l.firstIndex())
	if from > to {
		return nil
	}
	low, high := from-l.firstIndex(), to-l.baseIndex
	return l.entries[low:high:high]
}

// batch returns entries starting at an index, at least one and up to maxBytes.
func (l *entryLog) batch(from uint64, maxBytes int) []Entry {
	if from > l.lastIndex() {
		return nil
	}
	entries := l.between(from, l.lastIndex())
	size := 0
	for i, entry := range entries {
		size += entry.size()
		if i > 0 && size > maxBytes {
			return entries[:i:i]
		}
	}
	return entries
}

// append removes all entries from entries[0].Index on, then adds the new ones.
func (l *entryLog) append(entries []Entry) {
	keep := entries[0].Index - l.firstIndex()
	if keep < uint64(len(l.entries)) {
		// Slices returned earlier share the backing array, so replacing the tail
		// needs a new array.
		l.entries = slices.Clip(l.entries[:keep])
	}
	l.entries = append(l.entries, entries...)
}

// compact drops the entries up to an index.
func (l *entryLog) compact(to uint64) {
	term, ok := l.term(to)
	if !ok || to <= l.baseIndex {
		return
	}
	l.entries = slices.Clone(l.entries[to-l.baseIndex:])
	l.baseIndex, l.baseTerm = to, term
}

func (l *entryLog) reset(index, term uint64) {
	l.baseIndex, l.baseTerm, l.entries = index, term, nil
}

// lastAtOrBelowTerm returns the highest index, no higher than the given one,
// whose term is at most the given term.
func (l *entryLog) lastAtOrBelowTerm(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	for index > l.baseIndex {
		if own, _ := l.term(index); own <= term {
			break
		}
		index--
	}
	return index
}

// upToDate reports whether a log that ends at index and term is at least as
// up-to-date as this one (§3.6.1).
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
