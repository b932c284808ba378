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
