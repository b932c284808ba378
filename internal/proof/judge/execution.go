package judge

import (
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/verdict"
)

// judgeExecutions checks what back ends did for one request id, over all
// routers and resends.
func (j *Judge) judgeExecutions(request *requestRecords, found *findings) {
	j.judgeOnce(request, found)
	for index := range request.executions {
		execution := &request.executions[index]
		j.judgeLeaver(execution, found)
		if execution.Executed {
			j.judgeNotRun(request, execution, found)
		}
	}
}

// judgeNotRun finds executions that no answer owns up to. A request id may
// have been sent several times; an execution may belong to any send before it.
func (j *Judge) judgeNotRun(request *requestRecords, execution *records.Execution, found *findings) {
	denied := false
	for _, answer := range request.answers {
		if answer.Sent.After(execution.Arrived.Add(j.config.ClockSkew)) {
			continue
		}
		if answer.Verdict != verdict.NotRun.String() {
			return
		}
		denied = true
	}
	if denied {
		found.add(NotRunTrue, request.id, "answered not_run, but %s executed attempt %s of shard %d",
			execution.Backend, execution.Attempt, execution.Shard)
	}
}

// judgeOnce counts the executions of a request that runs at most once. On a
// route to many shards each shard may run once, within one generation.
func (j *Judge) judgeOnce(request *requestRecords, found *findings) {
	scattered := j.isScattered(request)
	counts := map[uint32]int{}
	for _, execution := range request.executions {
		if !execution.Executed || !isOnce(request, &execution) {
			continue
		}
		shard := execution.Shard
		if !scattered {
			shard = 0
		}
		counts[shard]++
		if counts[shard] == 2 {
			found.add(AtMostOnce, request.id, "executed again by %s, attempt %s", execution.Backend, execution.Attempt)
		}
	}
}

// isScattered says whether the request went to many shards. The configuration
// decides: an answer that failed names only some of the shards. Without a
// configuration the answers have to do.
func (j *Judge) isScattered(request *requestRecords) bool {
	return lo.SomeBy(request.answers, func(answer records.CallerAnswer) bool {
		if route, known := j.routes[answer.Route]; known {
			return route.Target == plan.TargetAll
		}
		return len(answer.Covered)+len(answer.Missing) > 1
	})
}

// isOnce takes the caller's word first: the mark on the execution is what the
// router passed on, and it may have been lost.
func isOnce(request *requestRecords, execution *records.Execution) bool {
	if len(request.answers) == 0 {
		return execution.Once
	}
	return request.answers[0].Once
}

func (j *Judge) judgeLeaver(execution *records.Execution, found *findings) {
	for _, departure := range j.departures[execution.Backend] {
		away := departure.Returned.IsZero() || execution.Arrived.Before(departure.Returned)
		if away && execution.Arrived.After(departure.Began.Add(j.config.LeaveBound)) {
			found.add(NoWorkToLeaver, execution.Request, "%s got attempt %s %v after it began to leave",
				execution.Backend, execution.Attempt, execution.Arrived.Sub(departure.Began))
			return
		}
	}
}
