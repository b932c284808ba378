package registry

import "slices"

// NameDeparture says that a server left. It holds for each start that a directory node had heard of
// before the departure was in its state: of a departure that names a start, for those that claim no
// later time of start; of one that names none, for all.
type NameDeparture struct {
	Name string `json:"name"`
	// Before is the index of the departure in the group's log.
	Before uint64 `json:"before"`
	// Born is when the start that left was started, by its own clock, ms since 1970; 0 if it is not
	// named.
	Born int64 `json:"born,omitempty"`
}

// holds reports whether an instance is one of the starts that are meant.
func (n NameDeparture) holds(instance Instance) bool {
	return instance.Since <= n.Before && (n.Born == 0 || instance.Born <= n.Born) && NameOf(instance.ID) == n.Name
}

// covers reports whether nothing is new in another departure of the name: this one holds for each start
// for which that one does, or is of the same start. What was heard of after a start had left came after it,
// also where its departure is told again.
func (n NameDeparture) covers(other NameDeparture) bool {
	if n.Born != 0 && n.Born == other.Born {
		return true
	}
	return n.Before >= other.Before && (n.Born == 0 || other.Born != 0 && n.Born >= other.Born)
}

// Departures are the servers that left: starts by their ids, and names. It keeps a bounded
// number of each, the latest ones: a server that left ends within minutes. The zero value is
// not ready for use.
type Departures struct {
	limit int
	// ids and names are ordered by when they were added; starts and byName index them, byName without
	// those that another one covers.
	ids    []string
	names  []NameDeparture
	starts map[string]bool
	byName map[string][]NameDeparture
}

// NewDepartures returns an empty set that keeps at most a number of ids and of names.
func NewDepartures(limit int) *Departures {
	return &Departures{limit: limit, starts: make(map[string]bool), byName: make(map[string][]NameDeparture)}
}

// Add takes in that a start left, and reports whether an older one was forgotten for it.
func (d *Departures) Add(id string) (forgot bool) {
	if d.starts[id] {
		return false
	}
	d.starts[id] = true
	d.ids = append(d.ids, id)
	if len(d.ids) <= d.limit {
		return false
	}
	delete(d.starts, d.ids[0])
	d.ids = d.ids[1:]
	return true
}

// AddName takes in that a server left, by its name.
func (d *Departures) AddName(left NameDeparture) {
	known := d.byName[left.Name]
	if slices.ContainsFunc(known, func(other NameDeparture) bool { return other.covers(left) }) {
		return
	}
	known = slices.DeleteFunc(known, left.covers)
	d.byName[left.Name] = append(known, left)
	d.names = append(d.names, left)
	if len(d.names) > d.limit {
		d.forgetName(d.names[0])
		d.names = d.names[1:]
	}
}

func (d *Departures) forgetName(oldest NameDeparture) {
	kept := slices.DeleteFunc(d.byName[oldest.Name], func(other NameDeparture) bool { return other == oldest })
	if len(kept) == 0 {
		delete(d.byName, oldest.Name)
		return
	}
	d.byName[oldest.Name] = kept
}

// Has reports whether a start left by its id.
func (d *Departures) Has(id string) bool { return d.starts[id] }

// HasName reports whether a server left by its name.
func (d *Departures) HasName(name string) bool { return len(d.byName[name]) > 0 }

// Hold reports whether an instance left, by its id or by its name.
func (d *Departures) Hold(instance Instance) bool {
	if d.starts[instance.ID] {
		return true
	}
	return slices.ContainsFunc(d.byName[NameOf(instance.ID)], func(left NameDeparture) bool { return left.holds(instance) })
}

// Doubts reports whether an instance was heard of before a start of its server left that names an
// earlier time of start: the one that left may have been in use, with a clock that was set back.
func (d *Departures) Doubts(instance Instance) bool {
	return slices.ContainsFunc(d.byName[NameOf(instance.ID)], func(left NameDeparture) bool {
		return left.Born > 0 && left.Born < instance.Born && instance.Since <= left.Before
	})
}

// IDs returns the ids that are kept, the oldest first. They are not to be changed.
func (d *Departures) IDs() []string { return d.ids }

// NamesAfter returns the departures of names above an index, the oldest first.
func (d *Departures) NamesAfter(index uint64) []NameDeparture {
	first := len(d.names)
	for first > 0 && d.names[first-1].Before > index {
		first--
	}
	return append([]NameDeparture(nil), d.names[first:]...)
}
