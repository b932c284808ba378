package query

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/plan"
)

// Guards against one journal event per incomplete answer. A shard is missing from
// several answers: the first event is written at once, and the others are aggregated
// into one more, which a stopping engine writes before it reports that it has
// stopped.
func TestIncompleteAnswersAreJournaledByShardAndCounted(t *testing.T) {
	policy := testPolicy()
	policy.Hedge, policy.Retry = plan.Hedge{}, plan.Retry{}
	policy.Statements = append([]plan.Statement{{
		Condition: plan.Condition{Kind: plan.ConditionCoverage, Ratio: 1}, Action: plan.ActionAnswer,
	}}, policy.Statements...)
	h := newHarness(t, Config{Zone: "a"}, testPlan(3, 2, policy))
	var events []journal.Event
	collect := func(commands []Command) []Command {
		for _, command := range commands {
			if record, ok := command.(Record); ok && record.Event.Kind == journal.KindCoverageBelowPolicy {
				events = append(events, record.Event)
			}
		}
		return commands
	}
	const requests = 4
	for range requests {
		sends := commandsOf[Send](h.arrive())
		h.after(time.Millisecond, part(sends[0]))
		h.after(time.Millisecond, part(sends[1]))
		collect(h.after(148*time.Millisecond, TimerFired{}))
	}
	require.Len(t, events, 1)
	commands := collect(h.step(StopRequested{}))
	require.IsType(t, Stopped{}, commands[len(commands)-1])
	require.Equal(t, []uint64{1, requests - 1}, lo.Map(events, func(event journal.Event, _ int) uint64 { return event.Count }))
	for _, event := range events {
		require.Equal(t, "s2", event.Shard)
		require.Equal(t, testRoute+": partial answer", event.Detail)
	}
}
