// Package forward sends requests from one router to another: from a router
// outside the cell of the request's service to one in the cell, and to the entry
// routers of other regions. A request is forwarded at most once within a region
// and crosses between regions at most once.
package forward

import (
	"encoding/json"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/verdict"
)

func requestToWire(from string, request router.Request, now time.Time) *v1.ForwardQueryRequest {
	message := &v1.ForwardQueryRequest{
		RequestId: request.CallerID,
		Route:     request.Route,
		Key:       request.Key,
		Body:      request.Body,
		From:      from,
	}
	if !request.Deadline.IsZero() {
		message.TimeLeft = durationpb.New(request.Deadline.Sub(now))
	}
	return message
}

func requestFromWire(message *v1.ForwardQueryRequest, now time.Time) router.Request {
	request := router.Request{
		CallerID: message.GetRequestId(),
		Route:    message.GetRoute(),
		Key:      message.GetKey(),
		Body:     message.GetBody(),

		IDGenerated: message.GetIdGenerated(),
	}
	if message.TimeLeft != nil {
		request.Deadline = now.Add(message.GetTimeLeft().AsDuration())
	}
	return request
}

func answerToWire(answer query.Answer) *v1.ForwardQueryResponse {
	message := &v1.ForwardQueryResponse{
		Verdict: answer.Verdict.String(),
		Snapshot: &v1.ForwardSnapshot{
			Service: answer.Snapshot.Service, Generation: answer.Snapshot.Generation, Version: answer.Snapshot.Version,
		},
		Covered: lo.Map(answer.Covered, func(shard query.ShardCoverage, _ int) *v1.ForwardCovered {
			return &v1.ForwardCovered{Shard: shard.Shard, Name: shard.Name, Items: uint32(shard.Items),
				Elapsed: durationpb.New(shard.Elapsed)}
		}),
		Missing: lo.Map(answer.Missing, func(shard query.MissingShard, _ int) *v1.ForwardMissing {
			return &v1.ForwardMissing{Shard: shard.Shard, Name: shard.Name, Reason: string(shard.Reason)}
		}),
		Complete:   answer.Complete,
		Late:       answer.Late,
		Superseded: answer.Superseded,
		Items:      lo.Map(answer.Items, func(item json.RawMessage, _ int) []byte { return item }),
		Attempts: &v1.ForwardAttempts{
			First: uint32(answer.Attempts.First), Hedges: uint32(answer.Attempts.Hedges),
			Retries: uint32(answer.Attempts.Retries),
		},
		Elapsed:        durationpb.New(answer.Elapsed),
		ConfigRevision: answer.ConfigRevision,
		Restarts:       uint32(answer.Restarts),
	}
	if answer.Err != nil {
		message.Failure = &v1.ForwardFailure{Reason: string(answer.Err.Reason), Detail: answer.Err.Detail,
			RetryAfter: durationpb.New(answer.Err.RetryAfter)}
	}
	return message
}

// answerFromWire decodes an answer. An unknown verdict is treated as
// may_have_run, since it proves nothing.
func answerFromWire(message *v1.ForwardQueryResponse) query.Answer {
	outcome, err := verdict.Parse(message.GetVerdict())
	if err != nil {
		outcome = verdict.MayHaveRun
	}
	answer := query.Answer{
		Verdict: outcome,
		Snapshot: query.Snapshot{
			Service:    message.GetSnapshot().GetService(),
			Generation: message.GetSnapshot().GetGeneration(),
			Version:    message.GetSnapshot().GetVersion(),
		},
		Covered: lo.Map(message.GetCovered(), func(shard *v1.ForwardCovered, _ int) query.ShardCoverage {
			return query.ShardCoverage{Shard: shard.GetShard(), Name: shard.GetName(), Items: int(shard.GetItems()),
				Elapsed: shard.GetElapsed().AsDuration()}
		}),
		Missing: lo.Map(message.GetMissing(), func(shard *v1.ForwardMissing, _ int) query.MissingShard {
			return query.MissingShard{Shard: shard.GetShard(), Name: shard.GetName(),
				Reason: verdict.Reason(shard.GetReason())}
		}),
		Complete:   message.GetComplete(),
		Late:       message.GetLate(),
		Superseded: message.GetSuperseded(),
		Items:      lo.Map(message.GetItems(), func(item []byte, _ int) json.RawMessage { return item }),
		Attempts: query.AttemptCounts{
			First: int(message.GetAttempts().GetFirst()), Hedges: int(message.GetAttempts().GetHedges()),
			Retries: int(message.GetAttempts().GetRetries()),
		},
		Elapsed:        message.GetElapsed().AsDuration(),
		ConfigRevision: message.GetConfigRevision(),
		Restarts:       int(message.GetRestarts()),
	}
	if failure := message.GetFailure(); failure != nil {
		answer.Err = &verdict.Error{Verdict: outcome, Reason: verdict.Reason(failure.GetReason()),
			Detail: failure.GetDetail(), RetryAfter: failure.GetRetryAfter().AsDuration()}
	}
	return answer
}
