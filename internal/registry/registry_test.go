package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/registry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ready(id, address string, sequence uint64) registry.Instance {
	return registry.Instance{ID: id, Service: "s", Address: address, Slots: 2, State: registry.Ready, Sequence: sequence}
}

func stateOf(table *registry.Table, now time.Time, id string) registry.State {
	for _, instance := range table.ChangedSince(now, 0) {
		if instance.ID == id {
			return instance.State
		}
	}
	return ""
}

// TestReplacementsAreReported guards against a replacement that is missing in the log.
func TestReplacementsAreReported(t *testing.T) {
	now := time.Unix(100, 0)
	table := registry.New(5*time.Second, time.Minute)
	for startedAt := range int64(2) {
		table.Report(now, registry.Instance{ID: registry.IncarnationID("i", startedAt+1), StartedAt: startedAt + 1, Address: "10.0.0.1:1", State: registry.Ready})
	}
	require.Equal(t, []registry.Replacement{{ID: "i#1", By: "i#2", Address: "10.0.0.1:1"}}, table.TakeReplacements())
	require.Empty(t, table.TakeReplacements())
}

func TestLateHeartbeatDoesNotTakeLeavingBack(t *testing.T) {
	table := registry.New(5*time.Second, time.Minute)
	require.True(t, table.Report(start, ready("a", "10.0.0.1:1", 4)))
	leaving := ready("a", "10.0.0.1:1", 6)
	leaving.State = registry.Leaving
	require.True(t, table.Report(start, leaving))
	require.False(t, table.Report(start, ready("a", "10.0.0.1:1", 5)))
	require.False(t, table.Report(start, ready("a", "10.0.0.1:1", 7)))
	require.Equal(t, registry.Leaving, stateOf(table, start, "a"))
}

func TestAddressReuseRetiresTheFormerOwner(t *testing.T) {
	table := registry.New(5*time.Second, time.Minute)
	table.Report(start, ready("a", "10.0.0.1:1", 4))
	table.Report(start, ready("b", "10.0.0.1:1", 1))
	require.Equal(t, registry.Missing, stateOf(table, start, "a"))
	require.Equal(t, registry.Ready, stateOf(table, start, "b"))
}

func TestSilentInstanceBecomesMissingAndReturns(t *testing.T) {
	table := registry.New(5*time.Second, time.Minute)
	table.Report(start, ready("a", "10.0.0.1:1", 1))
	require.False(t, table.Expire(start.Add(4*time.Second)))
	require.True(t, table.Expire(start.Add(6*time.Second)))
	require.Equal(t, registry.Missing, stateOf(table, start, "a"))
	require.True(t, table.Report(start.Add(7*time.Second), ready("a", "10.0.0.1:1", 2)))
	require.Equal(t, registry.Ready, stateOf(table, start, "a"))
	table.Expire(start.Add(2 * time.Minute))
	require.Empty(t, table.ChangedSince(start, 0))
}

func TestRefreshKeepsAServerAndBringsAMissingOneBack(t *testing.T) {
	table := registry.New(5*time.Second, time.Minute)
	table.Report(start, ready("a", "10.0.0.1:1", 1))
	require.False(t, table.Refresh(start.Add(4*time.Second), "a", 2))
	require.False(t, table.Expire(start.Add(8*time.Second)))
	require.True(t, table.Expire(start.Add(10*time.Second)))
	require.False(t, table.Refresh(start.Add(10*time.Second), "a", 1), "a late heartbeat must not bring it back")
	require.True(t, table.Refresh(start.Add(10*time.Second), "a", 3))
	require.Equal(t, registry.Ready, stateOf(table, start, "a"))
	require.False(t, table.Refresh(start, "unknown", 1))
}

func TestTablesConvergeInAnyReportOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "count")
		var reports []registry.Instance
		for number := range count {
			report := ready("a", "10.0.0.1:1", uint64(number))
			if rapid.Bool().Draw(t, "leaving") {
				report.State = registry.Leaving
			}
			reports = append(reports, report)
		}
		inOrder, shuffled := registry.New(time.Minute, time.Hour), registry.New(time.Minute, time.Hour)
		for _, report := range reports {
			inOrder.Report(start, report)
		}
		// Entries that one node received are forwarded to others in any order, and each
		// repeats the newest one at the end.
		for _, report := range rapid.Permutation(reports).Draw(t, "order") {
			shuffled.Report(start, report)
		}
		for _, report := range inOrder.ChangedSince(start, 0) {
			shuffled.Report(start, report)
		}
		require.Equal(t, inOrder.ChangedSince(start, 0)[0].State, shuffled.ChangedSince(start, 0)[0].State)
	})
}

func TestServerThatTurnsColdIsReported(t *testing.T) {
	table := registry.New(4*time.Second, time.Minute)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	report := func(sequence uint64, left time.Duration) bool {
		now = now.Add(time.Second)
		return table.Report(now, registry.Instance{ID: "i", Service: "s", Address: "a", Slots: 2, State: registry.Ready, Sequence: sequence, WarmLeft: left})
	}
	require.True(t, report(1, 0))
	require.False(t, report(2, 0))
	require.True(t, report(3, 3*time.Second), "the server turned cold")
	require.False(t, report(4, 2*time.Second), "the end of the warm-up is known")
	require.Equal(t, 2*time.Second, table.ChangedSince(now, 0)[0].WarmLeft)
}

// TestHeartbeatThatComesLateDoesNotBringItsSenderBack delivers a heartbeat after another
// instance has registered at the same address.
func TestHeartbeatThatComesLateDoesNotBringItsSenderBack(t *testing.T) {
	table := registry.New(4*time.Second, time.Minute)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	beat := func(id string, sequence uint64) {
		now = now.Add(300 * time.Millisecond)
		table.Report(now, registry.Instance{ID: id, Service: "s-" + id, Address: "a", Slots: 2, State: registry.Ready, Sequence: sequence})
	}
	state := func(id string) registry.State {
		for _, known := range table.ChangedSince(now, 0) {
			if known.ID == id {
				return known.State
			}
		}
		return ""
	}
	beat("old", 7)
	beat("new", 1)
	require.Equal(t, registry.Missing, state("old"))
	beat("old", 8)
	require.Equal(t, registry.Missing, state("old"), "its heartbeat was late")
	require.Equal(t, registry.Ready, state("new"))
	beat("new", 2)
	table.Refresh(now, "old", 9)
	require.Equal(t, registry.Missing, state("old"))

	// A node that has just started receives the late heartbeat last. The other instance
	// continues to send and wins.
	beat("late", 30)
	require.Equal(t, registry.Missing, state("new"))
	beat("new", 3)
	beat("new", 4)
	require.Equal(t, registry.Ready, state("new"))
	require.Equal(t, registry.Missing, state("late"))
}
