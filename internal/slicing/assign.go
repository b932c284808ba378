// Package slicing divides the shards of one request among routers, so that each
// part travels within its server's zone and only what was merged crosses zones,
// and so that few routers hold connections to each server. It also decides when
// an answer put together from slices is given. It has no I/O and no clock.
package slicing

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Router is a router that can gather a slice.
type Router struct {
	Name string
	Zone string
	// Address is where other routers reach it.
	Address string
}

// Slice is the part of a request's shards that one router gathers.
type Slice struct {
	// Router gathers it; an empty name is the router that was asked.
	Router Router
	Shards []string
}

// shardsPerRouter is how many shards of a zone one slice holds at the most:
// beyond it the routers of a zone share them out, each with connections to its
// own share only.
const shardsPerRouter = 14

// Assign divides shards into slices. Zones names the zones in which each shard
// has servers; shards of an unknown place, and those for whose zones no router
// is given, stay with self. Routers are those that may be asked, self excluded
// or not. Equal arguments give equal slices; the request's id spreads the load
// over the routers of a zone.
func Assign(self Router, shards []string, zones func(shard string) []string, routers []Router, requestID string) []Slice {
	byZone := routersByZone(self, routers)
	chosen := chooseZones(self.Zone, shards, zones, byZone)
	var assigned []Slice
	for _, zone := range sortedZones(chosen) {
		if zone == "" {
			assigned = append(assigned, Slice{Shards: chosen[zone]})
			continue
		}
		assigned = append(assigned, shareOut(self, chosen[zone], byZone[zone], requestID)...)
	}
	return mergeOwn(assigned)
}

func routersByZone(self Router, routers []Router) map[string][]Router {
	byZone := map[string][]Router{self.Zone: {self}}
	for _, router := range routers {
		if router.Name != self.Name {
			byZone[router.Zone] = append(byZone[router.Zone], router)
		}
	}
	for _, members := range byZone {
		slices.SortFunc(members, func(a, b Router) int { return cmp.Compare(a.Name, b.Name) })
	}
	return byZone
}

// chooseZones gives each shard a zone that has both a server of it and a router:
// the router's own zone first, else the one with the fewest shards so far.
func chooseZones(own string, shards []string, zones func(string) []string, byZone map[string][]Router) map[string][]string {
	chosen := map[string][]string{}
	for _, shard := range shards {
		best := ""
		for _, zone := range zones(shard) {
			if len(byZone[zone]) == 0 {
				continue
			}
			if zone == own {
				best = zone
				break
			}
			if best == "" || len(chosen[zone]) < len(chosen[best]) {
				best = zone
			}
		}
		chosen[best] = append(chosen[best], shard)
	}
	return chosen
}

func sortedZones(chosen map[string][]string) []string {
	zones := make([]string, 0, len(chosen))
	for zone := range chosen {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

// shareOut divides the shards of a zone among its routers: into so many cells
// that none has more than shardsPerRouter, each with the routers of its rank.
func shareOut(self Router, shards []string, members []Router, requestID string) []Slice {
	cells := min(len(members), (len(shards)+shardsPerRouter-1)/shardsPerRouter)
	byCell := make([][]string, cells)
	for _, shard := range shards {
		cell := xxhash.Sum64String(shard) % uint64(cells)
		byCell[cell] = append(byCell[cell], shard)
	}
	var assigned []Slice
	for cell, held := range byCell {
		if len(held) == 0 {
			continue
		}
		var rank []Router
		own := false
		for position, member := range members {
			if position%cells == cell {
				rank = append(rank, member)
				own = own || member.Name == self.Name
			}
		}
		if own {
			assigned = append(assigned, Slice{Shards: held})
			continue
		}
		pick := xxhash.Sum64String(requestID+"/"+strconv.Itoa(cell)) % uint64(len(rank))
		assigned = append(assigned, Slice{Router: rank[pick], Shards: held})
	}
	return assigned
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
