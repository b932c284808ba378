package callers

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/verdict"
)

// HeaderRequest carries the caller's request id, in the request and its reply.
const HeaderRequest = "Martenstage-Request"

// maxRequestID bounds a caller's request id, in bytes.
const maxRequestID = 128

// queryInput holds the parameters of a query. The handler reads the body.
type queryInput struct {
	Route      string `path:"route" doc:"Name of the route"`
	Request    string `header:"Martenstage-Request" doc:"Request id: 1 to 128 printable ASCII characters without spaces. Required on routes that run at most once, else generated."`
	Key        string `query:"key" doc:"Selects the shard on keyed routes"`
	DeadlineMs string `query:"deadline_ms" doc:"Time to the answer in milliseconds, at most the policy's"`
}

func (a *api) registerQuery(described huma.API) {
	schemas := described.OpenAPI().Components.Schemas
	documents := func(description, contentType string, schema *huma.Schema) *huma.Response {
		return &huma.Response{Description: description,
			Content: map[string]*huma.MediaType{contentType: {Schema: schema}}}
	}
	huma.Register(described, huma.Operation{
		OperationID: "query",
		Method:      http.MethodPost,
		Path:        queryPath,
		Summary:     "Send a query to a route",
		Responses: map[string]*huma.Response{
			"200":     documents("Answer", "application/json", schemas.Schema(typeOf[Answer](), true, "")),
			"default": documents("Problem", problemType, schemas.Schema(typeOf[Problem](), true, "")),
		},
	}, func(_ context.Context, input *queryInput) (*huma.StreamResponse, error) {
		return &huma.StreamResponse{Body: func(humaContext huma.Context) {
			request, writer := humago.Unwrap(humaContext)
			a.serveQuery(writer, request, input)
		}}, nil
	})
	describeBody(described.OpenAPI().Paths[queryPath])
}

const queryPath = "/v1/routes/{route}/query"

// describeBody adds the body to the document only: huma would read the body
// of an operation that declares one, into a buffer that it uses again while
// attempts may still read it.
func describeBody(path *huma.PathItem) {
	operation := *path.Post
	operation.RequestBody = &huma.RequestBody{
		Description: "Any JSON document; it is passed to the back ends as it is",
		Required:    true,
		Content:     map[string]*huma.MediaType{"application/json": {Schema: &huma.Schema{}}},
	}
	path.Post = &operation
}

// serveQuery runs a query and writes its answer.
func (a *api) serveQuery(writer http.ResponseWriter, httpRequest *http.Request, input *queryInput) {
	started := a.now()
	if ready, reason := a.router.Ready(); !ready && reason == verdict.ReasonStopping {
		// The caller's next request is to go to another router.
		writer.Header().Set("Connection", "close")
	}
	request, refused := a.readQuery(writer, httpRequest, input, started)
	if refused != nil {
		problem := newProblem(refused)
		problem.Request = shortened(request.CallerID)
		problem.write(writer)
		return
	}
	writer.Header().Set(HeaderRequest, request.CallerID)
	answer := a.router.Query(httpRequest.Context(), request)
	if answer.Err != nil {
		problemOf(request.CallerID, answer).write(writer)
		return
	}
	head := headOf(request, answer, a.now().Sub(started))
	if err := writeAnswer(writer, head, answer.Items); err != nil {
		a.logger.WithError(err).WithField("request", request.CallerID).Debug("answer not delivered")
	}
}

// readQuery checks a query. A refusal says that nothing was sent.
func (a *api) readQuery(writer http.ResponseWriter, httpRequest *http.Request, input *queryInput,
	now time.Time) (router.Request, *verdict.Error) {
	request := router.Request{CallerID: input.Request, Route: input.Route, Key: input.Key}
	needs, refused := a.needsOf(input.Route)
	if refused != nil {
		return request, refused
	}
	if refused := checkIdentity(&request, needs); refused != nil {
		return request, refused
	}
	deadline, refused := readDeadline(input.DeadlineMs, now)
	if refused != nil {
		return request, refused
	}
	request.Deadline = deadline
	if httpRequest.Body != http.NoBody {
		boundBody(writer, now, deadline)
	}
	request.Body, refused = a.readBody(writer, httpRequest)
	if refused == nil && httpRequest.Body != http.NoBody {
		unboundBody(writer)
	}
	// The bound stays on a body that was refused: net/http reads the rest of it.
	return request, refused
}

// routeNeeds is what a route needs of its callers.
type routeNeeds struct{ id, key bool }

// needsOf looks a route up. Of one that another region owns, that region knows
// the needs and checks them.
func (a *api) needsOf(name string) (routeNeeds, *verdict.Error) {
	if route, own := a.router.RouteNamed(name); own {
		return routeNeeds{id: route.Policy.Once, key: route.Target == plan.TargetKey}, nil
	}
	if _, remote := a.router.RemoteRouteNamed(name); remote {
		return routeNeeds{}, nil
	}
	if ready, reason := a.router.Ready(); !ready && reason == verdict.ReasonNoLease {
		return routeNeeds{}, verdict.Refuse(verdict.ReasonNoLease, "no configuration in force")
	}
	return routeNeeds{}, verdict.Refuse(verdict.ReasonUnknownRoute, "no route "+strconv.Quote(shortened(name)))
}

// checkIdentity checks request id and key, and generates a missing id.
func checkIdentity(request *router.Request, needs routeNeeds) *verdict.Error {
	switch {
	case request.CallerID == "" && needs.id:
		return verdict.Refuse(verdict.ReasonBadRequest, "route "+request.Route+" runs at most once and needs the header "+HeaderRequest)
	case !printable(request.CallerID):
		return verdict.Refuse(verdict.ReasonBadRequest, HeaderRequest+" must be 1 to 128 printable ASCII characters without spaces")
	case request.Key == "" && needs.key:
		return verdict.Refuse(verdict.ReasonBadRequest, "route "+request.Route+" needs the parameter key")
	case request.CallerID == "":
		request.CallerID, request.IDGenerated = rand.Text(), true
	}
	return nil
}

// shortened bounds what a refusal repeats of the caller's own words.
func shortened(text string) string {
	if len(text) <= maxRequestID {
		return text
	}
	return text[:maxRequestID] + "…"
}

func printable(id string) bool {
	if len(id) > maxRequestID {
		return false
	}
	for index := range len(id) {
		if id[index] <= ' ' || id[index] > '~' {
			return false
		}
	}
	return true
}

// readDeadline reads the caller's time limit; without one the result is zero.
func readDeadline(text string, now time.Time) (time.Time, *verdict.Error) {
	if text == "" {
		return time.Time{}, nil
	}
	const maxDeadlineMs = 24 * 60 * 60 * 1000
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds > maxDeadlineMs {
		return time.Time{}, verdict.Refuse(verdict.ReasonBadRequest,
			"deadline_ms "+strconv.Quote(text)+" is not a whole number of milliseconds up to a day")
	}
	if milliseconds <= 0 {
		return time.Time{}, verdict.Refuse(verdict.ReasonDeadlinePassed, "deadline_ms "+text+" is in the past")
	}
	return now.Add(time.Duration(milliseconds) * time.Millisecond), nil
}

// readBody reads a bounded JSON document. A body that announces too great a
// length is refused before any of it is read.
func (a *api) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, *verdict.Error) {
	tooLarge := verdict.Refuse(verdict.ReasonBodyTooLarge,
		"the body is longer than "+strconv.FormatInt(a.config.MaxBody, 10)+" bytes")
	if request.ContentLength > a.config.MaxBody {
		// Reading the rest of it only to keep the connection is not worth it.
		writer.Header().Set("Connection", "close")
		return nil, tooLarge
	}
	buffer := bytes.NewBuffer(make([]byte, 0, max(request.ContentLength, 0)+bytes.MinRead))
	_, err := io.Copy(buffer, http.MaxBytesReader(writer, request.Body, a.config.MaxBody))
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return nil, tooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		writer.Header().Set("Connection", "close")
		return nil, verdict.Refuse(verdict.ReasonDeadlinePassed, "the body did not arrive in time")
	case err != nil:
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "the body could not be read: "+err.Error())
	case !json.Valid(buffer.Bytes()):
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "the body is not a JSON document")
	}
	return buffer.Bytes(), nil
}
