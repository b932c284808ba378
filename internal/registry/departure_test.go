package registry_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/registry"
)

func knownIncarnation(startedAt int64, since uint64) registry.Instance {
	return registry.Instance{ID: registry.IncarnationID("i", startedAt), StartedAt: startedAt, KnownSinceIndex: since}
}

func TestNameDepartureAppliesToEarlierIncarnations(t *testing.T) {
	departures := registry.NewDepartures(10)
	departures.AddName(registry.NameDeparture{Name: "i", LogIndex: 60})
	require.True(t, departures.Includes(knownIncarnation(5, 60)), "the active incarnation")
	require.True(t, departures.Includes(knownIncarnation(0, 12)), "an incarnation without a start time")
	require.False(t, departures.Includes(knownIncarnation(4, 61)), "a later incarnation, whose clock was set back")
	require.False(t, departures.Includes(registry.Instance{ID: "other"}))
	departures.AddName(registry.NameDeparture{Name: "i", LogIndex: 40})
	require.True(t, departures.Includes(knownIncarnation(5, 60)), "an earlier departure revokes nothing")
}

func TestDeparturesKeepTheLatest(t *testing.T) {
	departures := registry.NewDepartures(3)
	for number := range 5 {
		require.Equal(t, number >= 3, departures.Add("i"+strconv.Itoa(number)))
		departures.AddName(registry.NameDeparture{Name: "n" + strconv.Itoa(number%4), LogIndex: uint64(number + 1)})
	}
	require.Equal(t, []string{"i2", "i3", "i4"}, departures.IDs())
	require.False(t, departures.Has("i1"))
	require.Equal(t, []registry.NameDeparture{{Name: "n3", LogIndex: 4}, {Name: "n0", LogIndex: 5}}, departures.NamesAfter(3))
	require.True(t, departures.Includes(registry.Instance{ID: "n0#7", KnownSinceIndex: 4}), "the later departure of a name that was evicted once")
}

// TestDepartureOfAnIncarnationCoversEarlierOnes guards against routers and nodes that keep
// using an incarnation known only to them after a later one of the same server has left by its
// ID.
func TestDepartureOfAnIncarnationCoversEarlierOnes(t *testing.T) {
	departures := registry.NewDepartures(10)
	departures.AddName(registry.NameDeparture{Name: "i", LogIndex: 60, StartedAt: 20})
	require.True(t, departures.Includes(knownIncarnation(20, 60)), "the incarnation that left")
	require.True(t, departures.Includes(knownIncarnation(10, 12)), "an earlier one")
	require.True(t, departures.Includes(knownIncarnation(0, 12)), "one without a start time")
	require.False(t, departures.Includes(knownIncarnation(30, 60)), "a later one: the departure arrived late")
	require.False(t, departures.Includes(knownIncarnation(10, 61)), "one first known after it, whose clock was set back")
	departures.AddName(registry.NameDeparture{Name: "i", LogIndex: 65, StartedAt: 20})
	require.False(t, departures.Includes(knownIncarnation(10, 61)), "the departure was reported again")
	departures.AddName(registry.NameDeparture{Name: "i", LogIndex: 70, StartedAt: 10})
	require.True(t, departures.Includes(knownIncarnation(20, 60)), "a later departure of an earlier incarnation revokes nothing")
	require.True(t, departures.Includes(knownIncarnation(10, 65)))
	departures.AddName(registry.NameDeparture{Name: "i", LogIndex: 80})
	require.True(t, departures.Includes(knownIncarnation(30, 60)))
	require.Len(t, departures.NamesAfter(0), 3)
}

// TestTableOfAnotherNodeDoesNotBringBackAnEarlierIncarnation guards against a node that has
// applied a departure and then takes over an earlier incarnation from another node's table,
// where the clock was set back after that incarnation started.
func TestTableOfAnotherNodeDoesNotBringBackAnEarlierIncarnation(t *testing.T) {
	departures := registry.NewDepartures(10)
	departures.AddName(registry.NameDeparture{Name: "i", LogIndex: 60, StartedAt: 20})
	require.True(t, departures.Suspects(knownIncarnation(90, 60)))
	require.False(t, departures.Suspects(knownIncarnation(90, 61)), "it was first known after the departure")
	require.False(t, departures.Suspects(knownIncarnation(5, 60)), "the departure applies to it")
	s := newHarness()
	reported := knownIncarnation(90, 60)
	reported.Address, reported.State, reported.Replaced = firstAddress, registry.Ready, true
	s.table.Report(s.now, reported)
	require.Empty(t, s.active())
}
