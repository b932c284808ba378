package directory

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/voter"
)

// maxDepartures bounds the remembered departures; the oldest are forgotten. The
// ids of instances are never used again, and an instance that left ends within
// minutes.
const maxDepartures = 20_000

// command is one entry of the replicated log.
type command struct {
	// Document of Version is to be put in force.
	Version  uint64 `json:"version,omitempty"`
	Document []byte `json:"document,omitempty"`
	// Departures are ids of instances that get no new work; Names are servers that left
	// without saying which of their starts is meant.
	Departures []string `json:"departures,omitempty"`
	Names      []string `json:"names,omitempty"`
	// Starts are servers that left and said which start is meant: earlier ones leave with it.
	Starts []departedStart `json:"starts,omitempty"`
	// Formed says that the group has reached its size once.
	Formed bool `json:"formed,omitempty"`
	// Evacuations are orders of operators, in the order in which they hold.
	Evacuations []evacuationOrder `json:"evacuations,omitempty"`
	// Rollouts are orders of operators, and steps of the leader.
	Rollouts []rolloutCommand `json:"rollouts,omitempty"`
	// Quarantine are orders about requests that end servers.
	Quarantine []quarantine.Order `json:"quarantine,omitempty"`
}

// putResult is what applying a document gave.
type putResult struct {
	// Held is the version in force after the command.
	Held uint64
	// Installed says that the command's document is the one in force.
	Installed bool
	// Quarantine is what orders about requests that end servers gave.
	Quarantine QuarantineReply
	// UnderWay is the version to which another roll-out of the service is under way.
	UnderWay string
}

// replicated is the state that the log drives, as snapshots keep it.
type replicated struct {
	Version    uint64   `json:"version"`
	Document   []byte   `json:"document"`
	Departures []string `json:"departures"`
	// Forgotten counts older departures than those, so that positions go on after a snapshot.
	Forgotten int `json:"forgotten,omitempty"`
	// Names are the servers that left, by name and index, and Index is that of the last entry that
	// was applied.
	Names  []registry.NameDeparture `json:"names,omitempty"`
	Index  uint64                   `json:"index,omitempty"`
	Formed bool                     `json:"formed"`
	// Evacuated are the zones whose servers get no requests, ordered by name, and
	// EvacuationRevision rises whenever they change.
	Evacuated          []Evacuation `json:"evacuated,omitempty"`
	EvacuationRevision uint64       `json:"evacuation_revision,omitempty"`
	// Rollouts are the latest ones, ordered by service; RolloutRevision rises whenever they
	// change.
	Rollouts        []Rollout `json:"rollouts,omitempty"`
	RolloutRevision uint64    `json:"rollout_revision,omitempty"`
	// Quarantine holds the requests that end servers.
	Quarantine quarantine.Book `json:"quarantine"`
}

// machine applies the log. It is safe for concurrent use.
type machine struct {
	mutex sync.Mutex
	state replicated
	// departed are the departures of the state.
	departed *registry.Departures
	changed  chan struct{}
}

var _ voter.StateMachine = (*machine)(nil)

func newMachine() *machine {
	return &machine{departed: registry.NewDepartures(maxDepartures), changed: make(chan struct{})}
}

// Apply carries out a committed command and returns a putResult or an error.
func (m *machine) Apply(index uint64, data []byte) any {
	var decoded command
	if err := json.Unmarshal(data, &decoded); err != nil {
		return errors.Wrap(err, "a log entry can't be read")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.Index = index
	result := m.putDocument(decoded)
	m.depart(decoded)
	m.state.Formed = m.state.Formed || decoded.Formed
	for _, order := range decoded.Evacuations {
		m.evacuate(order)
	}
	for _, told := range decoded.Rollouts {
		result.UnderWay = m.applyRollout(told)
	}
	if len(decoded.Quarantine) > 0 {
		result.Quarantine = m.applyQuarantine(decoded.Quarantine)
	}
	m.notify()
	return result
}

// putDocument lets the highest version win. A version that is not higher than
// the one held changes nothing, whatever its content.
func (m *machine) putDocument(decoded command) putResult {
	if decoded.Version <= m.state.Version {
		same := decoded.Version == m.state.Version && bytes.Equal(decoded.Document, m.state.Document)
		return putResult{Held: m.state.Version, Installed: same}
	}
	m.state.Version, m.state.Document = decoded.Version, decoded.Document
	return putResult{Held: decoded.Version, Installed: true}
}

// depart takes in departures of the entry at the state's index.
func (m *machine) depart(decoded command) {
	for _, id := range decoded.Departures {
		if m.departed.Add(id) {
			m.state.Forgotten++
		}
	}
	for _, name := range decoded.Names {
		m.departed.AddName(registry.NameDeparture{Name: name, Before: m.state.Index})
	}
	for _, start := range decoded.Starts {
		m.departed.AddName(registry.NameDeparture{Name: start.Name, Before: m.state.Index, Born: start.Born})
	}
}

func (m *machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot returns the whole state.
func (m *machine) Snapshot() ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	whole := m.state
	whole.Departures, whole.Names = m.departed.IDs(), m.departed.NamesAfter(0)
	return json.Marshal(whole)
}

// Restore replaces the whole state.
func (m *machine) Restore(data []byte) error {
	var restored replicated
	if err := json.Unmarshal(data, &restored); err != nil {
		return errors.Wrap(err, "a snapshot can't be read")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.departed = registry.NewDepartures(maxDepartures)
	for _, id := range restored.Departures {
		m.departed.Add(id)
	}
	for _, left := range restored.Names {
		m.departed.AddName(left)
	}
	// The set keeps them from here on.
	restored.Departures, restored.Names = nil, nil
	m.state = restored
	m.notify()
	return nil
}

// document returns the version in force, its text, and a channel that is closed
// with the next change of the state.
func (m *machine) document() (version uint64, text []byte, changed <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Version, m.state.Document, m.changed
}

// hasDeparted reports whether the departure of a start is known by its id.
func (m *machine) hasDeparted(id string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.departed.Has(id)
}

// holds reports whether a departure holds for an instance.
func (m *machine) holds(instance registry.Instance) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.departed.Hold(instance)
}

// doubts reports whether an instance may be an earlier start of one that left.
func (m *machine) doubts(instance registry.Instance) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.departed.Doubts(instance)
}

// hasLeft reports whether some start of a server left.
func (m *machine) hasLeft(name string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.departed.HasName(name)
}

// next is the index of the first entry that was not applied yet, as far as entries change the
// state.
func (m *machine) next() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Index + 1
}

// departedNames returns the departures of names above an index.
func (m *machine) departedNames(above uint64) []registry.NameDeparture {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.departed.NamesAfter(above)
}

// departures returns the ids from a position on, and the position behind them.
// A position that is beyond the end, as of a state that is replayed, gives all.
func (m *machine) departures(from int) (ids []string, next int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	forgotten := m.state.Forgotten
	ids = m.departed.IDs()
	next = forgotten + len(ids)
	if from < forgotten || from > next {
		from = forgotten
	}
	return append([]string(nil), ids[from-forgotten:]...), next
}

func (m *machine) formed() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Formed
}
