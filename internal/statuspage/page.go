// Package statuspage serves what control knows of a site to browsers: what
// needs attention, services, tails and coverage of routes, routers, relays,
// back ends that are not live, voters and the newest events. The page is one
// HTML document with one style sheet, both embedded; it needs no JavaScript
// and loads nothing from elsewhere. The same is had as JSON.
package statuspage

import (
	"bytes"
	"context"
	"embed"
	"html/template"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/overview"
	"github.com/martenstage/martenstage/internal/plan"
)

// Source is what the page is made of.
type Source interface {
	// Status returns the confirmed leader's view, or without a quorum this
	// voter's own, which says so.
	Status(ctx context.Context) (*v1.StatusResponse, error)
	// Plan returns the newest configuration known here; nil for none.
	Plan() *plan.Plan
	// Events lists the newest events of a service, or of all when it is "",
	// oldest first.
	Events(ctx context.Context, service string, limit uint32) ([]*v1.Event, error)
}

const (
	// eventLimit is how many events the page shows.
	eventLimit = 50
	// answerLimit bounds the time for one page.
	answerLimit = 5 * time.Second
	// refreshSeconds is the pace of the page that loads itself again.
	refreshSeconds = 10
)

//go:embed assets
var assets embed.FS

var pageTemplate = template.Must(template.New("page.html").Funcs(template.FuncMap{
	"milliseconds": overview.Milliseconds,
	"percent":      percentText,
	"strip":        newStrip,
	"clock":        func(moment time.Time) string { return moment.Format(time.DateTime) },
}).ParseFS(assets, "assets/page.html"))

// page is what the template shows.
type page struct {
	*overview.Overview
	Voter   uint64
	Now     time.Time
	Zones   []overview.Zone
	Listed  []overview.Node
	Events  []event
	Service string
	// EventsError says why there are no events to show.
	EventsError string
	// Refresh is the pace in seconds at which the page loads itself again; 0
	// when it stays as it is.
	Refresh int
}

// event is a row of the events' table.
type event struct {
	Time, LastTime time.Time
	Count          uint64
	Kind, Source   string
	// Subject names service, shard and address, as far as the kind has them.
	Subject string
	Detail  string
}

// query is the input of the page.
type query struct {
	Service string `query:"service" doc:"Show only events of this service"`
	Refresh bool   `query:"refresh" doc:"Load the page again every 10 s"`
}

// document is a text answer.
type document struct {
	ContentType           string `header:"Content-Type"`
	ContentSecurityPolicy string `header:"Content-Security-Policy"`
	CacheControl          string `header:"Cache-Control"`
	Body                  []byte
}

// contentSecurityPolicy allows the page's own style sheet and nothing else.
const contentSecurityPolicy = "default-src 'none'; style-src 'self'; base-uri 'none'; form-action 'self'; frame-ancestors 'none'"

// Handler serves the page at /, the same as JSON at /status.json and the
// description of both at /openapi.json.
type Handler struct {
	voter  uint64
	source Source
	logger logrus.FieldLogger
	mux    *http.ServeMux
}

// NewHandler returns the handler of a voter's page.
func NewHandler(voter uint64, source Source, logger logrus.FieldLogger) *Handler {
	handler := &Handler{voter: voter, source: source, logger: logger, mux: http.NewServeMux()}
	settings := huma.DefaultConfig("martenstage status", "1")
	settings.DocsPath = ""
	settings.CreateHooks = nil // no $schema links in documents
	described := humago.New(handler.mux, settings)
	huma.Register(described, huma.Operation{
		OperationID: "status-page", Method: http.MethodGet, Path: "/{$}", Summary: "The status page",
	}, handler.page)
	huma.Register(described, huma.Operation{
		OperationID: "status-style", Method: http.MethodGet, Path: "/style.css", Summary: "Its style sheet",
	}, handler.style)
	huma.Register(described, huma.Operation{
		OperationID: "status", Method: http.MethodGet, Path: "/status.json", Summary: "The status as JSON",
	}, handler.json)
	return handler
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	h.mux.ServeHTTP(writer, request)
}

func (h *Handler) page(ctx context.Context, asked *query) (*document, error) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	summed, err := h.overview(ctx)
	if err != nil {
		return nil, err
	}
	shown := page{Overview: summed, Voter: h.voter, Now: time.Now(), Service: asked.Service}
	shown.Zones, shown.Listed = arrange(summed)
	if asked.Refresh {
		shown.Refresh = refreshSeconds
	}
	events, err := h.source.Events(ctx, asked.Service, eventLimit)
	if err != nil {
		shown.EventsError = err.Error()
	}
	shown.Events = lo.Map(events, func(wire *v1.Event, index int) event { return newEvent(events[len(events)-1-index]) })
	var text bytes.Buffer
	if err := pageTemplate.Execute(&text, shown); err != nil {
		h.logger.WithError(err).Error("status_page_not_made")
		return nil, huma.Error500InternalServerError("the page could not be made; the voter's log says why")
	}
	return &document{
		ContentType: "text/html; charset=utf-8", ContentSecurityPolicy: contentSecurityPolicy,
		CacheControl: "no-store", Body: text.Bytes(),
	}, nil
}

func (h *Handler) overview(ctx context.Context) (*overview.Overview, error) {
	status, err := h.source.Status(ctx)
	if err != nil {
		return nil, huma.Error503ServiceUnavailable("this voter knows no status: " + err.Error())
	}
	return overview.New(status, h.source.Plan()), nil
}

func (h *Handler) style(context.Context, *struct{}) (*document, error) {
	text, err := assets.ReadFile("assets/style.css")
	return &document{ContentType: "text/css; charset=utf-8", CacheControl: "max-age=300", Body: text}, err
}

// statusDocument is the status as JSON.
type statusDocument struct {
	Body *overview.Overview
}

func (h *Handler) json(ctx context.Context, _ *struct{}) (*statusDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	summed, err := h.overview(ctx)
	return &statusDocument{Body: summed}, err
}
