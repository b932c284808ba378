package judge

import (
	"net/http"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/verdict"
)

// judgeAnswer checks what one answer says against the executions of its
// request.
func (j *Judge) judgeAnswer(request *requestRecords, answer *records.CallerAnswer, found *findings) {
	j.judgeStop(answer, found)
	if answer.Status != http.StatusOK {
		return
	}
	j.judgeCoverageClaims(answer, found)
	j.judgeLateness(answer, found)
	parts := partsOf(request, answer)
	// Each check rests on the one before; a breach found by one would only show
	// up again in the next.
	if j.judgeExecuted(answer, parts, found) && judgeItemOrigins(request, answer, parts, found) {
		j.judgeMerge(answer, parts, found)
	}
}

// judgeExecuted checks that every covered shard was executed for the request.
func (j *Judge) judgeExecuted(answer *records.CallerAnswer, parts map[uint32][][]string, found *findings) bool {
	for _, shard := range answer.Covered {
		if len(parts[shard]) == 0 {
			found.add(CoverageTrue, answer.Request,
				"shard %d is said to be covered, but no back end executed it at generation %d version %d",
				shard, answer.Generation, answer.Version)
			return false
		}
	}
	return true
}

// judgeCoverageClaims checks that covered and missing shards partition the
// target shards and that complete says the same.
func (j *Judge) judgeCoverageClaims(answer *records.CallerAnswer, found *findings) {
	claimed := slices.Concat(answer.Covered, answer.Missing)
	if len(lo.Uniq(claimed)) != len(claimed) {
		found.add(CoverageTrue, answer.Request, "shards named twice: covered %v, missing %v", answer.Covered, answer.Missing)
	}
	if answer.Complete != (len(answer.Missing) == 0) {
		found.add(CoverageTrue, answer.Request, "complete=%t with missing shards %v", answer.Complete, answer.Missing)
	}
	targets, known := j.shards[generationKey{answer.Service, answer.Generation}]
	route, routed := j.routes[answer.Route]
	if !routed {
		return
	}
	if !known {
		found.add(OneSnapshot, answer.Request, "generation %d of %s was never configured", answer.Generation, answer.Service)
		return
	}
	if route.Target == plan.TargetKey {
		if len(claimed) != 1 || !slices.Contains(targets, claimed[0]) {
			found.add(CoverageTrue, answer.Request, "shards %v claimed on a route to one shard", claimed)
		}
		return
	}
	slices.Sort(claimed)
	if sorted := slices.Sorted(slices.Values(targets)); !slices.Equal(claimed, sorted) {
		found.add(CoverageTrue, answer.Request, "covered and missing are %v, the generation has %v", claimed, sorted)
	}
}

func (j *Judge) judgeLateness(answer *records.CallerAnswer, found *findings) {
	deadline := time.Duration(answer.DeadlineMs) * time.Millisecond
	if route, ok := j.routes[answer.Route]; ok && (deadline == 0 || deadline > route.Policy.Deadline) {
		deadline = route.Policy.Deadline
	}
	if deadline == 0 || answer.Late {
		return
	}
	elapsed := time.Duration(answer.ElapsedMs * float64(time.Millisecond))
	if elapsed > deadline {
		found.add(CoverageTrue, answer.Request, "decided %v after arrival, deadline %v, not marked late", elapsed, deadline)
		return
	}
	lag := time.Duration(answer.CallerLagMs * float64(time.Millisecond))
	if received := answer.Received.Sub(answer.Sent) - lag; received > deadline+j.config.LateTolerance {
		found.add(CoverageTrue, answer.Request, "received after %v, deadline %v, not marked late", received, deadline)
	}
}

// partsOf returns, for each shard, the item lists that back ends produced for
// this request's own body at the claimed snapshot. A run that was cut short or
// failed produced none.
func partsOf(request *requestRecords, answer *records.CallerAnswer) map[uint32][][]string {
	parts := map[uint32][][]string{}
	for _, execution := range request.executions {
		produced := execution.Executed && !execution.Canceled && !execution.Failed
		if produced && inSnapshot(&execution, answer) && execution.BodyDigest == answer.BodyDigest {
			parts[execution.Shard] = append(parts[execution.Shard], execution.ItemDigests)
		}
	}
	return parts
}

func inSnapshot(execution *records.Execution, answer *records.CallerAnswer) bool {
	return execution.Service == answer.Service &&
		execution.Generation == answer.Generation &&
		execution.Version == answer.Version
}

// judgeItemOrigins finds, for every item that no covered part holds, the
// execution that it came from instead, and with it the invariant it breaks.
func judgeItemOrigins(
	request *requestRecords, answer *records.CallerAnswer, parts map[uint32][][]string, found *findings,
) bool {
	allowed := make(map[string]bool, len(answer.ItemDigests))
	for _, shard := range answer.Covered {
		for _, digests := range parts[shard] {
			for _, digest := range digests {
				allowed[digest] = true
			}
		}
	}
	for _, digest := range answer.ItemDigests {
		if allowed[digest] {
			continue
		}
		invariant, detail := originOf(request, answer, digest)
		found.add(invariant, answer.Request, "item %s %s", digest, detail)
		return false
	}
	return true
}

func originOf(request *requestRecords, answer *records.CallerAnswer, digest string) (Invariant, string) {
	invariant, detail := WholeAnswer, "was produced by no execution of this request"
	for _, execution := range request.executions {
		if !execution.Executed || !slices.Contains(execution.ItemDigests, digest) {
			continue
		}
		switch {
		case !inSnapshot(&execution, answer):
			return OneSnapshot, "stems from another snapshot than the one claimed"
		case execution.BodyDigest != answer.BodyDigest:
			invariant, detail = WholeAnswer, "answers another request body"
		default:
			invariant, detail = CoverageTrue, "stems from a shard that is not said to be covered"
		}
	}
	return invariant, detail
}

// judgeStop checks that a planned stop of the router did not end the request
// without an answer.
func (j *Judge) judgeStop(answer *records.CallerAnswer, found *findings) {
	if answer.Verdict == verdict.NotRun.String() {
		return
	}
	cut := answer.Status == 0 || answer.Reason == string(verdict.ReasonStopping)
	if !cut {
		return
	}
	for _, stop := range j.stops[answer.Router] {
		exited := stop.Exited.IsZero() || !answer.Sent.After(stop.Exited)
		if exited && !answer.Received.Before(stop.Began) {
			found.add(StopCutsNothing, answer.Request, "cut off during the planned stop of %s: status %d %s%s",
				stop.Router, answer.Status, answer.Reason, answer.Error)
			return
		}
	}
}
