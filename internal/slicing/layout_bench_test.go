package slicing_test

import (
	"fmt"
	"testing"

	"github.com/martenstage/martenstage/internal/slicing"
)

// BenchmarkNewLayout computes the gatherers of 180 shards, each with servers in three of six
// zones, among 295 routers. Each router does so whenever routers, servers or the call rate
// change.
func BenchmarkNewLayout(b *testing.B) {
	self, shards, site := measuredLayout()
	b.ReportAllocs()
	for b.Loop() {
		slicing.NewLayout(self, shards, site).Gatherers()
	}
}

// BenchmarkAssign divides a request over the shards of the same site, as for each request that
// gathers.
func BenchmarkAssign(b *testing.B) {
	self, shards, site := measuredLayout()
	layout := slicing.NewLayout(self, shards, site)
	b.ReportAllocs()
	for b.Loop() {
		layout.Assign("r-0123456789", shards)
	}
}

func measuredLayout() (slicing.Router, []string, slicing.Inputs) {
	zoneNames := []string{"a", "b", "c", "d", "e", "f"}
	var routers []slicing.Router
	for number := range 295 {
		routers = append(routers, slicing.Router{Name: fmt.Sprintf("front-%s-%d", zoneNames[number%6], number), Zone: zoneNames[number%6]})
	}
	shards := namedShards(180)
	places := map[string][]string{}
	for number, shard := range shards {
		places[shard] = []string{zoneNames[number%6], zoneNames[(number+1)%6], zoneNames[(number+2)%6]}
	}
	return routers[0], shards, slicing.Inputs{Zones: func(shard string) []string { return places[shard] }, Routers: routers, Calls: 8192}
}
