package registry

import (
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

// Newest returns the id of the latest start that is known of a server; its name if none is.
func (t *Table) Newest(name string) string {
	newest, born := name, int64(0)
	for id, known := range t.entries {
		if known.instance.Born > born && NameOf(id) == name {
			newest, born = id, known.instance.Born
		}
	}
	return newest
}
