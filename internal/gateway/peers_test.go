package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/slicing"
)

// knownPeers returns peers with two routers in the zone of a shard's only server.
func knownPeers() *peers {
	known := newPeers(slicing.Router{Name: "self", Zone: "a"})
	known.setRouters([]directory.ListedRouter{{Name: "r1", Zone: "b", Address: "x"}, {Name: "r2", Zone: "b", Address: "y"}})
	known.setServers([]registry.Instance{{ID: "i", Service: "s", Zone: "b", State: registry.Ready}}, nil)
	return known
}

func TestSuspectedRouterIsSkippedUntilTheSuspicionEnds(t *testing.T) {
	known, shards := knownPeers(), []string{"s"}
	first := known.layout(shards).Assign("request", shards)[0].Router.Name
	require.True(t, known.suspect(first))
	require.False(t, known.suspect(first), "a suspicion in effect is reported as new")
	require.NotEqual(t, first, known.layout(shards).Assign("request", shards)[0].Router.Name)
	past := time.Now().Add(-time.Millisecond)
	known.suspected[first], known.layoutsUntil = past, past
	require.Equal(t, first, known.layout(shards).Assign("request", shards)[0].Router.Name)
}

// TestGathererCountScalesToUnlistedRouters guards against a router that takes too large a
// share while only few routers are listed, as after a restart of all.
func TestGathererCountScalesToUnlistedRouters(t *testing.T) {
	known, lists := knownPeers(), [][]string{{"s"}}
	counted, changed := known.countGatherers(lists, 2)
	require.True(t, changed)
	require.Equal(t, map[string]scatter.Gatherers{"s": {Count: 2}}, counted)
	_, changed = known.countGatherers(lists, 2)
	require.False(t, changed)
	known.invalidateCount()
	counted, _ = known.countGatherers(lists, 7)
	require.Equal(t, map[string]scatter.Gatherers{"s": {Count: 7}}, counted)
}

func TestSampleIsDrawnFromAllZones(t *testing.T) {
	p := newPeers(slicing.Router{Name: "a0", Zone: "a"})
	var listed []directory.ListedRouter
	for zone, count := range map[string]int{"a": 5, "b": 40, "c": 2, "d": 40} {
		for number := range count {
			listed = append(listed, directory.ListedRouter{Name: zone + strconv.Itoa(number), Zone: zone, Address: zone})
		}
	}
	p.setRouters(listed)
	for range 50 {
		own, others := p.sample(2, 8)
		require.Len(t, own, 2)
		require.Len(t, others, 8)
		zones := map[string]int{}
		for _, router := range append(own, others...) {
			require.NotEqual(t, "a0", router.Name)
			zones[router.Zone]++
		}
		require.Equal(t, map[string]int{"a": 2, "b": 3, "c": 2, "d": 3}, zones)
	}
}
