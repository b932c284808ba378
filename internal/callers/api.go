// Package callers serves the callers' API over HTTP: queries to routes, the
// list of routes, health, readiness and status. It is registered with huma,
// which serves the OpenAPI document at /openapi.json; docs/CALLERS.md is the
// page for callers.
package callers

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Router is what the API needs of the router.
type Router interface {
	Query(ctx context.Context, request router.Request) query.Answer
	RouteNamed(name string) (*plan.Route, bool)
	Routes() []plan.Route
	RemoteRouteNamed(name string) (*plan.RemoteRoute, bool)
	RemoteRoutes() []plan.RemoteRoute
	Ready() (bool, verdict.Reason)
	Status() router.Status
	BeginStop()
	Stop(ctx context.Context) error
}

// DefaultMaxBody bounds a query's body, in bytes.
const DefaultMaxBody = 256 << 10

// Config sets the limits of the API.
type Config struct {
	// MaxBody bounds a query's body, in bytes; 0 means DefaultMaxBody.
	MaxBody int64
	// Metrics, when set, is served at /metrics.
	Metrics http.Handler
}

// api holds what the handlers share.
type api struct {
	config Config
	router Router
	logger logrus.FieldLogger
	now    func() time.Time
}

// huma keeps its error constructor in a package variable.
var installProblems sync.Once

// NewHandler returns the HTTP handler of the callers' API.
func NewHandler(config Config, served Router, logger logrus.FieldLogger) http.Handler {
	installProblems.Do(func() { huma.NewError = humaProblem })
	if config.MaxBody == 0 {
		config.MaxBody = DefaultMaxBody
	}
	handlers := &api{config: config, router: served, logger: logger, now: steadyclock.Now}
	mux := http.NewServeMux()
	settings := huma.DefaultConfig("martenstage callers' API", "1")
	settings.DocsPath = ""
	settings.CreateHooks = nil // no $schema links in documents
	described := humago.New(mux, settings)
	handlers.registerQuery(described)
	handlers.registerRoutes(described)
	handlers.registerHealth(described)
	if config.Metrics != nil {
		mux.Handle("GET /metrics", config.Metrics)
	}
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		problem := newProblem(verdict.Refuse(verdict.ReasonBadRequest, "no "+request.Method+" "+request.URL.Path))
		problem.Title, problem.Status = "Not found", http.StatusNotFound
		problem.write(writer)
	})
	return boundWrites(mux)
}

// RouteInfo describes a route to callers.
type RouteInfo struct {
	Name       string `json:"name"`
	Service    string `json:"service" doc:"Empty for a route of another region"`
	Policy     string `json:"policy" doc:"Empty for a route of another region"`
	Region     string `json:"region,omitempty" doc:"Region that owns the route, if it is another one. Whether it needs a request id or a key is then known there alone."`
	DeadlineMs int64  `json:"deadline_ms" doc:"Longest time to an answer"`
	Once       bool   `json:"once" doc:"Runs at most once; needs a request id"`
	Keyed      bool   `json:"keyed" doc:"Needs a key that selects the shard"`
}

// RouteList is the document of the routes in force.
type RouteList struct {
	Routes []RouteInfo `json:"routes" nullable:"false"`
}

type routesOutput struct {
	Body RouteList
}

func (a *api) registerRoutes(described huma.API) {
	huma.Register(described, huma.Operation{
		OperationID: "list-routes", Method: http.MethodGet, Path: "/v1/routes", Summary: "List the routes in force",
	}, func(context.Context, *struct{}) (*routesOutput, error) {
		output := &routesOutput{}
		output.Body.Routes = []RouteInfo{}
		for _, route := range a.router.Routes() {
			output.Body.Routes = append(output.Body.Routes, RouteInfo{
				Name:       route.Name,
				Service:    route.Service,
				Policy:     route.Policy.Name,
				DeadlineMs: route.Policy.Deadline.Milliseconds(),
				Once:       route.Policy.Once,
				Keyed:      route.Target == plan.TargetKey,
			})
		}
		for _, route := range a.router.RemoteRoutes() {
			output.Body.Routes = append(output.Body.Routes, RouteInfo{
				Name: route.Name, Region: route.Region, DeadlineMs: route.Deadline.Milliseconds(),
			})
		}
		return output, nil
	})
}

// textOutput is a short text, which net/http labels text/plain.
type textOutput struct{ Body []byte }

// textResponses describes a text/plain reply.
func textResponses(description string) map[string]*huma.Response {
	return map[string]*huma.Response{"200": {
		Description: description,
		Content:     map[string]*huma.MediaType{"text/plain": {Schema: &huma.Schema{Type: huma.TypeString}}},
	}}
}

type statusOutput struct{ Body router.Status }

func (a *api) registerHealth(described huma.API) {
	huma.Register(described, huma.Operation{
		OperationID: "healthz", Method: http.MethodGet, Path: "/healthz", Summary: "Whether the process is alive",
		Responses: textResponses("Alive"),
	}, func(context.Context, *struct{}) (*textOutput, error) {
		return &textOutput{Body: []byte("ok\n")}, nil
	})
	huma.Register(described, huma.Operation{
		OperationID: "readyz", Method: http.MethodGet, Path: "/readyz",
		Summary:   "Whether requests are admitted: not without a lease, before the back ends are known, or once the router is stopping",
		Responses: textResponses("Ready"),
	}, func(context.Context, *struct{}) (*textOutput, error) {
		if ready, reason := a.router.Ready(); !ready {
			return nil, newProblem(verdict.Refuse(reason, "not ready"))
		}
		return &textOutput{Body: []byte("ready\n")}, nil
	})
	huma.Register(described, huma.Operation{
		OperationID: "status", Method: http.MethodGet, Path: "/status", Summary: "State of the router",
	}, func(context.Context, *struct{}) (*statusOutput, error) {
		return &statusOutput{Body: a.router.Status()}, nil
	})
}
