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
	for _, instance := range table.Since(now, 0) {
		states[instance.ID] = instance.State
	}
	return states
}

// TestLateHeartbeatsOfAnEarlierStartChangeNothing has a server start again under its name:
// whatever comes of the start before, however often, takes the address back from nobody.
func TestLateHeartbeatsOfAnEarlierStartChangeNothing(t *testing.T) {
	now := time.Unix(100, 0)
	for name, knownBefore := range map[string]bool{"the earlier start is known": true, "it is not": false} {
		table := registry.New(5*time.Second, time.Minute)
		life := func(born int64, sequence uint64) registry.Instance {
			return registry.Instance{
				ID: registry.LifeID("i", born), Born: born, Service: "s", Address: "10.0.0.1:1", Slots: 2, State: registry.Ready, Sequence: sequence,
			}
		}
		if knownBefore {
			require.True(t, table.Report(now, life(1, 50)))
		}
		require.True(t, table.Report(now, life(2, 1)), name)
		for sequence := uint64(51); sequence < 60; sequence++ {
			table.Report(now, life(1, sequence))
			table.Refresh(now, registry.LifeID("i", 1), sequence+100)
		}
		require.Equal(t, map[string]registry.State{"i#1": registry.Missing, "i#2": registry.Ready}, statesIn(table, now), name)
		require.Equal(t, []string{"i#1", "i#2"}, table.Starts("i"))
		require.Empty(t, table.Starts("other"))
	}
}

// TestAStartThatLeftLeavesTheNextAlone has a start leave and its server come back under the
// same name.
func TestAStartThatLeftLeavesTheNextAlone(t *testing.T) {
	now := time.Unix(100, 0)
	table := registry.New(5*time.Second, time.Minute)
	first := registry.Instance{ID: registry.LifeID("i", 1), Born: 1, Service: "s", Address: "10.0.0.1:1", Slots: 2, State: registry.Leaving, Sequence: 9}
	table.Report(now, first)
	next := first
	next.ID, next.Born, next.State, next.Sequence = registry.LifeID("i", 2), 2, registry.Ready, 1
	table.Report(now, next)
	require.Equal(t, map[string]registry.State{"i#1": registry.Leaving, "i#2": registry.Ready}, statesIn(table, now))
	require.Equal(t, "i", registry.NameOf(next.ID))
	require.Equal(t, "i", registry.NameOf(registry.LifeID("i", 0)), "a start of an unknown time has the name")
}

// TestStartAfterAClockWasSetBackIsNeverServed guards against a server that starts again with an
// earlier time of start, since its machine's clock was set back, and counts as a late heartbeat.
func TestStartAfterAClockWasSetBackIsNeverServed(t *testing.T) {
	const missingAfter = 5 * time.Second
	life := func(born int64, sequence uint64, state registry.State) registry.Instance {
		return registry.Instance{ID: registry.LifeID("i", born), Born: born, Service: "s", Address: "10.0.0.1:1", Slots: 2, State: state, Sequence: sequence}
	}
	for name, before := range map[string]registry.State{"crashed": registry.Ready, "left": registry.Leaving} {
		now := time.Unix(100, 0)
		table := registry.New(missingAfter, time.Minute)
		table.Report(now, life(500, 7, before))
		now = now.Add(missingAfter + time.Second)
		table.Expire(now)
		for sequence := range uint64(4) {
			table.Report(now, life(400, sequence, registry.Ready))
			if before == registry.Leaving {
				table.Report(now, life(500, 8+sequence, registry.Ready))
			}
			now = now.Add(time.Second)
		}
		require.Equal(t, registry.Ready, statesIn(table, now)["i#400"], name)
	}
}

// TestDepartureLooksAtAllServers guards against work for a departure that grows with the table: it
// looks at the starts of one server, of which none is left once they are forgotten.
func TestDepartureLooksAtAllServers(t *testing.T) {
	const forgetAfter = time.Minute
	now := time.Unix(100, 0)
	table := registry.New(5*time.Second, forgetAfter)
	require.True(t, table.KeepNames(), "nothing is known")
	require.True(t, table.Report(now, registry.Instance{ID: "bare", Address: "10.0.0.1:1", State: registry.Ready}))
	require.False(t, table.KeepNames())
	for born := range int64(3) {
		table.Report(now, registry.Instance{ID: registry.LifeID("i", born+1), Born: born + 1, Address: "10.0.0.1:2", State: registry.Ready, Since: uint64(born) + 1})
	}
	require.Equal(t, []string{"i#1", "i#2", "i#3"}, table.Starts("i"))
	require.Equal(t, []string{"bare"}, table.Starts("bare"))
	require.True(t, table.KeepNames())
	table.LeaveName(registry.NameDeparture{Name: "i", Before: 2})
	require.Equal(t, map[string]registry.State{"bare": registry.Ready, "i#1": registry.Leaving, "i#2": registry.Leaving, "i#3": registry.Ready}, statesIn(table, now))
	require.True(t, table.Heard(now, "i"))
	table.Expire(now.Add(2 * forgetAfter))
	require.Empty(t, table.Starts("i"))
	require.False(t, table.Heard(now, "i"))
}
