package control

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/martenstage/martenstage/internal/configdelta"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/state"
)

// Store is the applied state of a voter. The voter applies committed commands to
// it and services read it.
type Store struct {
	mutex   sync.RWMutex
	machine *state.Machine
	decode  func(*v1.Plan) (*plan.Plan, error)

	latest        *plan.Plan
	revision      uint64
	planChanged   chan struct{}
	drainsVersion uint64
	// drainsChanged is closed when the drain marks change.
	drainsChanged chan struct{}
}

// NewStore returns an empty store. decode converts the wire form of a plan.
func NewStore(limits state.Limits, decode func(*v1.Plan) (*plan.Plan, error)) *Store {
	return &Store{
		machine:       state.New(limits),
		decode:        decode,
		planChanged:   make(chan struct{}),
		drainsChanged: make(chan struct{}),
	}
}

// Apply applies one committed command. An error means that this program can't
// apply the log any further and the voter must stop.
func (s *Store) Apply(data []byte) (state.Result, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	result, err := s.machine.Apply(data)
	if err != nil {
		return result, err
	}
	return result, s.publish()
}

// Snapshot encodes the state.
func (s *Store) Snapshot() ([]byte, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.machine.Snapshot()
}

// Restore replaces the state with a snapshot.
func (s *Store) Restore(data []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.machine.Restore(data); err != nil {
		return err
	}
	return s.publish()
}

// publish notifies waiters of a newer plan or changed drain marks.
func (s *Store) publish() error {
	if version := s.machine.DrainsVersion(); version != s.drainsVersion {
		s.drainsVersion = version
		close(s.drainsChanged)
		s.drainsChanged = make(chan struct{})
	}
	latest := s.machine.Latest().Number
	if latest == s.revision {
		return nil
	}
	decoded, err := s.latestPlan(latest)
	if err != nil {
		return err
	}
	s.latest, s.revision = decoded, latest
	close(s.planChanged)
	s.planChanged = make(chan struct{})
	return nil
}

// latestPlan returns the plan of the latest revision. If the revision follows the
// published one, only its delta is applied; otherwise the full plan is decoded
// first.
func (s *Store) latestPlan(revision uint64) (*plan.Plan, error) {
	deltas := s.machine.PlanDeltas()
	if len(deltas) > 0 && s.latest != nil && revision == s.revision+1 {
		return configdelta.ApplyPlan(s.latest, s.revision, deltas[len(deltas)-1])
	}
	full, err := s.decodePlan(s.machine.CompressedPlan())
	if err != nil {
		return nil, err
	}
	return configdelta.ApplyPlans(full, revision, deltas)
}

func (s *Store) decodePlan(compressed []byte) (*plan.Plan, error) {
	data, err := decompress(compressed)
	if err != nil {
		return nil, err
	}
	wire := &v1.Plan{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return nil, err
	}
	return s.decode(wire)
}

// Latest returns the newest applied revision with its plan, and a channel that is
// closed once a newer one is applied. Revision 0 has no plan.
func (s *Store) Latest() (revision uint64, latest *plan.Plan, changed <-chan struct{}) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.revision, s.latest, s.planChanged
}

// Drains returns the operators' drain marks, their version, and a channel that is
// closed once they change.
func (s *Store) Drains() (marks []state.Drain, version uint64, changed <-chan struct{}) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	marks, version = s.machine.Drains()
	return marks, version, s.drainsChanged
}

// read calls reader under the read lock. The reader must not retain the machine.
func (s *Store) read(reader func(*state.Machine)) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	reader(s.machine)
}
