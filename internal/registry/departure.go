package registry

import "slices"

// NameDeparture records the departure of a server by name. It applies to each incarnation that
// a directory node first knew of before the departure was applied: if it names an
// incarnation's start time, to those that claim no later one; otherwise to all.
type NameDeparture struct {
	Name string `json:"name"`
	// The index of the departure in the group's log.
	LogIndex uint64 `json:"before"`
	// The start time of the departed incarnation by its own clock, in ms since 1970; 0 if not
	// given.
	StartedAt int64 `json:"born,omitempty"`
}

// appliesTo reports whether the departure applies to an incarnation.
func (n NameDeparture) appliesTo(instance Instance) bool {
	return instance.KnownSinceIndex <= n.LogIndex && (n.StartedAt == 0 || instance.StartedAt <= n.StartedAt) && NameOf(instance.ID) == n.Name
}

// subsumes reports whether another departure of the name adds nothing: this one applies to
// every incarnation to which that one does, or both name the same incarnation. An incarnation
// first known after a departure started after it, also where that departure is reported
// again.
func (n NameDeparture) subsumes(other NameDeparture) bool {
	if n.StartedAt != 0 && n.StartedAt == other.StartedAt {
		return true
	}
	return n.LogIndex >= other.LogIndex && (n.StartedAt == 0 || other.StartedAt != 0 && n.StartedAt >= other.StartedAt)
}

// Departures holds the servers that left: incarnations by ID, and names. It keeps a bounded
// number of each, dropping the oldest: a server that left ends within minutes. Use
// NewDepartures to create one.
type Departures struct {
	limit int
	// ids and names are in the order of insertion. idSet and byName index them; byName omits
	// departures that another one subsumes.
	ids    []string
	names  []NameDeparture
	idSet  map[string]bool
	byName map[string][]NameDeparture
}

// NewDepartures returns an empty set that keeps at most limit IDs and limit names.
func NewDepartures(limit int) *Departures {
	return &Departures{limit: limit, idSet: make(map[string]bool), byName: make(map[string][]NameDeparture)}
}

// Add records the departure of an incarnation and reports whether the oldest one was evicted
// for it.
func (d *Departures) Add(id string) (evicted bool) {
	if d.idSet[id] {
		return false
	}
	d.idSet[id] = true
	d.ids = append(d.ids, id)
	if len(d.ids) <= d.limit {
		return false
	}
	delete(d.idSet, d.ids[0])
	d.ids = d.ids[1:]
	return true
}

// AddName records the departure of a server by its name.
func (d *Departures) AddName(departure NameDeparture) {
	known := d.byName[departure.Name]
	if slices.ContainsFunc(known, func(other NameDeparture) bool { return other.subsumes(departure) }) {
		return
	}
	known = slices.DeleteFunc(known, departure.subsumes)
	d.byName[departure.Name] = append(known, departure)
	d.names = append(d.names, departure)
	if len(d.names) > d.limit {
		d.evictName(d.names[0])
		d.names = d.names[1:]
	}
}

func (d *Departures) evictName(oldest NameDeparture) {
	kept := slices.DeleteFunc(d.byName[oldest.Name], func(other NameDeparture) bool { return other == oldest })
	if len(kept) == 0 {
		delete(d.byName, oldest.Name)
		return
	}
	d.byName[oldest.Name] = kept
}

// Has reports whether an incarnation left, by its ID.
func (d *Departures) Has(id string) bool { return d.idSet[id] }

// HasName reports whether a server left, by its name.
func (d *Departures) HasName(name string) bool { return len(d.byName[name]) > 0 }

// Includes reports whether an instance left, by its ID or its name.
func (d *Departures) Includes(instance Instance) bool {
	if d.idSet[instance.ID] {
		return true
	}
	return slices.ContainsFunc(d.byName[NameOf(instance.ID)], func(left NameDeparture) bool { return left.appliesTo(instance) })
}

// Suspects reports whether an instance was known before the departure of an incarnation of its
// server that has an earlier start time. The clock may have been set back in between, so the
// departed incarnation may have been the active one.
func (d *Departures) Suspects(instance Instance) bool {
	return slices.ContainsFunc(d.byName[NameOf(instance.ID)], func(left NameDeparture) bool {
		return left.StartedAt > 0 && left.StartedAt < instance.StartedAt && instance.KnownSinceIndex <= left.LogIndex
	})
}

// IDs returns the IDs that are kept, oldest first. The caller must not modify them.
func (d *Departures) IDs() []string { return d.ids }

// NamesAfter returns the departures of names above a log index, oldest first.
func (d *Departures) NamesAfter(index uint64) []NameDeparture {
	first := len(d.names)
	for first > 0 && d.names[first-1].LogIndex > index {
		first--
	}
	return append([]NameDeparture(nil), d.names[first:]...)
}
