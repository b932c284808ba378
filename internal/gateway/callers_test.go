package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/scatter"
)

func TestServicesCountAsCalledForAWhile(t *testing.T) {
	var called calledServices
	start := time.Unix(1000, 0)
	require.Empty(t, called.lately(start))
	called.add(start, "b")
	called.add(start.Add(callerTime), "a")
	require.Equal(t, []string{"a", "b"}, called.lately(start.Add(callerTime)))
	require.Equal(t, []string{"a"}, called.lately(start.Add(callerTime+time.Second)))
}

// TestCallersOfAServiceShareWhatItAllows divides what a service allows among the routers
// that call it, not among all, and never among fewer than a part of all.
func TestCallersOfAServiceShareWhatItAllows(t *testing.T) {
	known := knownPeers()
	known.setCallers(map[string]int{"docs": 60, "few": 3}, []string{"docs"}, 300)
	counted, changed := known.countGatherers([][]string{{"s"}}, 300)
	require.True(t, changed)
	require.Equal(t, scatter.Gatherers{Count: 75, Self: true}, counted["docs"])
	require.Equal(t, scatter.Gatherers{Count: 75}, counted["few"])
	require.Contains(t, counted, "s")
	known.setCallers(map[string]int{"docs": 61, "few": 3}, []string{"docs"}, 300)
	_, changed = known.countGatherers([][]string{{"s"}}, 300)
	require.False(t, changed, "the count is the same as before")
	known.setCallers(map[string]int{"docs": 200}, nil, 300)
	counted, changed = known.countGatherers([][]string{{"s"}}, 300)
	require.True(t, changed)
	require.Equal(t, scatter.Gatherers{Count: 200}, counted["docs"])
}
