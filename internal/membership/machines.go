package membership

import (
	"maps"
	"slices"
	"time"
)

// State is the reported state of a back-end machine.
type State uint8

// States, mildest first. The most severe reported state counts.
const (
	Live State = iota + 1
	Leaving
	Gone
)

var stateNames = map[State]string{Live: "live", Leaving: "leaving", Gone: "gone"}

// String returns the wire form: live, leaving or gone.
func (s State) String() string { return stateNames[s] }

// ParseState parses the wire form of a state.
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

// Machine is the state of one back end as distributed to all routers. Machines that nobody
// reports as leaving or gone are not listed.
type Machine struct {
	Address string
	State   State
	// Source is whose report decided: platform, operator or the name of a router.
	Source string
}

// Observation is a router's report on a back end.
type Observation struct {
	Address string
	State   State
	Router  string
}

const (
	// ObservationLifetime is how long an observation counts. A router that still observes the
	// same state repeats it in time.
	ObservationLifetime = 30 * time.Second
	// goneQuorum is how many routers must report a back end gone before all others are
	// notified: a single router may itself be partitioned. A back end announces by itself that
	// it is leaving, so one report is enough for that.
	goneQuorum = 2
)

// Machines merges the reports of the platform, operators and routers on back ends. The
// platform list lags behind reality: it can take a machine out of use, but its state "live" is
// ignored, so it never revives a machine that an operator or a router reports as leaving or
// gone. It is not safe for concurrent use.
type Machines struct {
	platform map[string]State
	operator map[string]State
	reports  map[string]map[string]report
	table    *Table[Machine]
}

type report struct {
	state State
	until time.Time
}

// NewMachines returns an empty view.
func NewMachines() *Machines {
	return &Machines{
		platform: make(map[string]State),
		operator: make(map[string]State),
		reports:  make(map[string]map[string]report),
		table:    NewMachineTable(),
	}
}

// NewMachineTable returns an empty table of machines, for nodes below the root.
func NewMachineTable() *Table[Machine] {
	return NewTable(func(machine Machine) string { return machine.Address })
}

// Table returns the merged states.
func (m *Machines) Table() *Table[Machine] { return m.table }

// StartTerm clears the reports of followers and starts the version numbering of a leader's
// term. Reports of the platform and of operators are kept.
func (m *Machines) StartTerm(now time.Time, term uint64) {
	clear(m.reports)
	m.table.StartTerm(term)
	for address := range m.platform {
		m.merge(now, address)
	}
	for address := range m.operator {
		m.merge(now, address)
	}
}

// SetPlatformList replaces the platform's list. A machine that is no longer listed counts as gone
// until it is listed again.
func (m *Machines) SetPlatformList(now time.Time, list map[string]State) {
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

// SetOperatorState records an operator's report; Live withdraws the one before.
func (m *Machines) SetOperatorState(now time.Time, address string, state State) {
	if state == Live {
		delete(m.operator, address)
	} else {
		m.operator[address] = state
	}
	m.merge(now, address)
}

// Observe records a router's observation; Live withdraws only that router's own one.
func (m *Machines) Observe(now time.Time, observation Observation) {
	byRouter := m.reports[observation.Address]
	if observation.State == Live {
		delete(byRouter, observation.Router)
	} else {
		if byRouter == nil {
			byRouter = make(map[string]report)
			m.reports[observation.Address] = byRouter
		}
		byRouter[observation.Router] = report{state: observation.State, until: now.Add(ObservationLifetime)}
	}
	m.merge(now, observation.Address)
}

// Forget drops the observations that a router made before a moment: an earlier run of it can
// no longer withdraw them.
func (m *Machines) Forget(router string, before time.Time) {
	for _, address := range slices.Sorted(maps.Keys(m.reports)) {
		byRouter := m.reports[address]
		last, found := byRouter[router]
		if found && last.until.Add(-ObservationLifetime).Before(before) {
			delete(byRouter, router)
			m.merge(before, address)
		}
	}
}

// Expire drops observations that were not repeated in time.
func (m *Machines) Expire(now time.Time) {
	for address := range m.reports {
		m.merge(now, address)
	}
}

// merge derives the state of one machine from all reports on it.
func (m *Machines) merge(now time.Time, address string) {
	merged := Machine{Address: address, State: Live}
	raise := func(state State, source string) {
		if state > merged.State {
			merged.State, merged.Source = state, source
		}
	}
	raise(m.operator[address], SourceOperator)
	state, router := m.observedState(now, address)
	raise(state, router)
	raise(m.platform[address], SourcePlatform)
	if merged.State == Live {
		m.table.Remove(address)
		return
	}
	m.table.Put(merged)
}

// observedState returns the state derived from the routers' reports and the name of one of the
// routers, the first by name so that the result does not depend on map order.
func (m *Machines) observedState(now time.Time, address string) (State, string) {
	byRouter := m.reports[address]
	first, gone := "", 0
	for router, last := range byRouter {
		if !now.Before(last.until) {
			delete(byRouter, router)
			continue
		}
		if last.state == Gone {
			gone++
		}
		if first == "" || router < first {
			first = router
		}
	}
	switch {
	case len(byRouter) == 0:
		delete(m.reports, address)
		return Live, ""
	case gone >= goneQuorum:
		return Gone, first
	case gone == len(byRouter):
		return Live, ""
	}
	return Leaving, first
}
