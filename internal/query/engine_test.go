package query

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/verdict"
)

const (
	testService = "seats"
	testRoute   = "pick"
)

// harness drives one engine with a simple site: shards × replicas servers with two
// slots each, and one route to all of them.
type harness struct {
	t        require.TestingT
	engine   *Engine
	now      time.Time
	plan     *plan.Plan
	revision uint64
	next     RequestID
}

func serverAddress(shard, replica int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(shard >> 8), byte(shard), byte(replica + 1)}), 80)
}

func testGeneration(number uint32, shards, replicas int) plan.Generation {
	generation := plan.Generation{Number: number}
	for shard := range shards {
		entry := plan.Shard{ID: uint32(shard), Name: fmt.Sprintf("s%d", shard)}
		for replica := range replicas {
			entry.Replicas = append(entry.Replicas, plan.Replica{
				Address: serverAddress(shard, replica), Zone: "a", Slots: 2, Connections: 70,
			})
		}
		generation.Shards = append(generation.Shards, entry)
	}
	return generation
}

func testPlan(shards, replicas int, policy plan.Policy) *plan.Plan {
	return &plan.Plan{
		Services: []plan.Service{{
			Name: testService, Generations: []plan.Generation{testGeneration(1, shards, replicas)},
			HedgeBudget: plan.Budget{Ratio: 0.05, Burst: 10}, RetryBudget: plan.Budget{Ratio: 0.1, Burst: 10},
		}},
		Routes: []plan.Route{{Name: testRoute, Service: testService, Target: plan.TargetAll, Policy: policy}},
	}
}

func testPolicy() plan.Policy {
	return plan.Policy{
		Name: "p", Priority: plan.PriorityInteractive, Deadline: 200 * time.Millisecond,
		SnapshotCoverage: 1, Merge: plan.Merge{Kind: plan.MergeConcat},
		Hedge: plan.Hedge{Quantile: 0.95, MinDelay: 2 * time.Millisecond, MaxDelay: 40 * time.Millisecond, MaxPerShard: 1},
		Retry: plan.Retry{MaxPerShard: 2, Backoff: 5 * time.Millisecond},
		Statements: []plan.Statement{
			{Condition: plan.Condition{Kind: plan.ConditionSettled}, Action: plan.ActionAnswer},
			{
				Condition: plan.Condition{Kind: plan.ConditionElapsed, Duration: 150 * time.Millisecond},
				Action:    plan.ActionAnswer,
			},
		},
	}
}

// newHarness installs the plan and reports every server as ready with version 1.
func newHarness(t require.TestingT, config Config, installed *plan.Plan) *harness {
	h := &harness{t: t, engine: New(config), now: time.Unix(1000, 0), plan: installed}
	h.step(LeaseRenewed{Until: h.now.Add(time.Hour)})
	h.install()
	h.reportVersions(1)
	return h
}

func (h *harness) install() {
	h.revision++
	h.step(ConfigInstalled{Revision: h.revision, Plan: h.plan})
}

func (h *harness) reportVersions(versions ...uint64) {
	for _, generation := range h.plan.Services[0].Generations {
		for _, shard := range generation.Shards {
			for _, replica := range shard.Replicas {
				h.report(replica.Address, backendapi.StateReady, generation.Number, shard.ID, versions...)
			}
		}
	}
}

func (h *harness) report(
	address netip.AddrPort, state backendapi.ReadyState, generation, shard uint32, versions ...uint64,
) []Command {
	return h.step(HealthObserved{Address: address, Reachable: true, Health: backendapi.Health{
		State: state,
		Shards: []backendapi.ShardState{{
			Service: testService, Generation: generation, Shard: shard, Versions: versions,
		}},
	}})
}

// step copies the commands, since the engine reuses the slice.
func (h *harness) step(event Event) []Command {
	return append([]Command(nil), h.engine.Step(h.now, event)...)
}

func (h *harness) after(duration time.Duration, event Event) []Command {
	h.now = h.now.Add(duration)
	return h.step(event)
}

func (h *harness) arrive() []Command {
	h.next++
	return h.step(RequestArrived{Request: h.request(h.next)})
}

func (h *harness) request(id RequestID) Request {
	body := []byte(fmt.Sprintf("query %d", id))
	return Request{
		ID: id, CallerID: fmt.Sprintf("caller-%d", id), Route: testRoute, Key: "key",
		Body: body, BodyDigest: backendapi.Digest(body),
	}
}

// part returns a correct reply to an attempt.
func part(send Send) PartArrived {
	return PartArrived{
		Attempt: send.Attempt,
		Echo: Echo{
			Request: send.CallerID, Shard: send.Shard, Generation: send.Generation, Version: send.Version,
			RequestDigest: backendapi.Digest(send.Body),
		},
		Part: backendapi.Part{Items: []json.RawMessage{
			json.RawMessage(fmt.Sprintf(`{"shard":%d,"version":%d}`, send.Shard, send.Version)),
		}},
	}
}

func commandsOf[T Command](commands []Command) []T {
	var found []T
	for _, command := range commands {
		if typed, ok := command.(T); ok {
			found = append(found, typed)
		}
	}
	return found
}

func TestAnswerHoldsThePartsOfAllShards(t *testing.T) {
	h := newHarness(t, Config{Zone: "a"}, testPlan(3, 2, testPolicy()))
	sends := commandsOf[Send](h.arrive())
	require.Len(t, sends, 3)
	require.Empty(t, commandsOf[Respond](h.after(time.Millisecond, part(sends[2]))))
	require.Empty(t, commandsOf[Respond](h.after(time.Millisecond, part(sends[0]))))
	answers := commandsOf[Respond](h.after(time.Millisecond, part(sends[1])))
	require.Len(t, answers, 1)
	answer := answers[0].Answer
	require.Nil(t, answer.Err)
	require.True(t, answer.Complete)
	require.False(t, answer.Late)
	require.Equal(t, verdict.Ran, answer.Verdict)
	require.Equal(t, Snapshot{Service: testService, Generation: 1, Version: 1}, answer.Snapshot)
	require.Len(t, answer.Items, 3)
	require.Contains(t, string(answer.Items[0]), `"shard":0`)
	require.Empty(t, commandsOf[Respond](h.step(part(sends[1]))), "a duplicate reply changes nothing")
}

func TestPartialAnswerNamesTheMissingShardAndCancelsIt(t *testing.T) {
	policy := testPolicy()
	policy.Hedge, policy.Retry = plan.Hedge{}, plan.Retry{}
	h := newHarness(t, Config{Zone: "a"}, testPlan(3, 2, policy))
	sends := commandsOf[Send](h.arrive())
	h.after(time.Millisecond, part(sends[0]))
	h.after(time.Millisecond, part(sends[1]))
	commands := h.after(148*time.Millisecond, TimerFired{})
	answer := commandsOf[Respond](commands)[0].Answer
	require.False(t, answer.Complete)
	require.Len(t, answer.Covered, 2)
	require.Equal(t, []MissingShard{{Shard: 2, Name: "s2", Reason: verdict.ReasonTimeout}}, answer.Missing)
	require.Equal(t, sends[2].Attempt, commandsOf[Cancel](commands)[0].Attempt)
}

func TestRepliesThatAnswerSomethingElseAreNeverMerged(t *testing.T) {
	falsify := map[string]func(*Echo){
		"request":    func(e *Echo) { e.Request = "other" },
		"shard":      func(e *Echo) { e.Shard++ },
		"generation": func(e *Echo) { e.Generation++ },
		"version":    func(e *Echo) { e.Version++ },
		"digest":     func(e *Echo) { e.RequestDigest = "0" },
	}
	for name, change := range falsify {
		t.Run(name, func(t *testing.T) {
			policy := testPolicy()
			policy.Retry = plan.Retry{}
			h := newHarness(t, Config{Zone: "a"}, testPlan(1, 1, policy))
			reply := part(commandsOf[Send](h.arrive())[0])
			change(&reply.Echo)
			commands := h.step(reply)
			answer := commandsOf[Respond](commands)[0].Answer
			require.Equal(t, verdict.ReasonBadEcho, answer.Err.Reason)
			require.Equal(t, verdict.MayHaveRun, answer.Verdict)
			require.Empty(t, answer.Items)
			require.Len(t, commandsOf[Record](commands), 2)
		})
	}
}

func TestRefusalsProveThatNothingRan(t *testing.T) {
	cases := map[verdict.Reason]func(*harness) Request{
		verdict.ReasonNoLease: func(h *harness) Request {
			h.step(LeaseRenewed{})
			return h.request(1)
		},
		verdict.ReasonStopping: func(h *harness) Request {
			h.step(StopRequested{})
			return h.request(1)
		},
		verdict.ReasonUnknownRoute: func(h *harness) Request {
			request := h.request(1)
			request.Route = "none"
			return request
		},
		verdict.ReasonDeadlinePassed: func(h *harness) Request {
			request := h.request(1)
			request.Deadline = h.now.Add(-time.Second)
			return request
		},
		verdict.ReasonNoSnapshot: func(h *harness) Request {
			h.reportVersions()
			return h.request(1)
		},
		verdict.ReasonOverloaded: func(h *harness) Request {
			h.engine.gate.MaxInFlight = 0
			return h.request(1)
		},
	}
	for reason, prepare := range cases {
		t.Run(string(reason), func(t *testing.T) {
			h := newHarness(t, Config{Zone: "a"}, testPlan(2, 1, testPolicy()))
			commands := h.step(RequestArrived{Request: prepare(h)})
			require.Empty(t, commandsOf[Send](commands))
			answer := commandsOf[Respond](commands)[0].Answer
			require.Equal(t, reason, answer.Err.Reason)
			require.Equal(t, verdict.NotRun, answer.Verdict)
		})
	}
}

func TestADrainIsRetractedOnceTheServerReturns(t *testing.T) {
	h := newHarness(t, Config{Zone: "a"}, testPlan(1, 2, testPolicy()))
	address := h.plan.Services[0].Generations[0].Shards[0].Replicas[0].Address
	published := func(commands []Command) []MachineState {
		return lo.Map(commandsOf[PublishMachineState](commands), func(observed PublishMachineState, _ int) MachineState { return observed.State })
	}

	require.Equal(t, []MachineState{MachineDraining}, published(h.report(address, backendapi.StateDraining, 1, 0, 1)))
	require.Empty(t, published(h.report(address, backendapi.StateDraining, 1, 0, 1)))
	require.Equal(t, []MachineState{MachineLive}, published(h.report(address, backendapi.StateReady, 1, 0, 1)))
	require.Empty(t, published(h.report(address, backendapi.StateReady, 1, 0, 1)))

	// A departure reported by others is retracted by them.
	h.step(MachineObserved{Address: address, State: MachineDraining})
	require.Empty(t, published(h.report(address, backendapi.StateReady, 1, 0, 1)))
}

func TestADrainOutlivesAConfigurationWithoutTheServer(t *testing.T) {
	for name, leave := range map[string]func(h *harness, address netip.AddrPort){
		"refusal": func(h *harness, address netip.AddrPort) {
			sent := commandsOf[Send](h.arrive())[0]
			h.step(AttemptFailed{Attempt: sent.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonDraining})
		},
		"report by others": func(h *harness, address netip.AddrPort) {
			h.step(MachineObserved{Address: address, State: MachineDraining})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, Config{Zone: "a"}, testPlan(1, 1, testPolicy()))
			complete := h.plan
			address := complete.Services[0].Generations[0].Shards[0].Replicas[0].Address
			leave(h, address)
			h.plan = &plan.Plan{}
			h.install()
			h.plan = complete
			h.install()
			h.reportVersions(1)
			require.Empty(t, commandsOf[Send](h.arrive()))
		})
	}
}

func TestAReportAboutAnUnconfiguredServerIsKept(t *testing.T) {
	h := newHarness(t, Config{Zone: "a"}, &plan.Plan{Services: []plan.Service{{Name: testService}}})
	complete := testPlan(1, 1, testPolicy())
	address := complete.Services[0].Generations[0].Shards[0].Replicas[0].Address
	h.step(MachineObserved{Address: address, State: MachineDraining})
	h.plan = complete
	h.install()
	h.reportVersions(1)
	require.Empty(t, commandsOf[Send](h.arrive()))

	h.after(time.Hour, MachineObserved{Address: address, State: MachineLive})
	h.step(LeaseRenewed{Until: h.now.Add(time.Hour)})
	require.NotEmpty(t, commandsOf[Send](h.arrive()))
}

func TestNothingIsSentOnAnExpiredHealthReport(t *testing.T) {
	tuning := Tuning{Balancer: balancer.Config{HealthLifetime: 2 * time.Second}}
	h := newHarness(t, Config{Zone: "a", Tuning: tuning}, testPlan(1, 1, testPolicy()))
	h.now = h.now.Add(3 * time.Second) // the process was suspended
	require.Empty(t, commandsOf[Send](h.arrive()))
	address := h.plan.Services[0].Generations[0].Shards[0].Replicas[0].Address
	require.Len(t, commandsOf[Send](h.report(address, backendapi.StateReady, 1, 0, 1)), 1)
	require.Len(t, commandsOf[Send](h.arrive()), 1)
}
