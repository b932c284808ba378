package slicing

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Assign divides shards of the layout into slices. Those of an unknown place, and those for
// whose zones no router can be asked, stay with self. Equal layouts give equal
// slices; what the load goes by, over zones and over the routers of a cell, is the
// request's id, or, where routers seldom ask each other, the router that asks: its
// connections are to few others then, and are open when it needs them.
func (l *Layout) Assign(requestID string, shards []string) []Slice {
	key := requestID
	if l.sticky {
		key = l.self.Name
	}
	chosen := l.chooseZones(key, shards)
	var assigned []Slice
	for _, zone := range slices.Sorted(maps.Keys(chosen)) {
		if zone == "" {
			assigned = append(assigned, Slice{Shards: chosen[zone]})
			continue
		}
		assigned = append(assigned, l.zones[zone].shareOut(l.self, chosen[zone], key)...)
	}
	return mergeOwn(assigned)
}

// chooseZones gives each shard a zone that has both a server of it and a router:
// the router's own zone, or one of as few others as the shards need.
func (l *Layout) chooseZones(key string, shards []string) map[string][]string {
	chosen := map[string][]string{}
	var rest []string
	for _, shard := range shards {
		switch places := l.places[shard]; {
		case len(places) == 0:
			chosen[""] = append(chosen[""], shard)
		case slices.Contains(places, l.self.Zone):
			chosen[l.self.Zone] = append(chosen[l.self.Zone], shard)
		default:
			rest = append(rest, shard)
		}
	}
	for len(rest) > 0 {
		zone := l.pickZone(rest, key)
		var left []string
		for _, shard := range rest {
			if slices.Contains(l.places[shard], zone) {
				chosen[zone] = append(chosen[zone], shard)
			} else {
				left = append(left, shard)
			}
		}
		rest = left
	}
	return chosen
}

// pickZone returns the next zone to ask: over many keys each zone comes as
// often as it has shards, so that the load is even (weighted rendezvous hashing,
// Schindelhauer and Schomaker 2005).
func (l *Layout) pickZone(shards []string, key string) string {
	count := map[string]int{}
	for _, shard := range shards {
		for _, zone := range l.places[shard] {
			count[zone]++
		}
	}
	best, least := "", math.Inf(1)
	for _, zone := range slices.Sorted(maps.Keys(count)) {
		uniform := (float64(xxhash.Sum64String(key+"/"+zone)>>11) + 1) / (1 << 53)
		if cost := -math.Log(uniform) / float64(count[zone]); cost < least {
			best, least = zone, cost
		}
	}
	return best
}

// shareOut divides shards among the routers of the zone: each to a router that
// gathers for the cell that it belongs to, which is self where that is one of them.
func (z *zoneLayout) shareOut(self Router, shards []string, key string) []Slice {
	byCell := make([][]string, len(z.cells))
	for _, shard := range shards {
		cell := z.cellOf(shard)
		byCell[cell] = append(byCell[cell], shard)
	}
	var assigned []Slice
	for number, held := range byCell {
		if len(held) == 0 {
			continue
		}
		asked := z.cells[number].asked
		if containsRouter(asked, self) {
			assigned = append(assigned, Slice{Shards: held})
			continue
		}
		pick := xxhash.Sum64String(key+"/"+strconv.Itoa(number)) % uint64(len(asked))
		assigned = append(assigned, Slice{Router: asked[pick], Shards: held})
	}
	return assigned
}

func containsRouter(members []Router, wanted Router) bool {
	return slices.ContainsFunc(members, func(member Router) bool { return member.Name == wanted.Name })
}

// mergeOwn joins the slices that stay with the router that was asked.
func mergeOwn(assigned []Slice) []Slice {
	var own []string
	var others []Slice
	for _, slice := range assigned {
		if slice.Router.Name == "" {
			own = append(own, slice.Shards...)
			continue
		}
		others = append(others, slice)
	}
	if len(own) == 0 {
		return others
	}
	return append([]Slice{{Shards: own}}, others...)
}
