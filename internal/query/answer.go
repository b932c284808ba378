package query

import (
	"encoding/json"

	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/merge"
	"github.com/martenstage/martenstage/internal/verdict"
)

// answer ends a request with the parts that are there.
func (e *Engine) answer(r *request) {
	answer := e.describe(r)
	if r.covered == 0 {
		answer.Err = e.failure(answer, mainReason(answer.Missing))
	} else {
		answer.Items = merge.Parts(r.route.Policy.Merge, r.parts())
	}
	e.respond(r, answer)
}

// giveUp ends a request by the policy's word that its parts are not enough.
// The caller is told at once, with a hint when to come again.
func (e *Engine) giveUp(r *request) {
	answer := e.describe(r)
	answer.Err = e.failure(answer, verdict.ReasonCoverage)
	e.respond(r, answer)
}

// endWith ends a request for a reason that is not of its policy.
func (e *Engine) endWith(r *request, reason verdict.Reason, detail string) {
	answer := e.describe(r)
	answer.Err = e.failure(answer, reason)
	answer.Err.Detail = detail
	e.respond(r, answer)
}

func (e *Engine) failure(answer Answer, reason verdict.Reason) *verdict.Error {
	return &verdict.Error{Verdict: answer.Verdict, Reason: reason, RetryAfter: e.retryAfter(0)}
}

// describe states what is true of a request at this moment.
func (e *Engine) describe(r *request) Answer {
	answer := Answer{
		Verdict:        r.verdictNow(),
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
				Shard: shard.group.Shard, Name: shard.group.Name, Items: len(shard.items), Elapsed: shard.took,
			})
			continue
		}
		answer.Missing = append(answer.Missing, MissingShard{
			Shard: shard.group.Shard, Name: shard.group.Name, Reason: shard.missingReason(),
		})
	}
	return answer
}

// missingReason says why a shard is not covered at the moment of the answer.
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

// mainReason returns the most frequent reason, of equals the first.
func mainReason(missing []MissingShard) verdict.Reason {
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

// respond gives the request its one answer and lets go of what is still out.
func (e *Engine) respond(r *request, answer Answer) {
	e.recordCoverage(r, answer)
	e.emit(Respond{Request: r.ID, Answer: answer})
	delete(e.requests, r.ID)
	claimed := r.phase == phaseRunning && r.route.Policy.Once
	for index := range r.shards {
		e.leaveQueue(r, &r.shards[index])
		e.cancelShard(r, &r.shards[index])
	}
	if !claimed {
		e.detachAttempts(r)
		e.discard(r)
		return
	}
	r.phase = phaseSettling
	e.settling++
	e.settleIfKnown(r)
}

// recordCoverage journals an answer that is short of its policy, by the first
// shard that it misses.
func (e *Engine) recordCoverage(r *request, answer Answer) {
	if r.partition == nil || r.phase != phaseRunning {
		return
	}
	short := answer.Err != nil || float64(r.covered) < r.route.wanted*float64(len(r.shards))
	if answer.Complete || !short || (answer.Err != nil && answer.Err.Reason == verdict.ReasonCanceled) {
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

// callerGone ends a request that nobody waits for. It still gets an answer,
// with reason canceled, so that every request has exactly one; the shell drops
// it if the caller can not be reached.
func (e *Engine) callerGone(id RequestID) {
	r, known := e.requests[id]
	if !known {
		return
	}
	if r.phase == phaseClaiming {
		e.abandoned[r.ID] = r.CallerID
	}
	e.endWith(r, verdict.ReasonCanceled, "")
}
