package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/registry"
)

// statesIn returns the state of each instance in a table.
func statesIn(table *registry.Table, now time.Time) map[string]registry.State {
	states := map[string]registry.State{}
	for _, instance := range table.ChangedSince(now, 0) {
		states[instance.ID] = instance.State
	}
	return states
}

// TestLateHeartbeatsOfAnEarlierStartChangeNothing restarts a server under its name. Heartbeats
// of the earlier incarnation, however many, must not take the address back.
func TestLateHeartbeatsOfAnEarlierStartChangeNothing(t *testing.T) {
	now := time.Unix(100, 0)
	for name, knownBefore := range map[string]bool{"the earlier incarnation is known": true, "the earlier incarnation is unknown": false} {
		table := registry.New(5*time.Second, time.Minute)
		incarnation := func(startedAt int64, sequence uint64) registry.Instance {
			return registry.Instance{
				ID: registry.IncarnationID("i", startedAt), StartedAt: startedAt, Service: "s", Address: "10.0.0.1:1", Slots: 2, State: registry.Ready, Sequence: sequence,
			}
		}
		if knownBefore {
			require.True(t, table.Report(now, incarnation(1, 50)))
		}
		require.True(t, table.Report(now, incarnation(2, 1)), name)
		for sequence := uint64(51); sequence < 60; sequence++ {
			table.Report(now, incarnation(1, sequence))
			table.Refresh(now, registry.IncarnationID("i", 1), sequence+100)
		}
		require.Equal(t, map[string]registry.State{"i#1": registry.Missing, "i#2": registry.Ready}, statesIn(table, now), name)
		require.Equal(t, []string{"i#1", "i#2"}, table.Incarnations("i"))
		require.Empty(t, table.Incarnations("other"))
	}
}

// TestDepartedIncarnationDoesNotAffectTheNext has an incarnation leave and its server restart
// under the same name.
func TestDepartedIncarnationDoesNotAffectTheNext(t *testing.T) {
	now := time.Unix(100, 0)
	table := registry.New(5*time.Second, time.Minute)
	first := registry.Instance{ID: registry.IncarnationID("i", 1), StartedAt: 1, Service: "s", Address: "10.0.0.1:1", Slots: 2, State: registry.Leaving, Sequence: 9}
	table.Report(now, first)
	next := first
	next.ID, next.StartedAt, next.State, next.Sequence = registry.IncarnationID("i", 2), 2, registry.Ready, 1
	table.Report(now, next)
	require.Equal(t, map[string]registry.State{"i#1": registry.Leaving, "i#2": registry.Ready}, statesIn(table, now))
	require.Equal(t, "i", registry.NameOf(next.ID))
	require.Equal(t, "i", registry.NameOf(registry.IncarnationID("i", 0)), "without a start time the ID is the name")
}

// TestIncarnationAfterClockWasSetBackIsServed guards against treating a restarted server as
// the sender of late heartbeats because its machine's clock was set back and its start time is
// earlier.
func TestIncarnationAfterClockWasSetBackIsServed(t *testing.T) {
	const missingAfter = 5 * time.Second
	incarnation := func(startedAt int64, sequence uint64, state registry.State) registry.Instance {
		return registry.Instance{ID: registry.IncarnationID("i", startedAt), StartedAt: startedAt, Service: "s", Address: "10.0.0.1:1", Slots: 2, State: state, Sequence: sequence}
	}
	for name, before := range map[string]registry.State{"crashed": registry.Ready, "left": registry.Leaving} {
		now := time.Unix(100, 0)
		table := registry.New(missingAfter, time.Minute)
		table.Report(now, incarnation(500, 7, before))
		now = now.Add(missingAfter + time.Second)
		table.Expire(now)
		for sequence := range uint64(4) {
			table.Report(now, incarnation(400, sequence, registry.Ready))
			if before == registry.Leaving {
				table.Report(now, incarnation(500, 8+sequence, registry.Ready))
			}
			now = now.Add(time.Second)
		}
		require.Equal(t, registry.Ready, statesIn(table, now)["i#400"], name)
	}
}

// TestDepartureVisitsOneServerOnly guards against departures whose cost grows with the table:
// a departure visits the incarnations of one server, and expired ones are removed.
func TestDepartureVisitsOneServerOnly(t *testing.T) {
	const forgetAfter = time.Minute
	now := time.Unix(100, 0)
	table := registry.New(5*time.Second, forgetAfter)
	require.True(t, table.StableNames(), "no instance is known")
	require.True(t, table.Report(now, registry.Instance{ID: "bare", Address: "10.0.0.1:1", State: registry.Ready}))
	require.False(t, table.StableNames())
	for startedAt := range int64(3) {
		table.Report(now, registry.Instance{ID: registry.IncarnationID("i", startedAt+1), StartedAt: startedAt + 1, Address: "10.0.0.1:2", State: registry.Ready, KnownSinceIndex: uint64(startedAt) + 1})
	}
	require.Equal(t, []string{"i#1", "i#2", "i#3"}, table.Incarnations("i"))
	require.Equal(t, []string{"bare"}, table.Incarnations("bare"))
	require.True(t, table.StableNames())
	table.MarkNameLeaving(registry.NameDeparture{Name: "i", LogIndex: 2})
	require.Equal(t, map[string]registry.State{"bare": registry.Ready, "i#1": registry.Leaving, "i#2": registry.Leaving, "i#3": registry.Ready}, statesIn(table, now))
	require.True(t, table.MayDepart(now, "i"))
	table.Expire(now.Add(2 * forgetAfter))
	require.Empty(t, table.Incarnations("i"))
	require.False(t, table.MayDepart(now, "i"))
}
