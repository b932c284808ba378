// Package callers serves the callers' API over HTTP: queries to routes, the
// list of routes, health, readiness and status. The operations are registered
// with huma, which serves the OpenAPI document at /openapi.json;
// docs/CALLERS.md documents the API for callers.
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

// Router is the part of the router that the API uses.
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

// DefaultMaxBody is the default limit of a query's body, in bytes.
const DefaultMaxBody = 256 << 10

// Config sets the limits of the API.
type Config struct {
	// MaxBody limits a query's body, in bytes; 0 means DefaultMaxBody.
	MaxBody int64
	// Metrics, if set, is served at /metrics.
	Metrics http.Handler
}

// api is the state that the handlers share.
type api struct {
	config Config
	router Router
	logger logrus.FieldLogger
	now    func() time.Time
}

// installErrorConstructor guards huma.NewError, which is a package variable.
var installErrorConstructor sync.Once

// NewHandler returns the HTTP handler of the callers' API.
func NewHandler(config Config, queryRouter Router, logger logrus.FieldLogger) http.Handler {
	installErrorConstructor.Do(func() { huma.NewError = newHumaProblem })
	if config.MaxBody == 0 {
		config.MaxBody = DefaultMaxBody
	}
	handlers := &api{config: config, router: queryRouter, logger: logger, now: steadyclock.Now}
	mux := http.NewServeMux()
	humaConfig := huma.DefaultConfig("martenstage callers' API", "1")
	humaConfig.DocsPath = ""
	humaConfig.CreateHooks = nil // no $schema links in documents
	humaAPI := humago.New(mux, humaConfig)
	handlers.registerQuery(humaAPI)
	handlers.registerRoutes(humaAPI)
	handlers.registerHealth(humaAPI)
	if config.Metrics != nil {
		mux.Handle("GET /metrics", config.Metrics)
	}
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		problem := newProblem(verdict.Refuse(verdict.ReasonBadRequest, "no "+request.Method+" "+request.URL.Path))
		problem.Title, problem.Status = "Not found", http.StatusNotFound
		problem.write(writer)
	})
	return limitWrites(mux)
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

// RouteList is the JSON document that lists the active routes.
type RouteList struct {
	Routes []RouteInfo `json:"routes" nullable:"false"`
}

type routesOutput struct {
	Body RouteList
}

func (a *api) registerRoutes(humaAPI huma.API) {
	huma.Register(humaAPI, huma.Operation{
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

// textOutput is a short text; net/http sets its content type to text/plain.
type textOutput struct{ Body []byte }

// textResponses describes a text/plain reply in the OpenAPI document.
func textResponses(description string) map[string]*huma.Response {
	return map[string]*huma.Response{"200": {
		Description: description,
		Content:     map[string]*huma.MediaType{"text/plain": {Schema: &huma.Schema{Type: huma.TypeString}}},
	}}
}

type statusOutput struct{ Body router.Status }

func (a *api) registerHealth(humaAPI huma.API) {
	huma.Register(humaAPI, huma.Operation{
		OperationID: "healthz", Method: http.MethodGet, Path: "/healthz", Summary: "Whether the process is alive",
		Responses: textResponses("Alive"),
	}, func(context.Context, *struct{}) (*textOutput, error) {
		return &textOutput{Body: []byte("ok\n")}, nil
	})
	huma.Register(humaAPI, huma.Operation{
		OperationID: "readyz", Method: http.MethodGet, Path: "/readyz",
		Summary:   "Whether requests are admitted: not without a lease, before the back ends are known, or once the router is stopping",
		Responses: textResponses("Ready"),
	}, func(context.Context, *struct{}) (*textOutput, error) {
		if ready, reason := a.router.Ready(); !ready {
			return nil, newProblem(verdict.Refuse(reason, "not ready"))
		}
		return &textOutput{Body: []byte("ready\n")}, nil
	})
	huma.Register(humaAPI, huma.Operation{
		OperationID: "status", Method: http.MethodGet, Path: "/status", Summary: "State of the router",
	}, func(context.Context, *struct{}) (*statusOutput, error) {
		return &statusOutput{Body: a.router.Status()}, nil
	})
}
