package slicing_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/slicing"
)

// TestKeptSlicesAreThoseOfAnEqualList guards against slices that are kept from one request to the
// next and differ from those that are computed anew: a list of the same shards at another place in
// memory is always divided anew.
func TestKeptSlicesAreThoseOfAnEqualList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c"}
		var routers []slicing.Router
		for number := range rapid.IntRange(1, 30).Draw(t, "routers") {
			routers = append(routers, slicing.Router{
				Name: fmt.Sprint("router", number), Zone: rapid.SampledFrom(zones).Draw(t, "zone"), Unavailable: rapid.IntRange(0, 4).Draw(t, "state") == 0,
			})
		}
		shards, places := namedShards(rapid.IntRange(1, 60).Draw(t, "shards")), map[string][]string{}
		for _, shard := range shards {
			places[shard] = rapid.SliceOfNDistinct(rapid.SampledFrom(zones), 0, 3, rapid.ID[string]).Draw(t, "places")
		}
		layout := slicing.NewLayout(routers[0], shards, slicing.Inputs{
			Zones: func(shard string) []string { return places[shard] }, Routers: routers, Calls: rapid.SampledFrom([]float64{0, 1, 1e6}).Draw(t, "calls"),
		})
		for _, request := range []string{"r-1", "r-2", "r-1"} {
			require.Equal(t, layout.Assign(request, slices.Clone(shards)), layout.Assign(request, shards))
		}
	})
}
