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

// maxDepartures bounds the recorded departures; the oldest are dropped. Instance ids are never
// reused, and an instance that departed stops within minutes.
const maxDepartures = 20_000

// command is one entry of the replicated log.
type command struct {
	// Document is to take effect as version Version.
	Version  uint64 `json:"version,omitempty"`
	Document []byte `json:"document,omitempty"`
	// Departures are ids of instances that get no new work; Names are servers that departed
	// without naming an incarnation.
	Departures []string `json:"departures,omitempty"`
	Names      []string `json:"names,omitempty"`
	// Starts are servers that departed and named an incarnation: earlier incarnations depart with
	// it.
	Starts []departedIncarnation `json:"starts,omitempty"`
	// Formed reports that the group has once reached its size.
	Formed bool `json:"formed,omitempty"`
	// Evacuations are orders of operators, in the order in which they apply.
	Evacuations []evacuationOrder `json:"evacuations,omitempty"`
	// Rollouts are orders of operators and steps of the leader.
	Rollouts []rolloutCommand `json:"rollouts,omitempty"`
	// Quarantine are orders about requests that crash servers.
	Quarantine []quarantine.Command `json:"quarantine,omitempty"`
}

// applyResult is the result of applying a command.
type applyResult struct {
	// CurrentVersion is the document version in effect after the command.
	CurrentVersion uint64
	// Installed reports that the command's document is the one in effect.
	Installed bool
	// Quarantine is the result of orders about requests that crash servers.
	Quarantine QuarantineReply
	// ConflictingTarget is the target version of another rollout of the service that is in
	// progress.
	ConflictingTarget string
}

// replicatedState is the state driven by the log, as stored in snapshots.
type replicatedState struct {
	Version    uint64   `json:"version"`
	Document   []byte   `json:"document"`
	Departures []string `json:"departures"`
	// DroppedDepartures counts the departures dropped before these, so that positions stay
	// valid after a snapshot.
	DroppedDepartures int `json:"forgotten,omitempty"`
	// Names are the departed servers, by name and index; Index is that of the last applied
	// entry.
	Names  []registry.NameDeparture `json:"names,omitempty"`
	Index  uint64                   `json:"index,omitempty"`
	Formed bool                     `json:"formed"`
	// Evacuated are the zones whose servers get no requests, ordered by name;
	// EvacuationRevision increases with every change.
	Evacuated          []Evacuation `json:"evacuated,omitempty"`
	EvacuationRevision uint64       `json:"evacuation_revision,omitempty"`
	// Rollouts are the latest ones, ordered by service; RolloutRevision increases with every
	// change.
	Rollouts        []Rollout `json:"rollouts,omitempty"`
	RolloutRevision uint64    `json:"rollout_revision,omitempty"`
	// Quarantine holds the requests that crash servers.
	Quarantine quarantine.Ledger `json:"quarantine"`
}

// stateMachine applies the log. It is safe for concurrent use.
type stateMachine struct {
	mutex sync.Mutex
	state replicatedState
	// departed indexes the departures of the state.
	departed *registry.Departures
	changed  chan struct{}
}

var _ voter.StateMachine = (*stateMachine)(nil)

func newStateMachine() *stateMachine {
	return &stateMachine{departed: registry.NewDepartures(maxDepartures), changed: make(chan struct{})}
}

// Apply applies a committed command and returns an applyResult or an error.
func (m *stateMachine) Apply(index uint64, data []byte) any {
	var decoded command
	if err := json.Unmarshal(data, &decoded); err != nil {
		return errors.Wrap(err, "cannot decode a log entry")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.Index = index
	result := m.applyDocument(decoded)
	m.applyDepartures(decoded)
	m.state.Formed = m.state.Formed || decoded.Formed
	for _, order := range decoded.Evacuations {
		m.applyEvacuation(order)
	}
	for _, change := range decoded.Rollouts {
		result.ConflictingTarget = m.applyRollout(change)
	}
	if len(decoded.Quarantine) > 0 {
		result.Quarantine = m.applyQuarantine(decoded.Quarantine)
	}
	m.notifyChanged()
	return result
}

// applyDocument keeps the highest version. A version that is not higher than the current one
// changes nothing, whatever its content.
func (m *stateMachine) applyDocument(decoded command) applyResult {
	if decoded.Version <= m.state.Version {
		same := decoded.Version == m.state.Version && bytes.Equal(decoded.Document, m.state.Document)
		return applyResult{CurrentVersion: m.state.Version, Installed: same}
	}
	m.state.Version, m.state.Document = decoded.Version, decoded.Document
	return applyResult{CurrentVersion: decoded.Version, Installed: true}
}

// applyDepartures records the departures of the entry at the state's index.
func (m *stateMachine) applyDepartures(decoded command) {
	for _, id := range decoded.Departures {
		if m.departed.Add(id) {
			m.state.DroppedDepartures++
		}
	}
	for _, name := range decoded.Names {
		m.departed.AddName(registry.NameDeparture{Name: name, LogIndex: m.state.Index})
	}
	for _, start := range decoded.Starts {
		m.departed.AddName(registry.NameDeparture{Name: start.Name, LogIndex: m.state.Index, StartedAt: start.StartTime})
	}
}

func (m *stateMachine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot returns the complete state.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	snapshot := m.state
	snapshot.Departures, snapshot.Names = m.departed.IDs(), m.departed.NamesAfter(0)
	return json.Marshal(snapshot)
}

// Restore replaces the complete state.
func (m *stateMachine) Restore(data []byte) error {
	var restored replicatedState
	if err := json.Unmarshal(data, &restored); err != nil {
		return errors.Wrap(err, "cannot decode a snapshot")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.departed = registry.NewDepartures(maxDepartures)
	for _, id := range restored.Departures {
		m.departed.Add(id)
	}
	for _, departure := range restored.Names {
		m.departed.AddName(departure)
	}
	// From here on they are kept in m.departed.
	restored.Departures, restored.Names = nil, nil
	m.state = restored
	m.notifyChanged()
	return nil
}

// document returns the version in effect, its text, and a channel that is closed on the next
// state change.
func (m *stateMachine) document() (version uint64, text []byte, changed <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Version, m.state.Document, m.changed
}

// hasDeparted reports whether a departure is recorded for the id of an incarnation.
func (m *stateMachine) hasDeparted(id string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.departed.Has(id)
}

// departureApplies reports whether a departure applies to an instance.
func (m *stateMachine) departureApplies(instance registry.Instance) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.departed.Includes(instance)
}

// mayHaveDeparted reports whether an instance may be an earlier incarnation of a departed one.
func (m *stateMachine) mayHaveDeparted(instance registry.Instance) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.departed.Suspects(instance)
}

// serverDeparted reports whether any incarnation of a server has departed.
func (m *stateMachine) serverDeparted(name string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.departed.HasName(name)
}

// nextIndex is one above the index of the last entry applied to the state.
func (m *stateMachine) nextIndex() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Index + 1
}

// departedNames returns the departures by name above an index.
func (m *stateMachine) departedNames(above uint64) []registry.NameDeparture {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.departed.NamesAfter(above)
}

// departures returns the ids from a position on and the next position. A position beyond the
// end, as after a replay of the log, returns all ids.
func (m *stateMachine) departures(from int) (ids []string, next int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	dropped := m.state.DroppedDepartures
	ids = m.departed.IDs()
	next = dropped + len(ids)
	if from < dropped || from > next {
		from = dropped
	}
	return append([]string(nil), ids[from-dropped:]...), next
}

func (m *stateMachine) formed() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Formed
}
