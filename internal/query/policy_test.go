package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/verdict"
)

// fullCoveragePolicy waits for full coverage, accepts half from 60 ms on and fails at
// 150 ms. No statement applies to a request as soon as no shard is open.
func fullCoveragePolicy() plan.Policy {
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
	h := newHarness(t, Config{Zone: "a"}, testPlan(2, 1, fullCoveragePolicy()))

	sends := commandsOf[Send](h.arrive())
	require.Empty(t, commandsOf[Respond](h.after(time.Millisecond, part(sends[0]))))
	answers := commandsOf[Respond](h.after(time.Millisecond, refused(sends[1])))
	require.Len(t, answers, 1, "the policy accepts half of the parts at 60 ms")
	require.Nil(t, answers[0].Answer.Err)
	require.Len(t, answers[0].Answer.Missing, 1)

	sends = commandsOf[Send](h.arrive())
	require.Empty(t, commandsOf[Respond](h.after(time.Millisecond, refused(sends[0]))))
	answers = commandsOf[Respond](h.after(time.Millisecond, refused(sends[1])))
	require.Len(t, answers, 1, "without any part the policy fails at 150 ms, so the request fails now")
	require.Equal(t, verdict.ReasonCoverage, answers[0].Answer.Err.Reason)
	require.Equal(t, verdict.NotRun, answers[0].Answer.Verdict)
	require.GreaterOrEqual(t, answers[0].Answer.Err.RetryAfter, minRetryAfter)
}

// Guards against refusals for load without a bounded RetryAfter hint. The queues are
// filled until a request is refused.
func TestRefusalsHaveABoundedRetryAfter(t *testing.T) {
	h := newHarness(t, Config{Zone: "a"}, testPlan(2, 1, testPolicy()))
	for _, send := range commandsOf[Send](h.arrive()) { // provides a typical latency
		h.after(5*time.Millisecond, part(send))
	}
	const most = 1000
	for range most {
		answers := commandsOf[Respond](h.arrive())
		if len(answers) == 0 {
			continue
		}
		refusal := answers[0].Answer.Err
		require.Equal(t, verdict.ReasonOverloaded, refusal.Reason)
		require.Equal(t, verdict.NotRun, refusal.Verdict)
		require.GreaterOrEqual(t, refusal.RetryAfter, minRetryAfter)
		require.LessOrEqual(t, refusal.RetryAfter, maxRetryAfter*3/2)
		return
	}
	require.Fail(t, "nothing was refused")
}

// Guards against retries and hedges that amplify an overload. Every server refuses
// all attempts for load.
func TestOverloadIsNotAnsweredWithMoreAttempts(t *testing.T) {
	policy := testPolicy()
	h := newHarness(t, Config{Zone: "a"}, testPlan(2, 2, policy))
	firsts, extras := 0, 0
	for range 200 {
		queue := commandsOf[Send](h.arrive())
		for len(queue) > 0 {
			if queue[0].Retry || queue[0].Hedge {
				extras++
			} else {
				firsts++
			}
			failed := refused(queue[0])
			failed.Report = Report{Known: true, Load: backendapi.Load{InFlight: 2, Slots: 2, Queued: 8}}
			queue = append(queue[1:], commandsOf[Send](h.after(100*time.Microsecond, failed))...)
		}
		firsts += len(commandsOf[Send](h.after(10*time.Millisecond, TimerFired{})))
		require.LessOrEqual(t, float64(extras), 20+0.15*float64(firsts))
	}
}

// Guards against a version that is pinned while too few replicas serve it. The four
// replicas of one shard load the version one after another.
func TestAVersionIsPinnedOnceItHasCapacity(t *testing.T) {
	h := newHarness(t, Config{Zone: "a"}, testPlan(1, 4, testPolicy()))
	pinned := func() uint64 {
		send := commandsOf[Send](h.arrive())[0]
		h.after(time.Millisecond, part(send))
		return send.Version
	}
	h.report(serverAddress(0, 0), backendapi.StateReady, 1, 0, 1, 2)
	require.Equal(t, uint64(1), pinned())
	h.report(serverAddress(0, 1), backendapi.StateReady, 1, 0, 1, 2)
	require.Equal(t, uint64(2), pinned(), "half of the slots suffice")
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

// A queue at the replicas makes a request late even if nothing waits in the router:
// requests are refused while that queue exists, and admitted as soon as it is empty,
// however slow the replicas were. A shard that is slow without a queue does not cause
// a refusal if the policy answers without it.
func TestRequestsAreRefusedWhileReplicasQueueForTooLong(t *testing.T) {
	const shards, threshold, busy, slow, queued = 4, 40 * time.Millisecond, 30 * time.Millisecond, 50 * time.Millisecond, 2
	policy := testPolicy()
	policy.Hedge = plan.Hedge{}
	late := plan.Condition{Kind: plan.ConditionElapsed, Duration: threshold}
	policy.Statements = append(policy.Statements, plan.Statement{Action: plan.ActionAnswer, Condition: plan.Condition{
		Kind: plan.ConditionAll, Operands: []plan.Condition{{Kind: plan.ConditionCoverage, Ratio: 0.75}, late},
	}})
	queue := func(send Send, waiting int) PartArrived {
		arrived := part(send)
		arrived.Report = Report{Known: true, Load: backendapi.Load{InFlight: 2, Slots: 2, Queued: waiting}}
		return arrived
	}
	for _, test := range []struct {
		took   time.Duration
		shards int
		taken  bool
	}{{busy, 1, false}, {slow, 1, true}, {slow, 2, false}} {
		h := newHarness(t, Config{Zone: "a"}, testPlan(shards, 1, policy))
		first, second, third := commandsOf[Send](h.arrive()), commandsOf[Send](h.arrive()), commandsOf[Send](h.arrive())
		require.Len(t, third, shards)
		h.now = h.now.Add(test.took)
		for _, send := range first[:test.shards] {
			h.step(queue(send, queued))
		}
		answers := commandsOf[Respond](h.arrive())
		if test.taken {
			require.Empty(t, answers)
			continue
		}
		require.Len(t, answers, 1, "%+v", test)
		require.Equal(t, verdict.ReasonOverloaded, answers[0].Answer.Err.Reason)
		require.Equal(t, verdict.NotRun, answers[0].Answer.Verdict)
		for _, send := range append(second, third...) {
			h.step(queue(send, 0))
		}
		require.Len(t, commandsOf[Send](h.arrive()), shards)
	}
}

// Guards against ordinary hedges that use up the tokens for stalled servers. If the
// budget earns no more than ordinary hedges spend, most of its burst is reserved for
// attempts at servers that stall.
func TestHedgesLeaveTokensForServersThatStall(t *testing.T) {
	const usual, due, stalled = 5 * time.Millisecond, 7 * time.Millisecond, 20 * time.Millisecond
	h := newHarness(t, Config{Zone: "a"}, testPlan(1, 2, testPolicy()))
	for range 2 * minObservations {
		send := commandsOf[Send](h.arrive())[0]
		h.after(usual, part(send))
	}
	hedges := 0
	for range 2 * int(h.plan.Services[0].HedgeBudget.Burst) {
		send := commandsOf[Send](h.arrive())[0]
		hedges += len(commandsOf[Send](h.after(due, TimerFired{})))
		h.step(part(send))
	}
	require.NotZero(t, hedges)
	require.LessOrEqual(t, hedges, 3, "10 tokens, of which 7 are reserved, and 1 earned by 20 attempts")
	h.arrive()
	require.Empty(t, commandsOf[Send](h.after(due, TimerFired{})))
	require.Len(t, commandsOf[Send](h.after(stalled, TimerFired{})), 1)
}
