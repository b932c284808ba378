package registry_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/registry"
)

func startKnownSince(born int64, since uint64) registry.Instance {
	return registry.Instance{ID: registry.LifeID("i", born), Born: born, Since: since}
}

func TestNameDepartureHoldsForStartsHeardOfBefore(t *testing.T) {
	departures := registry.NewDepartures(10)
	departures.AddName(registry.NameDeparture{Name: "i", Before: 60})
	require.True(t, departures.Hold(startKnownSince(5, 60)), "the start in use")
	require.True(t, departures.Hold(startKnownSince(0, 12)), "a server that names no start")
	require.False(t, departures.Hold(startKnownSince(4, 61)), "a later start, whose clock was set back")
	require.False(t, departures.Hold(registry.Instance{ID: "other"}))
	departures.AddName(registry.NameDeparture{Name: "i", Before: 40})
	require.True(t, departures.Hold(startKnownSince(5, 60)), "an earlier departure takes nothing back")
}

func TestDeparturesKeepTheLatest(t *testing.T) {
	departures := registry.NewDepartures(3)
	for number := range 5 {
		require.Equal(t, number >= 3, departures.Add("i"+strconv.Itoa(number)))
		departures.AddName(registry.NameDeparture{Name: "n" + strconv.Itoa(number%4), Before: uint64(number + 1)})
	}
	require.Equal(t, []string{"i2", "i3", "i4"}, departures.IDs())
	require.False(t, departures.Has("i1"))
	require.Equal(t, []registry.NameDeparture{{Name: "n3", Before: 4}, {Name: "n0", Before: 5}}, departures.NamesAfter(3))
	require.True(t, departures.Hold(registry.Instance{ID: "n0#7", Since: 4}), "the later departure of a name that was forgotten once")
}

// TestDepartureOfAStartLeavesAnEarlierOneInUse guards against routers and nodes that go on with a start
// which they alone know of, once a later one of the same server has left by its id.
func TestDepartureOfAStartLeavesAnEarlierOneInUse(t *testing.T) {
	departures := registry.NewDepartures(10)
	departures.AddName(registry.NameDeparture{Name: "i", Before: 60, Born: 20})
	require.True(t, departures.Hold(startKnownSince(20, 60)), "the start that left")
	require.True(t, departures.Hold(startKnownSince(10, 12)), "an earlier one")
	require.True(t, departures.Hold(startKnownSince(0, 12)), "one that names no time")
	require.False(t, departures.Hold(startKnownSince(30, 60)), "a later one: the departure came late")
	require.False(t, departures.Hold(startKnownSince(10, 61)), "one heard of after it, whose clock was set back")
	departures.AddName(registry.NameDeparture{Name: "i", Before: 65, Born: 20})
	require.False(t, departures.Hold(startKnownSince(10, 61)), "the departure that was told again")
	departures.AddName(registry.NameDeparture{Name: "i", Before: 70, Born: 10})
	require.True(t, departures.Hold(startKnownSince(20, 60)), "a later departure of an earlier start takes nothing back")
	require.True(t, departures.Hold(startKnownSince(10, 65)))
	departures.AddName(registry.NameDeparture{Name: "i", Before: 80})
	require.True(t, departures.Hold(startKnownSince(30, 60)))
	require.Len(t, departures.NamesAfter(0), 3)
}

// TestTableOfAnotherNodeBringsAnEarlierStartBack guards against a node that takes an earlier start, with
// a clock that was set back after it, over from another node's table after it has applied the departure.
func TestTableOfAnotherNodeBringsAnEarlierStartBack(t *testing.T) {
	departures := registry.NewDepartures(10)
	departures.AddName(registry.NameDeparture{Name: "i", Before: 60, Born: 20})
	require.True(t, departures.Doubts(startKnownSince(90, 60)))
	require.False(t, departures.Doubts(startKnownSince(90, 61)), "it is heard of after the departure")
	require.False(t, departures.Doubts(startKnownSince(5, 60)), "it left")
	s := newSuccession()
	told := startKnownSince(90, 60)
	told.Address, told.State, told.Replaced = firstAddress, registry.Ready, true
	s.table.Report(s.now, told)
	require.Empty(t, s.inUse())
}
