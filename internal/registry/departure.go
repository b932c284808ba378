package registry

// NameDeparture says that a server left without saying which of its starts is meant: it
// holds for each start that a directory node had heard of before the departure was in its
// state.
type NameDeparture struct {
	Name string `json:"name"`
	// Before is the index of the departure in the group's log.
	Before uint64 `json:"before"`
}

// holds reports whether an instance is one of the starts that are meant.
func (n NameDeparture) holds(instance Instance) bool {
	return instance.Since <= n.Before && NameOf(instance.ID) == n.Name
}

// Departures are the servers that left: starts by their ids, and names. It keeps a bounded
// number of each, the latest ones: a server that left ends within minutes. The zero value is
// not ready for use.
type Departures struct {
	limit int
	// ids and names are ordered by when they were added; starts and before index them.
	ids    []string
	names  []NameDeparture
	starts map[string]bool
	before map[string]uint64
}

// NewDepartures returns an empty set that keeps at most a number of ids and of names.
func NewDepartures(limit int) *Departures {
	return &Departures{limit: limit, starts: make(map[string]bool), before: make(map[string]uint64)}
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

// AddName takes in that a server left without naming its start.
func (d *Departures) AddName(left NameDeparture) {
	if left.Before <= d.before[left.Name] {
		return
	}
	d.before[left.Name] = left.Before
	d.names = append(d.names, left)
	if len(d.names) <= d.limit {
		return
	}
	oldest := d.names[0]
	d.names = d.names[1:]
	if d.before[oldest.Name] == oldest.Before {
		delete(d.before, oldest.Name)
	}
}

// Has reports whether a start left by its id.
func (d *Departures) Has(id string) bool { return d.starts[id] }

// Hold reports whether an instance left, by its id or by its name.
func (d *Departures) Hold(instance Instance) bool {
	if d.starts[instance.ID] {
		return true
	}
	name := NameOf(instance.ID)
	before, left := d.before[name]
	return left && NameDeparture{Name: name, Before: before}.holds(instance)
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
