package slicing

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Assign divides shards of the layout into slices. Shards without a known zone, and those
// whose zones have no available router, stay with self. Equal layouts give equal slices. The
// hash key that spreads load over zones and over the routers of a cell is the request ID;
// where routers seldom send slices to each other, it is the sending router's name, so that its
// connections go to few peers and are already open. The slices are not to be changed, since
// several calls may return the same.
func (l *Layout) Assign(requestID string, shards []string) []Slice {
	switch {
	case l.sticky && l.isWhole(shards):
		return l.stickySlices()
	case l.sticky:
		return l.assign(l.self.Name, shards)
	}
	return l.assign(requestID, shards)
}

// isWhole reports whether a list is that of all shards of the layout, by its place in memory.
func (l *Layout) isWhole(shards []string) bool {
	return len(shards) > 0 && len(shards) == len(l.shards) && &shards[0] == &l.shards[0]
}

// assign divides shards by a hash key.
func (l *Layout) assign(key string, shards []string) []Slice {
	chosen := l.chooseZones(key, shards)
	var assigned []Slice
	for _, zone := range slices.Sorted(maps.Keys(chosen)) {
		if zone == "" {
			assigned = append(assigned, Slice{Shards: chosen[zone]})
			continue
		}
		assigned = append(assigned, l.zones[zone].assignToCells(l.self, chosen[zone], key)...)
	}
	return mergeLocal(assigned)
}

// chooseZones gives each shard a zone that has both a server of it and an available router:
// the local zone, or one of as few other zones as the shards need.
func (l *Layout) chooseZones(key string, shards []string) map[string][]string {
	chosen := map[string][]string{}
	unassigned := make([]string, 0, len(shards))
	for _, shard := range shards {
		switch places := l.reachableZones[shard]; {
		case len(places) == 0:
			chosen[""] = append(chosen[""], shard)
		case slices.Contains(places, l.self.Zone):
			chosen[l.self.Zone] = append(chosen[l.self.Zone], shard)
		default:
			unassigned = append(unassigned, shard)
		}
	}
	for len(unassigned) > 0 {
		zone := l.pickZone(unassigned, key)
		picked, remaining := make([]string, 0, len(unassigned)), unassigned[:0]
		for _, shard := range unassigned {
			if slices.Contains(l.reachableZones[shard], zone) {
				picked = append(picked, shard)
			} else {
				remaining = append(remaining, shard)
			}
		}
		chosen[zone], unassigned = picked, remaining
	}
	return chosen
}

// pickZone returns the next zone to send to. Over many keys each zone is picked in proportion
// to its number of shards, so that the load is even (weighted rendezvous hashing,
// Schindelhauer and Schomaker 2005).
func (l *Layout) pickZone(shards []string, key string) string {
	count := map[string]int{}
	for _, shard := range shards {
		for _, zone := range l.reachableZones[shard] {
			count[zone]++
		}
	}
	best, lowestCost := "", math.Inf(1)
	for _, zone := range slices.Sorted(maps.Keys(count)) {
		uniform := (float64(xxhash.Sum64String(key+"/"+zone)>>11) + 1) / (1 << 53)
		if cost := -math.Log(uniform) / float64(count[zone]); cost < lowestCost {
			best, lowestCost = zone, cost
		}
	}
	return best
}

// assignToCells divides shards among the routers of the zone. Each shard goes to a router that
// gathers for the shard's cell, and to self if self is one of them.
func (z *zoneLayout) assignToCells(self Router, shards []string, key string) []Slice {
	var assigned []Slice
	for number, cellShards := range z.groupByCell(shards) {
		if len(cellShards) == 0 {
			continue
		}
		active := z.cells[number].active
		if containsRouter(active, self) {
			assigned = append(assigned, Slice{Shards: cellShards})
			continue
		}
		pick := xxhash.Sum64String(key+"/"+strconv.Itoa(number)) % uint64(len(active))
		assigned = append(assigned, Slice{Router: active[pick], Shards: cellShards})
	}
	return assigned
}

// groupByCell returns the shards of each cell. The lists share one block of memory.
func (z *zoneLayout) groupByCell(shards []string) [][]string {
	cellOf, sizes := make([]int, len(shards)), make([]int, len(z.cells))
	for position, shard := range shards {
		cellOf[position] = z.cellIndex(shard)
		sizes[cellOf[position]]++
	}
	byCell, memory := make([][]string, len(z.cells)), make([]string, len(shards))
	for cell, size := range sizes {
		byCell[cell], memory = memory[:0:size], memory[size:]
	}
	for position, shard := range shards {
		byCell[cellOf[position]] = append(byCell[cellOf[position]], shard)
	}
	return byCell
}

func containsRouter(members []Router, wanted Router) bool {
	return slices.ContainsFunc(members, func(member Router) bool { return member.Name == wanted.Name })
}

// mergeLocal joins the slices that stay with the local router.
func mergeLocal(assigned []Slice) []Slice {
	var local []string
	var others []Slice
	for _, slice := range assigned {
		if slice.Router.Name == "" {
			local = append(local, slice.Shards...)
			continue
		}
		others = append(others, slice)
	}
	if len(local) == 0 {
		return others
	}
	return append([]Slice{{Shards: local}}, others...)
}
