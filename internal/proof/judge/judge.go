// Package judge decides whether the invariants of the product held in a run.
// It believes records only: what back ends executed, what callers and operators
// were answered, and under which configuration followers admitted work. The
// simulator, the demo, the experiments and the fleet tests use the same judge.
//
// Records may be added in any order. Requests are joined by their id: all
// records of a request must be there when CloseRequests or Violations is
// called, and the departures, planned stops and plans that they are judged
// against must have been added by then. CloseRequests forgets the requests it
// has judged, which bounds the memory of long runs.
package judge

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/dataset"
	"github.com/martenstage/martenstage/internal/records"
)

// Invariant names one of the properties that must always hold.
type Invariant string

// The invariants.
const (
	// OneSnapshot: every item of an answer stems from the claimed generation
	// and index version.
	OneSnapshot Invariant = "one_snapshot"
	// CoverageTrue: covered shards were executed for the request and are in the
	// answer, missing ones are not; a partial answer is not marked complete and
	// a late one not passed off as current.
	CoverageTrue Invariant = "coverage_true"
	// WholeAnswer: the caller has the whole answer to its own request.
	WholeAnswer Invariant = "whole_answer"
	// NotRunTrue: a request answered not_run was not executed.
	NotRunTrue Invariant = "not_run_true"
	// AtMostOnce: a request so marked was executed at most once.
	AtMostOnce Invariant = "at_most_once"
	// NoWorkToLeaver: a back end that leaves gets no query after a bound.
	NoWorkToLeaver Invariant = "no_work_to_leaver"
	// StopCutsNothing: a planned stop of a router ends no request without an
	// answer.
	StopCutsNothing Invariant = "stop_cuts_nothing"
	// AcceptedInForce: an accepted configuration is in force everywhere within
	// a bound and is never reverted.
	AcceptedInForce Invariant = "accepted_in_force"
)

// Invariants lists all invariants.
func Invariants() []Invariant {
	return []Invariant{
		OneSnapshot, CoverageTrue, WholeAnswer, NotRunTrue,
		AtMostOnce, NoWorkToLeaver, StopCutsNothing, AcceptedInForce,
	}
}

// Violation is one breach of an invariant.
type Violation struct {
	Invariant Invariant `json:"invariant"`
	// Request is empty for breaches that are not about one request.
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail"`
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s request=%q: %s", v.Invariant, v.Request, v.Detail)
}

// Bounds used when Config leaves them zero.
const (
	DefaultLeaveBound    = 3 * time.Second
	DefaultForceBound    = 13 * time.Second
	DefaultLateTolerance = time.Second
	DefaultClockSkew     = time.Millisecond
	// maxKept bounds the violations kept in full; all are counted.
	maxKept = 1000
)

// ItemSource recomputes the items that a shard holds for a query. It lets the
// judge check merges that depend on the content of items; dataset.Items is one.
type ItemSource func(query dataset.Query) []json.RawMessage

// Config holds the bounds that the invariants leave open.
type Config struct {
	// LeaveBound is how long after its departure began a back end may still
	// get queries.
	LeaveBound time.Duration
	// ForceBound is how long after its acceptance was answered a configuration
	// may not yet be in force on some node.
	ForceBound time.Duration
	// LateTolerance is how much later than its deadline a caller may receive
	// an answer that is not marked late. It covers the way back to the caller;
	// the caller's own lag is taken off before, and the router's own elapsed
	// time has no tolerance.
	LateTolerance time.Duration
	// ClockSkew is the greatest difference between the clocks of recorders.
	ClockSkew time.Duration
	// Items is optional. Without it merges are judged by what was executed.
	Items ItemSource
}

func (c Config) withDefaults() Config {
	c.LeaveBound = cmp.Or(c.LeaveBound, DefaultLeaveBound)
	c.ForceBound = cmp.Or(c.ForceBound, DefaultForceBound)
	c.LateTolerance = cmp.Or(c.LateTolerance, DefaultLateTolerance)
	c.ClockSkew = cmp.Or(c.ClockSkew, DefaultClockSkew)
	return c
}

// Judge collects records and finds violations. It is for one goroutine.
type Judge struct {
	config     Config
	routes     map[string]plan.Route
	shards     map[generationKey][]uint32
	requests   map[string]*requestRecords
	departures map[string][]records.Departure
	stops      map[string][]records.PlannedStop
	admissions admissionLog
	counts     Counts
	closed     findings
}

// Counts is how many records were judged.
type Counts struct {
	Executions int `json:"executions"`
	Refusals   int `json:"refusals"`
	Answers    int `json:"answers"`
	Departures int `json:"departures"`
	Stops      int `json:"planned_stops"`
	Operators  int `json:"operator_answers"`
	Admissions int `json:"admissions"`
}

type generationKey struct {
	service string
	number  uint32
}

// requestRecords are all records about one request id.
type requestRecords struct {
	id         string
	executions []records.Execution
	answers    []records.CallerAnswer
}

// New returns a judge without records.
func New(config Config) *Judge {
	return &Judge{
		config:     config.withDefaults(),
		routes:     map[string]plan.Route{},
		shards:     map[generationKey][]uint32{},
		requests:   map[string]*requestRecords{},
		departures: map[string][]records.Departure{},
		stops:      map[string][]records.PlannedStop{},
		admissions: newAdmissionLog(),
		closed:     newFindings(),
	}
}

// AddPlan makes the routes and shard maps of a configuration known. Without
// one, deadlines, merges and the set of target shards are not checked.
func (j *Judge) AddPlan(compiled *plan.Plan) {
	for _, route := range compiled.Routes {
		j.routes[route.Name] = route
	}
	for _, service := range compiled.Services {
		for _, generation := range service.Generations {
			key := generationKey{service.Name, generation.Number}
			j.shards[key] = lo.Map(generation.Shards, func(shard plan.Shard, _ int) uint32 { return shard.ID })
		}
	}
}

// AddExecution adds a query as a back end saw it.
func (j *Judge) AddExecution(execution records.Execution) {
	j.counts.Executions++
	if !execution.Executed {
		j.counts.Refusals++
	}
	request := j.request(execution.Request)
	request.executions = append(request.executions, execution)
}

// AddAnswer adds a request as its caller saw it.
func (j *Judge) AddAnswer(answer records.CallerAnswer) {
	j.counts.Answers++
	request := j.request(answer.Request)
	request.answers = append(request.answers, answer)
	if answer.ConfigRevision != 0 {
		j.admissions.add(answer.Router, answer.ConfigRevision, answer.Sent, answer.Received)
	}
}

// AddDeparture adds a departure. A second record with the same beginning
// completes the first.
func (j *Judge) AddDeparture(departure records.Departure) {
	known := j.departures[departure.Backend]
	for index := range known {
		if known[index].Began.Equal(departure.Began) {
			known[index] = departure
			return
		}
	}
	j.counts.Departures++
	j.departures[departure.Backend] = append(known, departure)
}

// AddPlannedStop adds the planned stop of a router.
func (j *Judge) AddPlannedStop(stop records.PlannedStop) {
	j.counts.Stops++
	j.stops[stop.Router] = append(j.stops[stop.Router], stop)
}

// AddOperatorAnswer adds a configuration change as its operator saw it.
func (j *Judge) AddOperatorAnswer(answer records.OperatorAnswer) {
	j.counts.Operators++
	j.admissions.operators = append(j.admissions.operators, answer)
}

// AddAdmission adds the revision under which a router admitted work.
func (j *Judge) AddAdmission(admission records.Admission) {
	j.counts.Admissions += max(admission.Count, 1)
	last := admission.At
	if admission.Until.After(last) {
		last = admission.Until
	}
	j.admissions.add(admission.Node, admission.Revision, last, admission.At)
}

// CloseRequests judges the requests added so far and forgets them.
func (j *Judge) CloseRequests() {
	j.judgeRequests(&j.closed)
	j.requests = map[string]*requestRecords{}
}

// CloseRequest judges one request and forgets it. Nothing may be added about it
// afterwards.
func (j *Judge) CloseRequest(id string) {
	if request, ok := j.requests[id]; ok {
		j.judgeRequest(request, &j.closed)
		delete(j.requests, id)
	}
}

// Result is the outcome of a run.
type Result struct {
	Counts Counts `json:"counts"`
	// Total counts all violations, ByInvariant those of each invariant.
	Total       int               `json:"violations"`
	ByInvariant map[Invariant]int `json:"by_invariant"`
	// Violations holds the first of them in full.
	Violations []Violation `json:"first_violations,omitempty"`
}

// Result judges everything added so far.
func (j *Judge) Result() Result {
	found := j.closed.clone()
	j.judgeRequests(&found)
	j.admissions.judge(j.config, &found)
	return Result{
		Counts: j.counts, Total: found.total,
		ByInvariant: found.byInvariant, Violations: found.kept,
	}
}

// Violations judges everything added so far and returns the violations, at
// most the first 1000.
func (j *Judge) Violations() []Violation { return j.Result().Violations }

func (j *Judge) request(id string) *requestRecords {
	known, ok := j.requests[id]
	if !ok {
		known = &requestRecords{id: id}
		j.requests[id] = known
	}
	return known
}

// judgeRequests goes through requests in order of their ids, so that equal
// records give equal results.
func (j *Judge) judgeRequests(found *findings) {
	ids := lo.Keys(j.requests)
	slices.Sort(ids)
	for _, id := range ids {
		j.judgeRequest(j.requests[id], found)
	}
}

func (j *Judge) judgeRequest(request *requestRecords, found *findings) {
	for index := range request.answers {
		j.judgeAnswer(request, &request.answers[index], found)
	}
	j.judgeExecutions(request, found)
}

// findings collects violations within bounds.
type findings struct {
	total       int
	byInvariant map[Invariant]int
	kept        []Violation
}

func newFindings() findings { return findings{byInvariant: map[Invariant]int{}} }

func (f *findings) clone() findings {
	copied := newFindings()
	copied.total = f.total
	copied.kept = slices.Clone(f.kept)
	for invariant, count := range f.byInvariant {
		copied.byInvariant[invariant] = count
	}
	return copied
}

func (f *findings) add(invariant Invariant, request, format string, arguments ...any) {
	f.total++
	f.byInvariant[invariant]++
	if len(f.kept) < maxKept {
		f.kept = append(f.kept, Violation{invariant, request, fmt.Sprintf(format, arguments...)})
	}
}
