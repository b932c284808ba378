package query

import (
	"encoding/json"

	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/merge"
	"github.com/martenstage/martenstage/internal/verdict"
)

// respondWithParts ends a request with the parts received so far.
func (e *Engine) respondWithParts(r *request) {
	answer := e.newAnswer(r)
	if r.covered == 0 {
		answer.Err = e.newFailure(answer, mostFrequentReason(answer.Missing))
	} else {
		answer.Items = merge.Parts(r.route.Policy.Merge, r.parts())
	}
	e.respond(r, answer)
}

// failByPolicy ends a request whose policy rejects its coverage. The caller gets the
// failure at once, with a RetryAfter hint.
func (e *Engine) failByPolicy(r *request) {
	answer := e.newAnswer(r)
	answer.Err = e.newFailure(answer, verdict.ReasonCoverage)
	e.respond(r, answer)
}

// failWith ends a request for a reason other than its policy.
func (e *Engine) failWith(r *request, reason verdict.Reason, detail string) {
	answer := e.newAnswer(r)
	answer.Err = e.newFailure(answer, reason)
	answer.Err.Detail = detail
	e.respond(r, answer)
}

func (e *Engine) newFailure(answer Answer, reason verdict.Reason) *verdict.Error {
	return &verdict.Error{Verdict: answer.Verdict, Reason: reason, RetryAfter: e.retryAfter(0)}
}

// newAnswer returns an answer with the request's current verdict and coverage.
func (e *Engine) newAnswer(r *request) Answer {
	answer := Answer{
		Verdict:        r.currentVerdict(),
		Late:           e.now.After(r.deadline),
		Attempts:       r.counts,
		Elapsed:        e.now.Sub(r.arrived),
		ConfigRevision: r.revision,
		Restarts:       r.restarts,
	}
	if r.partition == nil {
		return answer
	}
	answer.Snapshot = Snapshot{
		Service: r.partition.Service, Generation: r.partition.Number, Version: r.version,
	}
	answer.Superseded = r.superseded()
	answer.Complete = r.covered == len(r.shards)
	answer.Covered = make([]ShardCoverage, 0, r.covered)
	for index := range r.shards {
		shard := &r.shards[index]
		if shard.phase == shardCovered {
			answer.Covered = append(answer.Covered, ShardCoverage{
				Shard: shard.group.Shard, Name: shard.group.Name, Items: len(shard.items), Elapsed: shard.elapsed,
			})
			continue
		}
		answer.Missing = append(answer.Missing, MissingShard{
			Shard: shard.group.Shard, Name: shard.group.Name, Reason: shard.missingReason(),
		})
	}
	return answer
}

// missingReason returns why a shard is not covered at the time of the answer.
func (s *shardState) missingReason() verdict.Reason {
	switch {
	case s.phase == shardWaiting:
		return verdict.ReasonOverloaded
	case s.phase == shardSent:
		return verdict.ReasonTimeout
	case s.reason == "":
		return verdict.ReasonInternal
	default:
		return s.reason
	}
}

// mostFrequentReason returns the most frequent reason, or the first of several
// equally frequent ones.
func mostFrequentReason(missing []MissingShard) verdict.Reason {
	counts := make(map[verdict.Reason]int)
	for _, shard := range missing {
		counts[shard.Reason]++
	}
	main := verdict.ReasonInternal
	for _, shard := range missing {
		if counts[shard.Reason] > counts[main] {
			main = shard.Reason
		}
	}
	return main
}

func (r *request) parts() [][]json.RawMessage {
	parts := make([][]json.RawMessage, 0, r.covered)
	for index := range r.shards {
		if r.shards[index].phase == shardCovered {
			parts = append(parts, r.shards[index].items)
		}
	}
	return parts
}

// respond sends the request's only answer and releases its queue entries and
// attempts.
func (e *Engine) respond(r *request, answer Answer) {
	e.recordIncompleteAnswer(r, answer)
	e.emit(Respond{Request: r.ID, Answer: answer})
	delete(e.requests, r.ID)
	claimed := r.phase == phaseRunning && r.route.Policy.Once
	for index := range r.shards {
		e.dequeue(r, &r.shards[index])
		e.cancelShard(r, &r.shards[index])
	}
	if !claimed {
		e.detachAttempts(r)
		e.releaseRequest(r)
		return
	}
	r.phase = phaseSettling
	e.settling++
	e.settleClaimIfResolved(r)
}

// recordIncompleteAnswer journals an answer whose coverage is below its policy, with
// the first missing shard.
func (e *Engine) recordIncompleteAnswer(r *request, answer Answer) {
	if r.partition == nil || r.phase != phaseRunning {
		return
	}
	belowPolicy := answer.Err != nil || float64(r.covered) < r.route.maxCoverage*float64(len(r.shards))
	if answer.Complete || !belowPolicy || (answer.Err != nil && answer.Err.Reason == verdict.ReasonCanceled) {
		return
	}
	event := journal.Event{
		Kind: journal.KindCoverageBelowPolicy, Service: r.partition.Service, Detail: r.route.Name + ": partial answer",
	}
	if len(answer.Missing) > 0 {
		event.Shard = answer.Missing[0].Name
	}
	if answer.Err != nil {
		event.Detail = r.route.Name + ": no answer, " + string(answer.Err.Reason)
	}
	e.record(event)
}

// callerDisconnected ends a request whose caller no longer waits. The request still
// gets an answer, with reason canceled, so that every request has exactly one; the
// shell drops it if the caller can not be reached.
func (e *Engine) callerDisconnected(id RequestID) {
	r, known := e.requests[id]
	if !known {
		return
	}
	if r.phase == phaseClaiming {
		e.abandonedClaims[r.ID] = r.CallerID
	}
	e.failWith(r, verdict.ReasonCanceled, "")
}
