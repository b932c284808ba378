package registry

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// incarnationSeparator separates a server's name from its start time in an ID. Names are path
// segments, which never contain it.
const incarnationSeparator = "#"

// IncarnationID returns the ID of one incarnation of a server that keeps its name across restarts, so
// that nothing known of an earlier incarnation applies to it. An incarnation without a known
// start time has the name itself.
func IncarnationID(name string, startedAt int64) string {
	if startedAt <= 0 {
		return name
	}
	return name + incarnationSeparator + strconv.FormatInt(startedAt, 10)
}

// NameOf returns the server name in an ID.
func NameOf(id string) string {
	name, _, _ := strings.Cut(id, incarnationSeparator)
	return name
}

// addIncarnation and removeIncarnation maintain the incarnations by server name.
func (t *Table) addIncarnation(added *entry) {
	name := NameOf(added.instance.ID)
	if t.byName[name] == nil {
		t.byName[name] = make(map[string]*entry)
	}
	t.byName[name][added.instance.ID] = added
	if added.instance.StartedAt > 0 {
		t.withStartTime++
	}
}

func (t *Table) removeIncarnation(removed *entry) {
	name := NameOf(removed.instance.ID)
	delete(t.byName[name], removed.instance.ID)
	if len(t.byName[name]) == 0 {
		delete(t.byName, name)
	}
	if removed.instance.StartedAt > 0 {
		t.withStartTime--
	}
}

// Incarnations returns the IDs of all known incarnations of a server, sorted.
func (t *Table) Incarnations(name string) []string {
	return slices.Sorted(maps.Keys(t.byName[name]))
}

// departureRetryWindow is for how long a server may repeat a departure that was recorded but
// whose acknowledgement was lost.
const departureRetryWindow = 15 * time.Second

// MayDepart reports whether a departure of a server can refer to a known incarnation: one that
// sent a heartbeat recently, or one that had done so when it left and may repeat its departure. A
// silent one may have been followed by an incarnation that is not known yet, to which the departure
// would not apply, unless its server names no start times. Entries that were only restored from
// the file of the table's node do not count.
func (t *Table) MayDepart(now time.Time, name string) bool {
	for _, known := range t.byName[name] {
		if !known.instance.Restored && known.mayDepart(now, t.missingAfter) {
			return true
		}
	}
	return false
}

func (e *entry) mayDepart(now time.Time, missingAfter time.Duration) bool {
	silent := now.Sub(e.lastHeartbeat)
	if silent <= missingAfter || e.recentAtDeparture && silent <= departureRetryWindow {
		return true
	}
	return e.instance.StartedAt == 0 && e.instance.State != Leaving
}

// StableNames reports whether servers keep their names across restarts: some instance has a
// start time, or no instance is known.
func (t *Table) StableNames() bool { return t.withStartTime > 0 || len(t.entries) == 0 }
