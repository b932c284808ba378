package directory

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/quarantine"
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
	// Departures are ids of instances that get no new work.
	Departures []string `json:"departures,omitempty"`
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

// replicated is the state that the log drives.
type replicated struct {
	Version    uint64   `json:"version"`
	Document   []byte   `json:"document"`
	Departures []string `json:"departures"`
	// Forgotten counts older departures than those, so that positions go on after a snapshot.
	Forgotten int  `json:"forgotten,omitempty"`
	Formed    bool `json:"formed"`
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
	// departed holds the ids of state.Departures.
	departed map[string]bool
	changed  chan struct{}
}

var _ voter.StateMachine = (*machine)(nil)

func newMachine() *machine {
	return &machine{departed: make(map[string]bool), changed: make(chan struct{})}
}

// Apply carries out a committed command and returns a putResult or an error.
func (m *machine) Apply(_ uint64, data []byte) any {
	var decoded command
	if err := json.Unmarshal(data, &decoded); err != nil {
		return errors.Wrap(err, "a log entry can't be read")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	result := m.putDocument(decoded)
	for _, id := range decoded.Departures {
		m.depart(id)
	}
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

func (m *machine) depart(id string) {
	if m.departed[id] {
		return
	}
	m.departed[id] = true
	m.state.Departures = append(m.state.Departures, id)
	if len(m.state.Departures) > maxDepartures {
		delete(m.departed, m.state.Departures[0])
		m.state.Departures = m.state.Departures[1:]
		m.state.Forgotten++
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
	return json.Marshal(m.state)
}

// Restore replaces the whole state.
func (m *machine) Restore(data []byte) error {
	var restored replicated
	if err := json.Unmarshal(data, &restored); err != nil {
		return errors.Wrap(err, "a snapshot can't be read")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state = restored
	m.departed = make(map[string]bool, len(restored.Departures))
	for _, id := range restored.Departures {
		m.departed[id] = true
	}
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

// hasDeparted reports whether an instance said that it leaves.
func (m *machine) hasDeparted(id string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.departed[id]
}

// departures returns the ids from a position on, and the position behind them.
// A position that is beyond the end, as of a state that is replayed, gives all.
func (m *machine) departures(from int) (ids []string, next int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	forgotten := m.state.Forgotten
	next = forgotten + len(m.state.Departures)
	if from < forgotten || from > next {
		from = forgotten
	}
	return append([]string(nil), m.state.Departures[from-forgotten:]...), next
}

func (m *machine) formed() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Formed
}
