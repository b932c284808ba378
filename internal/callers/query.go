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

// HeaderRequest carries the caller's request id in requests and replies.
const HeaderRequest = "Martenstage-Request"

// maxRequestID limits the length of a caller's request id, in bytes.
const maxRequestID = 128

// queryInput holds the parameters of a query. The handler reads the body itself.
type queryInput struct {
	Route      string `path:"route" doc:"Name of the route"`
	Request    string `header:"Martenstage-Request" doc:"Request id: 1 to 128 printable ASCII characters without spaces. Required on routes that run at most once, else generated."`
	Key        string `query:"key" doc:"Selects the shard on keyed routes"`
	DeadlineMs string `query:"deadline_ms" doc:"Time to the answer in milliseconds, at most the policy's"`
}

func (a *api) registerQuery(humaAPI huma.API) {
	schemas := humaAPI.OpenAPI().Components.Schemas
	describeResponse := func(description, contentType string, schema *huma.Schema) *huma.Response {
		return &huma.Response{Description: description,
			Content: map[string]*huma.MediaType{contentType: {Schema: schema}}}
	}
	huma.Register(humaAPI, huma.Operation{
		OperationID: "query",
		Method:      http.MethodPost,
		Path:        queryPath,
		Summary:     "Send a query to a route",
		Responses: map[string]*huma.Response{
			"200":     describeResponse("Answer", "application/json", schemas.Schema(typeOf[Answer](), true, "")),
			"default": describeResponse("Problem", problemType, schemas.Schema(typeOf[Problem](), true, "")),
		},
	}, func(_ context.Context, input *queryInput) (*huma.StreamResponse, error) {
		return &huma.StreamResponse{Body: func(humaContext huma.Context) {
			request, writer := humago.Unwrap(humaContext)
			a.serveQuery(writer, request, input)
		}}, nil
	})
	describeRequestBody(humaAPI.OpenAPI().Paths[queryPath])
}

const queryPath = "/v1/routes/{route}/query"

// describeRequestBody adds the body to the OpenAPI document only. If the
// operation declared it, huma would read the body into a pooled buffer, which it
// reuses while attempts may still read it.
func describeRequestBody(path *huma.PathItem) {
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
		// Make the caller send its next request to another router.
		writer.Header().Set("Connection", "close")
	}
	request, refusal := a.readQuery(writer, httpRequest, input, started)
	if refusal != nil {
		problem := newProblem(refusal)
		problem.Request = truncate(request.CallerID)
		problem.write(writer)
		return
	}
	writer.Header().Set(HeaderRequest, request.CallerID)
	answer := a.router.Query(httpRequest.Context(), request)
	if answer.Err != nil {
		newAnswerProblem(request.CallerID, answer).write(writer)
		return
	}
	head := newAnswerHead(request, answer, a.now().Sub(started))
	if err := writeAnswer(writer, head, answer.Items); err != nil {
		a.logger.WithError(err).WithField("request", request.CallerID).Debug("answer not delivered")
	}
}

// readQuery reads and validates a query. A refusal means that nothing was sent
// to a back end.
func (a *api) readQuery(writer http.ResponseWriter, httpRequest *http.Request, input *queryInput,
	now time.Time) (router.Request, *verdict.Error) {
	request := router.Request{CallerID: input.Request, Route: input.Route, Key: input.Key}
	requirements, refusal := a.requirementsOf(input.Route)
	if refusal != nil {
		return request, refusal
	}
	if refusal := checkIDAndKey(&request, requirements); refusal != nil {
		return request, refusal
	}
	deadline, refusal := readDeadline(input.DeadlineMs, now)
	if refusal != nil {
		return request, refusal
	}
	request.Deadline = deadline
	if httpRequest.Body != http.NoBody {
		setBodyDeadline(writer, now, deadline)
	}
	request.Body, refusal = a.readBody(writer, httpRequest)
	if refusal == nil && httpRequest.Body != http.NoBody {
		clearBodyDeadline(writer)
	}
	// The deadline stays if the body was refused: net/http reads the rest of it.
	return request, refusal
}

// routeRequirements states which parameters a route requires of its callers.
type routeRequirements struct{ id, key bool }

// requirementsOf looks up a route's requirements. For a route of another region
// they are empty: that region knows and checks them.
func (a *api) requirementsOf(name string) (routeRequirements, *verdict.Error) {
	if route, local := a.router.RouteNamed(name); local {
		return routeRequirements{id: route.Policy.Once, key: route.Target == plan.TargetKey}, nil
	}
	if _, remote := a.router.RemoteRouteNamed(name); remote {
		return routeRequirements{}, nil
	}
	if ready, reason := a.router.Ready(); !ready && reason == verdict.ReasonNoLease {
		return routeRequirements{}, verdict.Refuse(verdict.ReasonNoLease, "no configuration in force")
	}
	return routeRequirements{}, verdict.Refuse(verdict.ReasonUnknownRoute, "no route "+strconv.Quote(truncate(name)))
}

// checkIDAndKey validates request id and key, and generates a missing id.
func checkIDAndKey(request *router.Request, requirements routeRequirements) *verdict.Error {
	switch {
	case request.CallerID == "" && requirements.id:
		return verdict.Refuse(verdict.ReasonBadRequest, "route "+request.Route+" runs at most once and needs the header "+HeaderRequest)
	case !printable(request.CallerID):
		return verdict.Refuse(verdict.ReasonBadRequest, HeaderRequest+" must be 1 to 128 printable ASCII characters without spaces")
	case request.Key == "" && requirements.key:
		return verdict.Refuse(verdict.ReasonBadRequest, "route "+request.Route+" needs the parameter key")
	case request.CallerID == "":
		request.CallerID, request.IDGenerated = rand.Text(), true
	}
	return nil
}

// truncate limits the length of caller input that a refusal repeats.
func truncate(text string) string {
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

// readDeadline parses the caller's time limit; without one the result is zero.
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

// readBody reads a JSON document of at most MaxBody bytes. A body whose
// Content-Length is greater is refused before any of it is read.
func (a *api) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, *verdict.Error) {
	tooLarge := verdict.Refuse(verdict.ReasonBodyTooLarge,
		"the body is longer than "+strconv.FormatInt(a.config.MaxBody, 10)+" bytes")
	if request.ContentLength > a.config.MaxBody {
		// Reading the rest only to keep the connection open costs too much.
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
