package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/verdict"
)

// patientPolicy waits for whole coverage, takes half from 60 ms on and fails at
// 150 ms. It has no word for a request that nothing is left to wait for.
func patientPolicy() plan.Policy {
	policy := testPolicy()
	policy.Hedge, policy.Retry = plan.Hedge{}, plan.Retry{}
	coverage := func(ratio float64) plan.Condition {
		return plan.Condition{Kind: plan.ConditionCoverage, Ratio: ratio}
	}
	elapsed := func(duration time.Duration) plan.Condition {
		return plan.Condition{Kind: plan.ConditionElapsed, Duration: duration}
	}
	policy.Statements = []plan.Statement{
		{Condition: coverage(1), Action: plan.ActionAnswer},
		{Condition: plan.Condition{Kind: plan.ConditionAll, Operands: []plan.Condition{
			coverage(0.5), elapsed(60 * time.Millisecond),
		}}, Action: plan.ActionAnswer},
		{Condition: elapsed(150 * time.Millisecond), Action: plan.ActionFail},
	}
	return policy
}

func refused(send Send) AttemptFailed {
	return AttemptFailed{Attempt: send.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonOverloaded}
}

func TestARequestThatNothingCanChangeIsAnsweredAtOnce(t *testing.T) {
	h := newHarness(t, Config{Zone: "a"}, testPlan(2, 1, patientPolicy()))

	sends := only[Send](h.arrive())
	require.Empty(t, only[Respond](h.after(time.Millisecond, part(sends[0]))))
	answers := only[Respond](h.after(time.Millisecond, refused(sends[1])))
	require.Len(t, answers, 1, "half of the parts are what the policy takes at 60 ms")
	require.Nil(t, answers[0].Answer.Err)
	require.Len(t, answers[0].Answer.Missing, 1)

	sends = only[Send](h.arrive())
	require.Empty(t, only[Respond](h.after(time.Millisecond, refused(sends[0]))))
	answers = only[Respond](h.after(time.Millisecond, refused(sends[1])))
	require.Len(t, answers, 1, "no part at all fails at 150 ms, and so it does now")
	require.Equal(t, verdict.ReasonCoverage, answers[0].Answer.Err.Reason)
	require.Equal(t, verdict.NotRun, answers[0].Answer.Verdict)
	require.GreaterOrEqual(t, answers[0].Answer.Err.RetryAfter, leastRetryAfter)
}

// TestRefusalsSayWhenToComeBack fills the queues until a request is refused.
func TestRefusalsSayWhenToComeBack(t *testing.T) {
	h := newHarness(t, Config{Zone: "a"}, testPlan(2, 1, testPolicy()))
	for _, send := range only[Send](h.arrive()) { // to know how long attempts take
		h.after(5*time.Millisecond, part(send))
	}
	const most = 1000
	for range most {
		answers := only[Respond](h.arrive())
		if len(answers) == 0 {
			continue
		}
		refusal := answers[0].Answer.Err
		require.Equal(t, verdict.ReasonOverloaded, refusal.Reason)
		require.Equal(t, verdict.NotRun, refusal.Verdict)
		require.GreaterOrEqual(t, refusal.RetryAfter, leastRetryAfter)
		require.LessOrEqual(t, refusal.RetryAfter, mostRetryAfter*3/2)
		return
	}
	require.Fail(t, "nothing was refused")
}

// TestOverloadIsNotAnsweredWithMoreAttempts lets every server refuse for load.
func TestOverloadIsNotAnsweredWithMoreAttempts(t *testing.T) {
	policy := testPolicy()
	h := newHarness(t, Config{Zone: "a"}, testPlan(2, 2, policy))
	firsts, extras := 0, 0
	for range 200 {
		queue := only[Send](h.arrive())
		for len(queue) > 0 {
			if queue[0].Retry || queue[0].Hedge {
				extras++
			} else {
				firsts++
			}
			failed := refused(queue[0])
			failed.Report = Report{Known: true, Load: backendapi.Load{InFlight: 2, Slots: 2, Queued: 8}}
			queue = append(queue[1:], only[Send](h.after(100*time.Microsecond, failed))...)
		}
		firsts += len(only[Send](h.after(10*time.Millisecond, TimerFired{})))
		require.LessOrEqual(t, float64(extras), 20+0.15*float64(firsts))
	}
}

// TestAVersionIsPinnedOnceItHasCapacity brings a version to the four replicas
// of one shard in turn.
func TestAVersionIsPinnedOnceItHasCapacity(t *testing.T) {
	h := newHarness(t, Config{Zone: "a"}, testPlan(1, 4, testPolicy()))
	pinned := func() uint64 {
		send := only[Send](h.arrive())[0]
		h.after(time.Millisecond, part(send))
		return send.Version
	}
	h.report(serverAddress(0, 0), backendapi.StateReady, 1, 0, 1, 2)
	require.Equal(t, uint64(1), pinned())
	h.report(serverAddress(0, 1), backendapi.StateReady, 1, 0, 1, 2)
	require.Equal(t, uint64(2), pinned(), "half of the slots will do")
	for replica := range 3 {
		h.report(serverAddress(0, replica+1), backendapi.StateReady, 1, 0, 1)
	}
	h.report(serverAddress(0, 0), backendapi.StateReady, 1, 0, 2)
	require.Equal(t, uint64(1), pinned())
	for replica := range 3 {
		h.report(serverAddress(0, replica+1), backendapi.StateReady, 1, 0)
	}
	require.Equal(t, uint64(2), pinned(), "little capacity is better than none")
}

// A queue at the replicas makes a request late though nothing waits in the
// router: it is refused while that queue stands, and taken in as soon as it is
// gone, however slow the replicas were. A shard that is late by itself is
// spared where the policy answers without it.
func TestRequestsAreRefusedWhileReplicasQueueForTooLong(t *testing.T) {
	const shards, moment, busy, slow, queued = 4, 40 * time.Millisecond, 30 * time.Millisecond, 50 * time.Millisecond, 2
	policy := testPolicy()
	policy.Hedge = plan.Hedge{}
	late := plan.Condition{Kind: plan.ConditionElapsed, Duration: moment}
	policy.Statements = append(policy.Statements, plan.Statement{Action: plan.ActionAnswer, Condition: plan.Condition{
		Kind: plan.ConditionAll, Operands: []plan.Condition{{Kind: plan.ConditionCoverage, Ratio: 0.75}, late},
	}})
	queue := func(send Send, waiting int) PartArrived {
		arrived := part(send)
		arrived.Report = Report{Known: true, Load: backendapi.Load{InFlight: 2, Slots: 2, Queued: waiting}}
		return arrived
	}
	for _, once := range []struct {
		took   time.Duration
		shards int
		taken  bool
	}{{busy, 1, false}, {slow, 1, true}, {slow, 2, false}} {
		h := newHarness(t, Config{Zone: "a"}, testPlan(shards, 1, policy))
		first, second, third := only[Send](h.arrive()), only[Send](h.arrive()), only[Send](h.arrive())
		require.Len(t, third, shards)
		h.now = h.now.Add(once.took)
		for _, send := range first[:once.shards] {
			h.step(queue(send, queued))
		}
		answers := only[Respond](h.arrive())
		if once.taken {
			require.Empty(t, answers)
			continue
		}
		require.Len(t, answers, 1, "%+v", once)
		require.Equal(t, verdict.ReasonOverloaded, answers[0].Answer.Err.Reason)
		require.Equal(t, verdict.NotRun, answers[0].Answer.Verdict)
		for _, send := range append(second, third...) {
			h.step(queue(send, 0))
		}
		require.Len(t, only[Send](h.arrive()), shards)
	}
}

// Where the budget earns no more than ordinary hedges spend, the larger part of
// its burst waits for attempts at servers that stall.
func TestHedgesLeaveTokensForServersThatStall(t *testing.T) {
	const usual, due, stalled = 5 * time.Millisecond, 7 * time.Millisecond, 20 * time.Millisecond
	h := newHarness(t, Config{Zone: "a"}, testPlan(1, 2, testPolicy()))
	for range 2 * leastObservations {
		send := only[Send](h.arrive())[0]
		h.after(usual, part(send))
	}
	hedges := 0
	for range 2 * int(h.plan.Services[0].HedgeBudget.Burst) {
		send := only[Send](h.arrive())[0]
		hedges += len(only[Send](h.after(due, TimerFired{})))
		h.step(part(send))
	}
	require.NotZero(t, hedges)
	require.LessOrEqual(t, hedges, 3, "10 tokens, of which 7 are kept, and 1 earned by 20 attempts")
	h.arrive()
	require.Empty(t, only[Send](h.after(due, TimerFired{})))
	require.Len(t, only[Send](h.after(stalled, TimerFired{})), 1)
}
