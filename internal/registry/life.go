package registry

import (
	"maps"
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

// addStart and removeStart keep the starts of each server.
func (t *Table) addStart(added *entry) {
	name := NameOf(added.instance.ID)
	if t.byName[name] == nil {
		t.byName[name] = make(map[string]*entry)
	}
	t.byName[name][added.instance.ID] = added
	if added.instance.Born > 0 {
		t.named++
	}
}

func (t *Table) removeStart(removed *entry) {
	name := NameOf(removed.instance.ID)
	delete(t.byName[name], removed.instance.ID)
	if len(t.byName[name]) == 0 {
		delete(t.byName, name)
	}
	if removed.instance.Born > 0 {
		t.named--
	}
}

// Starts returns the ids of all starts that are known of a server, ordered.
func (t *Table) Starts(name string) []string {
	return slices.Sorted(maps.Keys(t.byName[name]))
}

// departureRepeats is for how long a server is taken to repeat a departure that was recorded, and
// whose acknowledgement was lost.
const departureRepeats = 15 * time.Second

// Heard reports whether the start of a server that is in use is known: one that did not leave, or
// that left and was heard of lately, or was when it left and may repeat its departure. What was only kept
// over a start of the table's node does not count.
func (t *Table) Heard(now time.Time, name string) bool {
	for _, known := range t.byName[name] {
		if !known.instance.Restored && known.mayDepart(now, t.missingAfter) {
			return true
		}
	}
	return false
}

func (e *entry) mayDepart(now time.Time, missingAfter time.Duration) bool {
	silent := now.Sub(e.heard)
	return e.instance.State != Leaving || silent <= missingAfter || e.leftInUse && silent <= departureRepeats
}

// KeepNames reports whether servers keep their names over starts: some names a time of start, or
// none is known.
func (t *Table) KeepNames() bool { return t.named > 0 || len(t.entries) == 0 }
