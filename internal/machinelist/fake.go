package machinelist

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/settings"
)

// Paths of the fake platform besides PathMachines.
const (
	PathChanges = "/v1/changes"
	PathLag     = "/v1/lag"
)

// StateGone removes a machine from the list of a fake platform.
const StateGone State = "gone"

// Change is a change of a machine's state.
type Change struct {
	// At is when it happens, since the start of the fake platform.
	At      time.Duration
	Address netip.AddrPort
	State   State
}

// FakePlatformConfig configures a fake platform.
type FakePlatformConfig struct {
	// Machines are live from the start.
	Machines []netip.AddrPort
	// Lag is how far the served list is behind the changes.
	Lag time.Duration
	// Changes are scheduled in advance.
	Changes []Change
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// FakePlatform is a platform for tests and experiments: it serves a list that lags behind the
// changes made to it.
type FakePlatform struct {
	now     func() time.Time
	started time.Time

	mutex   sync.Mutex
	lag     time.Duration
	initial []netip.AddrPort
	changes []Change
}

// NewFakePlatform returns a fake platform that starts now.
func NewFakePlatform(config FakePlatformConfig) *FakePlatform {
	if config.Now == nil {
		config.Now = time.Now
	}
	platform := &FakePlatform{now: config.Now, started: config.Now(), lag: config.Lag, initial: config.Machines}
	for _, change := range config.Changes {
		platform.insert(change)
	}
	return platform
}

// List returns the list as it was one lag ago, but not before the start.
func (s *FakePlatform) List() List {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	elapsed := max(0, s.now().Sub(s.started)-s.lag)
	machines := map[netip.AddrPort]Machine{}
	for _, address := range s.initial {
		machines[address] = Machine{Address: address, State: StateLive, Since: s.started}
	}
	for _, change := range s.changes {
		if change.At > elapsed {
			break
		}
		if change.State == StateGone {
			delete(machines, change.Address)
			continue
		}
		machines[change.Address] = Machine{Address: change.Address, State: change.State, Since: s.started.Add(change.At)}
	}
	list := List{AsOf: s.started.Add(elapsed), Machines: lo.Values(machines)}
	slices.SortFunc(list.Machines, func(left, right Machine) int { return left.Address.Compare(right.Address) })
	return list
}

// Change applies a change of state now.
func (s *FakePlatform) Change(address netip.AddrPort, state State) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.insert(Change{At: s.now().Sub(s.started), Address: address, State: state})
}

// SetLag sets how far the list is behind.
func (s *FakePlatform) SetLag(lag time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lag = lag
}

// insert keeps the changes sorted by time; equal times stay in the order of insertion.
func (s *FakePlatform) insert(change Change) {
	s.changes = append(s.changes, change)
	slices.SortStableFunc(s.changes, func(left, right Change) int { return cmp.Compare(left.At, right.At) })
}

// ChangeRequest is the body of a POST to PathChanges.
type ChangeRequest struct {
	Address string `json:"address" doc:"IPv4 address with port"`
	State   State  `json:"state" enum:"live,leaving,gone"`
}

// LagRequest is the body of a PUT to PathLag.
type LagRequest struct {
	Lag string `json:"lag" doc:"Duration, such as 5s"`
}

type (
	listOutput  struct{ Body List }
	changeInput struct{ Body ChangeRequest }
	lagInput    struct{ Body LagRequest }
)

// Handler serves the list and the calls that change it. Its OpenAPI document is at
// /openapi.json.
func (s *FakePlatform) Handler() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("martenstage platform stand-in", "1")
	// Links to schemas would add a field to the list that platforms lack.
	config.CreateHooks = nil
	api := humago.New(mux, config)
	huma.Register(api, huma.Operation{OperationID: "list-machines", Method: http.MethodGet, Path: PathMachines,
		Summary: "List the machines as they were a lag ago"}, s.serveList)
	huma.Register(api, huma.Operation{OperationID: "change-machine", Method: http.MethodPost, Path: PathChanges,
		Summary: "Change a machine's state now", DefaultStatus: http.StatusNoContent}, s.serveChange)
	huma.Register(api, huma.Operation{OperationID: "set-lag", Method: http.MethodPut, Path: PathLag,
		Summary: "Set the lag of the list", DefaultStatus: http.StatusNoContent}, s.serveLag)
	return mux
}

func (s *FakePlatform) serveList(context.Context, *struct{}) (*listOutput, error) {
	return &listOutput{Body: s.List()}, nil
}

func (s *FakePlatform) serveChange(_ context.Context, input *changeInput) (*struct{}, error) {
	address, err := settings.ParseAddress(input.Body.Address)
	if err != nil {
		return nil, huma.Error422UnprocessableEntity(err.Error())
	}
	s.Change(address, input.Body.State)
	return nil, nil
}

func (s *FakePlatform) serveLag(_ context.Context, input *lagInput) (*struct{}, error) {
	lag, err := time.ParseDuration(input.Body.Lag)
	if err != nil || lag < 0 {
		return nil, huma.Error422UnprocessableEntity(errors.Newf("lag %q is not a duration such as 5s", input.Body.Lag).Error())
	}
	s.SetLag(lag)
	return nil, nil
}
