package registry

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// lifeMark stands between a server's name and the time of its start. Names are parts of
// paths, which never hold it.
const lifeMark = "#"

// LifeID returns the id of one start of a server that keeps its name: nothing that is known
// of an earlier start holds for it. A start of which the time is not known has the name
// itself.
func LifeID(name string, born int64) string {
	if born <= 0 {
		return name
	}
	return name + lifeMark + strconv.FormatInt(born, 10)
}

// NameOf returns the server's own name of an id.
func NameOf(id string) string {
	name, _, _ := strings.Cut(id, lifeMark)
	return name
}

// Starts returns the ids of all starts that are known of a server, ordered.
func (t *Table) Starts(name string) []string {
	var starts []string
	for id := range t.entries {
		if NameOf(id) == name {
			starts = append(starts, id)
		}
	}
	slices.Sort(starts)
	return starts
}

// Heard reports whether the start of a server that is in use is known: one that did not leave, or
// that left and was heard of lately. What was only kept over a start of the table's node does not
// count.
func (t *Table) Heard(now time.Time, name string) bool {
	for id, known := range t.entries {
		inUse := known.instance.State != Leaving || now.Sub(known.heard) <= t.missingAfter
		if inUse && !known.instance.Restored && NameOf(id) == name {
			return true
		}
	}
	return false
}

// KeepNames reports whether servers keep their names over starts: some names a time of start, or
// none is known.
func (t *Table) KeepNames() bool {
	for _, known := range t.entries {
		if known.instance.Born > 0 {
			return true
		}
	}
	return len(t.entries) == 0
}
