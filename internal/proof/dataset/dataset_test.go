package dataset

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
)

// whole collects the items of all shards in shard order.
func whole(shards uint32, query Query) (items []json.RawMessage) {
	for shard := range shards {
		query.Shard, query.Shards = shard, shards
		items = append(items, Items(query)...)
	}
	return items
}

func TestShardMapsSplitTheSameItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		query := Query{Service: "desk", Version: rapid.Uint64().Draw(t, "version"),
			RequestDigest: backendapi.Digest(rapid.SliceOf(rapid.Byte()).Draw(t, "body"))}
		shards := rapid.Uint32Range(1, 300).Draw(t, "shards")
		items := whole(shards, query)
		require.Len(t, items, TotalItems)
		require.Equal(t, whole(1, query), items)
		next := query
		next.Version++
		for index, item := range whole(shards, next) {
			require.NotEqual(t, items[index], item, "no item of a version is in another")
		}
	})
}

func TestItemsCarryWhatAMergeNeeds(t *testing.T) {
	query := Query{Service: "desk", Shard: 3, Shards: 8, Version: 7, RequestDigest: "ab"}
	digests := Digests(query)
	for index, item := range Items(query) {
		var fields struct {
			Rank    *float64 `json:"rank"`
			Version uint64   `json:"version"`
			Request string   `json:"request"`
		}
		require.NoError(t, json.Unmarshal(item, &fields))
		require.NotNil(t, fields.Rank)
		require.EqualValues(t, 7, fields.Version)
		require.Equal(t, "ab", fields.Request)
		require.Equal(t, backendapi.Digest(item), digests[index])
	}
	require.Empty(t, Items(Query{Service: "desk", Shard: 8, Shards: 8}), "no such shard")
}

// TestItemsHaveTheFieldsThatDeploymentsSortBy keeps a merge from sorting by a
// field that no item has, which would hide a wrong order from the judge.
func TestItemsHaveTheFieldsThatDeploymentsSortBy(t *testing.T) {
	for _, name := range []string{"bangkok", "norte-grande"} {
		path := "../../../deploy/" + name + "/" + name + ".policy"
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		compiled, err := policy.Compile(path, text)
		require.NoError(t, err)
		for _, route := range compiled.Routes {
			if route.Policy.Merge.Kind == plan.MergeTop {
				require.Contains(t, SortFields, route.Policy.Merge.Field, "route %s", route.Name)
			}
		}
	}
}

func TestPartIsItemsWithTheirDigests(t *testing.T) {
	for _, shard := range []uint32{0, 3, 7} {
		query := Query{Service: "seats", Shard: shard, Shards: 8, Version: 5, RequestDigest: "feed"}
		items, digests := Part(query)
		require.Equal(t, Items(query), items)
		require.Equal(t, Digests(query), digests)
	}
}
