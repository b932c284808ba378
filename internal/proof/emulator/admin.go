package emulator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/backendapi"
)

// Paths of the administration listener.
const (
	PathFaults = "/v1/faults"
	PathRolls  = "/v1/rolls"
	PathState  = "/v1/state"
)

const adminTitle = "martenstage emulated back ends"

// FleetState is the document at PathState.
type FleetState struct {
	// ElapsedMs is the time since the start in milliseconds.
	ElapsedMs int64           `json:"elapsed_ms"`
	Faults    []FaultDocument `json:"faults" doc:"The faults under way"`
	Servers   []ServerState   `json:"servers"`
}

// ServerState is one server in a FleetState.
type ServerState struct {
	Address  string   `json:"address"`
	Zone     string   `json:"zone"`
	Services []string `json:"services"`
	Groups   []string `json:"groups"`
	// Health is the truth, Reported what the server says.
	Health    backendapi.Health `json:"health"`
	Reported  backendapi.Health `json:"reported"`
	Straggles bool              `json:"straggles" doc:"Whether the service-time model makes it slow now"`
	Faults    []string          `json:"faults" doc:"Ids of its faults"`
	Counts    Counts            `json:"counts"`
}

// RollRequest is the document of a POST to PathRolls.
type RollRequest struct {
	Service string `json:"service" doc:"Service whose index gets its next version"`
	Stagger string `json:"stagger,omitempty" doc:"Span over which the servers get it, such as 2s"`
	Keep    string `json:"keep,omitempty" doc:"How long a server keeps the version before, such as 5s"`
}

// FaultCreated is the reply to a POST to PathFaults.
type FaultCreated struct {
	ID string `json:"id"`
}

type (
	faultInput   struct{ Body FaultDocument }
	faultOutput  struct{ Body FaultCreated }
	faultsOutput struct{ Body []FaultDocument }
	faultIDInput struct {
		ID string `path:"id" doc:"Id of the fault"`
	}
	rollInput   struct{ Body RollRequest }
	stateOutput struct{ Body FleetState }
)

// AdminHandler serves the administration of the fleet: faults, index versions
// and state, described by the OpenAPI document at /openapi.json.
func (f *Fleet) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	api := humago.New(mux, huma.DefaultConfig(adminTitle, "1"))
	huma.Register(api, huma.Operation{OperationID: "inject-fault", Method: http.MethodPost, Path: PathFaults,
		Summary: "Begin a fault", DefaultStatus: http.StatusCreated}, f.injectFault)
	huma.Register(api, huma.Operation{OperationID: "list-faults", Method: http.MethodGet, Path: PathFaults,
		Summary: "List the faults under way"}, f.listFaults)
	huma.Register(api, huma.Operation{OperationID: "clear-fault", Method: http.MethodDelete, Path: PathFaults + "/{id}",
		Summary: "End a fault"}, f.clearFault)
	huma.Register(api, huma.Operation{OperationID: "clear-faults", Method: http.MethodDelete, Path: PathFaults,
		Summary: "End all faults"}, f.clearFaults)
	huma.Register(api, huma.Operation{OperationID: "roll-version", Method: http.MethodPost, Path: PathRolls,
		Summary: "Bring the next index version of a service", DefaultStatus: http.StatusNoContent}, f.rollVersion)
	huma.Register(api, huma.Operation{OperationID: "state", Method: http.MethodGet, Path: PathState,
		Summary: "Show all servers and faults"}, f.showState)
	return mux
}

func (f *Fleet) injectFault(_ context.Context, input *faultInput) (*faultOutput, error) {
	fault, err := input.Body.Fault()
	if err != nil {
		return nil, huma.Error422UnprocessableEntity(err.Error())
	}
	id, err := f.Inject(fault)
	if err != nil {
		return nil, huma.Error422UnprocessableEntity(err.Error())
	}
	return &faultOutput{Body: FaultCreated{ID: id}}, nil
}

func (f *Fleet) listFaults(context.Context, *struct{}) (*faultsOutput, error) {
	return &faultsOutput{Body: f.faultDocuments()}, nil
}

func (f *Fleet) clearFault(_ context.Context, input *faultIDInput) (*struct{}, error) {
	err := f.Clear(input.ID)
	if errors.Is(err, ErrUnknownFault) {
		return nil, huma.Error404NotFound(err.Error())
	}
	return nil, err
}

func (f *Fleet) clearFaults(context.Context, *struct{}) (*struct{}, error) {
	return nil, f.ClearAll()
}

func (f *Fleet) rollVersion(_ context.Context, input *rollInput) (*struct{}, error) {
	roll := Roll{Service: input.Body.Service}
	var err error
	if roll.Stagger, err = parseDuration("stagger", input.Body.Stagger); err != nil {
		return nil, huma.Error422UnprocessableEntity(err.Error())
	}
	if roll.Keep, err = parseDuration("keep", input.Body.Keep); err != nil {
		return nil, huma.Error422UnprocessableEntity(err.Error())
	}
	if err := f.Roll(roll); err != nil {
		return nil, huma.Error422UnprocessableEntity(err.Error())
	}
	return nil, nil
}

func (f *Fleet) showState(context.Context, *struct{}) (*stateOutput, error) {
	return &stateOutput{Body: f.State()}, nil
}

// State returns all servers and the faults under way.
func (f *Fleet) State() FleetState {
	elapsed := f.elapsed()
	return FleetState{
		ElapsedMs: elapsed.Milliseconds(),
		Faults:    f.faultDocuments(),
		Servers:   lo.Map(f.servers, func(server *Server, _ int) ServerState { return server.stateAt(elapsed) }),
	}
}

func (s *Server) stateAt(elapsed time.Duration) ServerState {
	return ServerState{
		Address:   s.name,
		Zone:      s.zone,
		Services:  sortedKeys(s.services),
		Groups:    sortedKeys(s.groups),
		Health:    s.trueHealth(true),
		Reported:  s.reportedHealth(true),
		Straggles: s.fleet.config.Model.Straggling(s.name, elapsed),
		Faults:    s.conditions.Load().ids(),
		Counts:    s.Counts(),
	}
}

// faultDocuments lists the faults under way, sorted by id.
func (f *Fleet) faultDocuments() []FaultDocument {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return lo.Map(sortedKeys(f.active), func(id string, _ int) FaultDocument { return documentOf(f.active[id].fault) })
}

func sortedKeys[V any](set map[string]V) []string {
	keys := lo.Keys(set)
	slices.Sort(keys)
	return keys
}
