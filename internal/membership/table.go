package membership

import (
	"cmp"
	"slices"

	"github.com/samber/lo"
)

// sequenceBits is the number of low version bits that count changes within a term. 2^40
// changes at 1,000 per second last 34 years.
const sequenceBits = 40

// maxTombstones bounds the removed keys that a table remembers. A node that missed more is
// sent the whole table.
const maxTombstones = 4096

// Changes updates a table of some version to Version.
type Changes[V any] struct {
	Version uint64
	// Full says that Set is the whole table.
	Full    bool
	Set     []V
	Removed []string
}

// Table is a versioned map. At the root of the tree, Put and Remove number the changes; below,
// Merge adopts the numbers, so that a node may move to another relay and continue from the
// version that it holds. It is not safe for concurrent use.
type Table[V comparable] struct {
	key     func(V) string
	version uint64
	entries map[string]entry[V]
	// removed holds the version at which each key was removed.
	removed map[string]uint64
	// oldest is the lowest version from which changes are known.
	oldest uint64
	// Versions strictly between gapAfter and gapBefore are missing in this table's history: it
	// was replaced as a whole there.
	gapAfter, gapBefore uint64
}

type entry[V any] struct {
	value   V
	version uint64
}

// NewTable returns an empty table of version 0. The function returns the key of a value.
func NewTable[V comparable](key func(V) string) *Table[V] {
	return &Table[V]{key: key, entries: make(map[string]entry[V]), removed: make(map[string]uint64)}
}

// StartTerm clears the table and starts the version numbering of a leader's term.
func (t *Table[V]) StartTerm(term uint64) {
	clear(t.entries)
	clear(t.removed)
	t.version = term << sequenceBits
	t.oldest = t.version
	t.gapAfter, t.gapBefore = 0, 0
}

// Put sets an entry and reports whether that changed anything.
func (t *Table[V]) Put(value V) bool {
	key := t.key(value)
	if known, found := t.entries[key]; found && known.value == value {
		return false
	}
	t.version++
	t.set(key, value, t.version)
	return true
}

// Remove deletes an entry and reports whether it was there.
func (t *Table[V]) Remove(key string) bool {
	if _, found := t.entries[key]; !found {
		return false
	}
	t.version++
	t.delete(key, t.version)
	return true
}

// Get returns the entry of a key.
func (t *Table[V]) Get(key string) (V, bool) {
	known, found := t.entries[key]
	return known.value, found
}

// Version returns the version of the table.
func (t *Table[V]) Version() uint64 { return t.version }

// Len returns the number of entries.
func (t *Table[V]) Len() int { return len(t.entries) }

// Values returns the entries, sorted by key.
func (t *Table[V]) Values() []V {
	keys := lo.Keys(t.entries)
	slices.Sort(keys)
	return lo.Map(keys, func(key string, _ int) V { return t.entries[key].value })
}

// ChangesSince returns the changes to send to a holder of a version, and false if it is up to
// date.
func (t *Table[V]) ChangesSince(version uint64) (Changes[V], bool) {
	if version >= t.version {
		return Changes[V]{}, false
	}
	changes := Changes[V]{Version: t.version}
	inGap := t.gapAfter < version && version < t.gapBefore
	if version < t.oldest || inGap {
		changes.Full = true
		changes.Set = t.Values()
		return changes, true
	}
	for key, known := range t.entries {
		if known.version > version {
			changes.Set = append(changes.Set, t.entries[key].value)
		}
	}
	for key, removedAt := range t.removed {
		if removedAt > version {
			changes.Removed = append(changes.Removed, key)
		}
	}
	slices.SortFunc(changes.Set, func(left, right V) int { return cmp.Compare(t.key(left), t.key(right)) })
	slices.Sort(changes.Removed)
	return changes, true
}

// Merge applies changes received from upstream and reports whether they were newer than this
// table.
func (t *Table[V]) Merge(changes Changes[V]) bool {
	if changes.Version <= t.version {
		return false
	}
	if changes.Full {
		t.replace(changes)
		return true
	}
	for _, value := range changes.Set {
		t.set(t.key(value), value, changes.Version)
	}
	for _, key := range changes.Removed {
		t.delete(key, changes.Version)
	}
	t.version = changes.Version
	return true
}

// replace adopts a whole table. Equal entries keep their version, so that nodes below are sent
// only the difference.
func (t *Table[V]) replace(changes Changes[V]) {
	// A second gap would need a list of gaps. Instead, history then starts after the first.
	t.oldest = max(t.oldest, t.gapBefore)
	if t.version == 0 {
		t.oldest = changes.Version
	}
	t.gapAfter, t.gapBefore = t.version, changes.Version
	kept := make(map[string]bool, len(changes.Set))
	for _, value := range changes.Set {
		key := t.key(value)
		kept[key] = true
		if known, found := t.entries[key]; !found || known.value != value {
			t.set(key, value, changes.Version)
		}
	}
	for key := range t.entries {
		if !kept[key] {
			t.delete(key, changes.Version)
		}
	}
	t.version = changes.Version
}

func (t *Table[V]) set(key string, value V, version uint64) {
	delete(t.removed, key)
	t.entries[key] = entry[V]{value: value, version: version}
}

func (t *Table[V]) delete(key string, version uint64) {
	delete(t.entries, key)
	t.removed[key] = version
	if len(t.removed) > maxTombstones {
		t.forgetTombstones()
	}
}

// forgetTombstones drops the older half; holders of older versions are sent the whole table
// from now on.
func (t *Table[V]) forgetTombstones() {
	versions := lo.Values(t.removed)
	slices.Sort(versions)
	cut := versions[len(versions)/2]
	for key, removedAt := range t.removed {
		if removedAt <= cut {
			delete(t.removed, key)
		}
	}
	t.oldest = max(t.oldest, cut)
}
