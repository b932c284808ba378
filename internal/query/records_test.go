package query

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/plan"
)

// TestShortAnswersAreJournaledByShardAndCounted answers without a shard again
// and again: the first event comes at once, and the rest are in one more, which
// an engine that stops writes before it says that it has stopped.
func TestShortAnswersAreJournaledByShardAndCounted(t *testing.T) {
	policy := testPolicy()
	policy.Hedge, policy.Retry = plan.Hedge{}, plan.Retry{}
	policy.Statements = append([]plan.Statement{{
		Condition: plan.Condition{Kind: plan.ConditionCoverage, Ratio: 1}, Action: plan.ActionAnswer,
	}}, policy.Statements...)
	h := newHarness(t, Config{Zone: "a"}, testPlan(3, 2, policy))
	var events []journal.Event
	keep := func(commands []Command) []Command {
		for _, command := range commands {
			if record, ok := command.(Record); ok && record.Event.Kind == journal.KindCoverageBelowPolicy {
				events = append(events, record.Event)
			}
		}
		return commands
	}
	const requests = 4
	for range requests {
		sends := only[Send](h.arrive())
		h.after(time.Millisecond, part(sends[0]))
		h.after(time.Millisecond, part(sends[1]))
		keep(h.after(148*time.Millisecond, TimerFired{}))
	}
	require.Len(t, events, 1)
	commands := keep(h.step(StopRequested{}))
	require.IsType(t, Stopped{}, commands[len(commands)-1])
	require.Equal(t, []uint64{1, requests - 1}, lo.Map(events, func(event journal.Event, _ int) uint64 { return event.Count }))
	for _, event := range events {
		require.Equal(t, "s2", event.Shard)
		require.Equal(t, testRoute+": partial answer", event.Detail)
	}
}
