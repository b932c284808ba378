package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/routing"
)

func testDocument() *routing.Document {
	return &routing.Document{
		Version:  3,
		Services: []routing.Service{{Name: "a"}, {Name: "b"}},
		Routes: []routing.Route{
			{Name: "short", Host: "Site.Example", Prefix: "/x/", Timeout: time.Second, Targets: []routing.Target{{Service: "a", Weight: 1}}},
			{Name: "long", Host: "site.example", Prefix: "/x/y/", Timeout: time.Second, Shards: []string{"a", "b"}},
		},
	}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := routing.NewTable(testDocument(), routing.KeySeed{})
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y": "short"} {
		require.Equal(t, want, table.Find("SITE.example:80", path).Name, path)
	}
	require.Nil(t, table.Find("site.example", "/other"))
	require.Nil(t, table.Find("other.example", "/x/1"))
}

func TestCheckRefusesEachInvalidDocument(t *testing.T) {
	require.NoError(t, testDocument().Check())
	for name, spoil := range map[string]func(*routing.Document){
		"no version":      func(d *routing.Document) { d.Version = 0 },
		"unknown service": func(d *routing.Document) { d.Routes[0].Targets[0].Service = "z" },
		"unknown shard":   func(d *routing.Document) { d.Routes[1].Shards[1] = "z" },
		"shard twice":     func(d *routing.Document) { d.Routes[1].Shards[1] = "a" },
		"same place":      func(d *routing.Document) { d.Routes[1].Prefix = "/x/" },
		"no weight":       func(d *routing.Document) { d.Routes[0].Targets[0].Weight = 0 },
		"negative weight": func(d *routing.Document) { d.Routes[0].Targets[0].Weight = -1 },
		"no timeout":      func(d *routing.Document) { d.Routes[0].Timeout = 0 },
		"no target":       func(d *routing.Document) { d.Routes[0].Targets = nil },
		"service twice":   func(d *routing.Document) { d.Services[1].Name = "a" },
	} {
		spoiled := testDocument()
		spoil(spoiled)
		var invalid *routing.InvalidError
		require.ErrorAs(t, spoiled.Check(), &invalid, name)
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	route := routing.Route{Targets: []routing.Target{{Service: "a", Weight: 3}, {Service: "none", Weight: 0}, {Service: "b", Weight: 1}}}
	counts := map[string]int{}
	for number := range 8000 {
		counts[route.ServiceOf(fmt.Sprint("request-", number))]++
	}
	require.Zero(t, counts["none"])
	require.InDelta(t, 0.75, float64(counts["a"])/8000, 0.03)
}

func TestEqualListsOfShardsAreKeptOnce(t *testing.T) {
	large := testDocument()
	large.Routes = append(large.Routes,
		routing.Route{Name: "same", Host: "h", Prefix: "/1/", Shards: []string{"a", "b"}},
		routing.Route{Name: "other", Host: "h", Prefix: "/2/", Shards: []string{"b", "a"}},
	)
	table := routing.NewTable(large, routing.KeySeed{})
	require.Equal(t, [][]string{{"a", "b"}, {"b", "a"}}, table.ShardLists())
	require.Same(t, &table.Find("site.example", "/x/y/1").Shards[0], &table.Find("h", "/1/").Shards[0])
}
