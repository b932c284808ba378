package membership

import (
	"maps"
	"slices"
	"time"
)

// State is the state of a back-end machine by somebody's word.
type State uint8

// States, mildest first. The most severe one that anybody vouches for counts.
const (
	Live State = iota + 1
	Leaving
	Gone
)

var stateNames = map[State]string{Live: "live", Leaving: "leaving", Gone: "gone"}

// String returns the wire form: live, leaving or gone.
func (s State) String() string { return stateNames[s] }

// ParseState reads the wire form of a state.
func ParseState(text string) (State, bool) {
	for state, name := range stateNames {
		if name == text {
			return state, true
		}
	}
	return 0, false
}

// Sources of a machine's state besides the names of routers.
const (
	SourcePlatform = "platform"
	SourceOperator = "operator"
)

// Machine is the state of one back end as spread to all routers. Machines
// that nobody says anything bad of are not listed.
type Machine struct {
	Address string
	State   State
	// Source is whose word decided: platform, operator or the name of a router.
	Source string
}

// Observation is what one router saw of a back end.
type Observation struct {
	Address string
	State   State
	Router  string
}

const (
	// ObservationLifetime is how long an observation counts. A router that
	// still sees the same repeats it in time.
	ObservationLifetime = 30 * time.Second
	// goneWitnesses is how many routers must see a back end gone before all
	// others are told: one router that is itself cut off proves nothing. That
	// a back end is leaving it says itself, so one witness is enough.
	goneWitnesses = 2
)

// Machines merges what the platform, operators and routers say of back ends.
// The platform list lags behind reality: it can take a machine out of use, but
// its word "live" counts for nothing, so it never revives a machine that an
// operator or a router holds for leaving or gone. It is not safe for
// concurrent use.
type Machines struct {
	platform map[string]State
	operator map[string]State
	observed map[string]map[string]witness
	table    *Table[Machine]
}

type witness struct {
	state State
	until time.Time
}

// NewMachines returns an empty view.
func NewMachines() *Machines {
	return &Machines{
		platform: make(map[string]State),
		operator: make(map[string]State),
		observed: make(map[string]map[string]witness),
		table:    NewMachineTable(),
	}
}

// NewMachineTable returns the table that Machines spreads, for nodes below the
// root.
func NewMachineTable() *Table[Machine] {
	return NewTable(func(machine Machine) string { return machine.Address })
}

// Table returns the merged states.
func (m *Machines) Table() *Table[Machine] { return m.table }

// StartTerm empties what was learned from followers and starts a leader's
// numbering. The platform's and operators' words are kept.
func (m *Machines) StartTerm(now time.Time, term uint64) {
	clear(m.observed)
	m.table.StartTerm(term)
	for address := range m.platform {
		m.merge(now, address)
	}
	for address := range m.operator {
		m.merge(now, address)
	}
}

// SetPlatform replaces the platform's list. A machine that was on the list
// before and is no more counts as gone until it is listed again.
func (m *Machines) SetPlatform(now time.Time, list map[string]State) {
	for address := range m.platform {
		if _, listed := list[address]; !listed {
			m.platform[address] = Gone
		}
	}
	for address, state := range list {
		m.platform[address] = state
	}
	for address := range m.platform {
		m.merge(now, address)
	}
}

// SetOperator notes an operator's word; Live withdraws the one before.
func (m *Machines) SetOperator(now time.Time, address string, state State) {
	if state == Live {
		delete(m.operator, address)
	} else {
		m.operator[address] = state
	}
	m.merge(now, address)
}

// Observe notes what a router saw; Live withdraws only its own word.
func (m *Machines) Observe(now time.Time, observation Observation) {
	witnesses := m.observed[observation.Address]
	if observation.State == Live {
		delete(witnesses, observation.Router)
	} else {
		if witnesses == nil {
			witnesses = make(map[string]witness)
			m.observed[observation.Address] = witnesses
		}
		witnesses[observation.Router] = witness{state: observation.State, until: now.Add(ObservationLifetime)}
	}
	m.merge(now, observation.Address)
}

// Forget drops what a router observed before a moment: an earlier run of it can
// take nothing back.
func (m *Machines) Forget(router string, before time.Time) {
	for _, address := range slices.Sorted(maps.Keys(m.observed)) {
		witnesses := m.observed[address]
		word, found := witnesses[router]
		if found && word.until.Add(-ObservationLifetime).Before(before) {
			delete(witnesses, router)
			m.merge(before, address)
		}
	}
}

// Expire drops observations that were not repeated in time.
func (m *Machines) Expire(now time.Time) {
	for address := range m.observed {
		m.merge(now, address)
	}
}

// merge derives the state of one machine from all that is said of it.
func (m *Machines) merge(now time.Time, address string) {
	merged := Machine{Address: address, State: Live}
	worsen := func(state State, source string) {
		if state > merged.State {
			merged.State, merged.Source = state, source
		}
	}
	worsen(m.operator[address], SourceOperator)
	state, router := m.witnessed(now, address)
	worsen(state, router)
	worsen(m.platform[address], SourcePlatform)
	if merged.State == Live {
		m.table.Remove(address)
		return
	}
	m.table.Put(merged)
}

// witnessed returns the state that routers vouch for and the name of one of
// them, the first by name so that the result does not depend on map order.
func (m *Machines) witnessed(now time.Time, address string) (State, string) {
	witnesses := m.observed[address]
	first, gone := "", 0
	for router, word := range witnesses {
		if !now.Before(word.until) {
			delete(witnesses, router)
			continue
		}
		if word.state == Gone {
			gone++
		}
		if first == "" || router < first {
			first = router
		}
	}
	switch {
	case len(witnesses) == 0:
		delete(m.observed, address)
		return Live, ""
	case gone >= goneWitnesses:
		return Gone, first
	case gone == len(witnesses):
		return Live, ""
	}
	return Leaving, first
}
