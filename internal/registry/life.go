package registry

import (
	"slices"
	"strconv"
	"strings"
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
