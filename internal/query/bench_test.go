package query

import (
	"testing"
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/plan"
)

const benchShards = 270

// BenchmarkEngineQuery270 measures complete requests to 270 shards of two replicas:
// arrival, choice of replicas, replies and answer. Events are created in advance
// where possible; the allocation of a reply's interface value is part of the shell's
// cost.
func BenchmarkEngineQuery270(b *testing.B) {
	policy := testPolicy()
	policy.Merge = plan.Merge{Kind: plan.MergeConcat}
	policy.Statements[0].Condition = plan.Condition{Kind: plan.ConditionCoverage, Ratio: 1}
	h := newHarness(b, Config{Zone: "a"}, testPlan(benchShards, 2, policy))
	request := h.request(0)
	replies := make([]PartArrived, 0, benchShards)
	items := part(Send{}).Part
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		request.ID++
		replies = replies[:0]
		for _, command := range h.engine.Step(h.now, RequestArrived{Request: request}) {
			if send, ok := command.(Send); ok {
				replies = append(replies, PartArrived{
					Attempt: send.Attempt, Part: items,
					Echo: Echo{
						Request: send.CallerID, Shard: send.Shard, Generation: send.Generation,
						Version: send.Version, RequestDigest: request.BodyDigest,
					},
					Report: Report{Known: true, Load: backendapi.Load{InFlight: 1, Slots: 2}},
				})
			}
		}
		if len(replies) != benchShards {
			b.Fatalf("%d attempts", len(replies))
		}
		for index := range replies {
			h.now = h.now.Add(5 * time.Microsecond)
			h.engine.Step(h.now, replies[index])
		}
	}
	b.StopTimer()
	attempts := float64(b.N) * benchShards
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/attempts, "ns/attempt")
}
