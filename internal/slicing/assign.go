// Package slicing divides the shards of one request among routers, so that each
// part travels within its server's zone and only what was merged crosses zones,
// and so that few routers hold connections to each server. It also decides when
// an answer put together from slices is given. It has no I/O and no clock.
package slicing

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Router is a router that can gather a slice.
type Router struct {
	Name string
	Zone string
	// Address is where other routers reach it.
	Address string
	// Absent says that it is not asked now: it stops, is silent or failed. It keeps
	// its place in its cell, so that others keep theirs.
	Absent bool
}

// Slice is the part of a request's shards that one router gathers.
type Slice struct {
	// Router gathers it; an empty name is the router that was asked.
	Router Router
	Shards []string
}

// shardsPerRouter is how many shards with servers in a zone one cell of its
// routers holds: beyond it the routers of a zone share them out, each with
// connections to its own share only.
const shardsPerRouter = 14

// Layout is where the shards of a route can be gathered. But for the router that
// asks, it is the same at all routers that know the same routers and servers. It
// is not changed once made.
type Layout struct {
	self    Router
	shards  []string
	members map[string][]Router
	// zones are those of each shard with servers and routers, places those of them
	// in which a router can be asked now.
	zones  map[string][]string
	places map[string][]string
	// held counts the shards of each zone.
	held map[string]int
}

// NewLayout returns the layout of shards as self sees it. Zones names the zones in
// which each shard has servers; self may be among the routers or not.
func NewLayout(self Router, shards []string, zones func(shard string) []string, routers []Router) *Layout {
	made := &Layout{
		self: self, shards: shards, members: routersByZone(self, routers), held: make(map[string]int),
		zones: make(map[string][]string, len(shards)), places: make(map[string][]string, len(shards)),
	}
	present := make(map[string]bool, len(made.members))
	for zone, members := range made.members {
		present[zone] = slices.ContainsFunc(members, func(member Router) bool { return !member.Absent })
	}
	for _, shard := range shards {
		for _, zone := range zones(shard) {
			if len(made.members[zone]) == 0 {
				continue
			}
			made.zones[shard] = append(made.zones[shard], zone)
			made.held[zone]++
			if present[zone] {
				made.places[shard] = append(made.places[shard], zone)
			}
		}
	}
	return made
}

func routersByZone(self Router, routers []Router) map[string][]Router {
	self.Absent = false
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

// Assign divides the shards into slices. Those of an unknown place, and those for
// whose zones no router can be asked, stay with self. Equal layouts give equal
// slices; the request's id spreads the load over zones and over the routers of a
// cell.
func (l *Layout) Assign(requestID string) []Slice {
	chosen := l.chooseZones(requestID)
	var assigned []Slice
	for _, zone := range slices.Sorted(maps.Keys(chosen)) {
		if zone == "" {
			assigned = append(assigned, Slice{Shards: chosen[zone]})
			continue
		}
		assigned = append(assigned, l.shareOut(zone, chosen[zone], requestID)...)
	}
	return mergeOwn(assigned)
}

// chooseZones gives each shard a zone that has both a server of it and a router:
// the router's own zone, or one of as few others as the shards need.
func (l *Layout) chooseZones(requestID string) map[string][]string {
	chosen := map[string][]string{}
	var rest []string
	for _, shard := range l.shards {
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
		zone := l.pickZone(rest, requestID)
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

// pickZone returns the next zone to ask: over many requests each zone comes as
// often as it has shards, so that the load is even (weighted rendezvous hashing,
// Schindelhauer and Schomaker 2005).
func (l *Layout) pickZone(shards []string, requestID string) string {
	count := map[string]int{}
	for _, shard := range shards {
		for _, zone := range l.places[shard] {
			count[zone]++
		}
	}
	best, least := "", math.Inf(1)
	for _, zone := range slices.Sorted(maps.Keys(count)) {
		uniform := (float64(xxhash.Sum64String(requestID+"/"+zone)>>11) + 1) / (1 << 53)
		if cost := -math.Log(uniform) / float64(count[zone]); cost < least {
			best, least = zone, cost
		}
	}
	return best
}

// cells is how many cells the routers of a zone form.
func (l *Layout) cells(zone string) int {
	return min(len(l.members[zone]), (l.held[zone]+shardsPerRouter-1)/shardsPerRouter)
}

// cell returns the cell of a zone that gathers a shard.
func (l *Layout) cell(zone, shard string) int {
	return int(xxhash.Sum64String(shard) % uint64(l.cells(zone)))
}

// cellMembers returns the routers of a cell.
func (l *Layout) cellMembers(zone string, cell int) []Router {
	cells := l.cells(zone)
	return lo.Filter(l.members[zone], func(_ Router, position int) bool { return position%cells == cell })
}

// shareOut divides the shards of a zone among its routers: each to a router of
// the cell that it belongs to, or of another one if none of it can be asked.
func (l *Layout) shareOut(zone string, shards []string, requestID string) []Slice {
	byCell := make([][]string, l.cells(zone))
	for _, shard := range shards {
		cell := l.cell(zone, shard)
		byCell[cell] = append(byCell[cell], shard)
	}
	var assigned []Slice
	for cell, held := range byCell {
		if len(held) == 0 {
			continue
		}
		members := present(l.cellMembers(zone, cell))
		if len(members) == 0 {
			members = present(l.members[zone])
		}
		if containsRouter(members, l.self) {
			assigned = append(assigned, Slice{Shards: held})
			continue
		}
		pick := xxhash.Sum64String(requestID+"/"+strconv.Itoa(cell)) % uint64(len(members))
		assigned = append(assigned, Slice{Router: members[pick], Shards: held})
	}
	return assigned
}

func present(members []Router) []Router {
	return lo.Filter(members, func(member Router, _ int) bool { return !member.Absent })
}

// Gatherers are the routers that gather a shard, whoever asks.
type Gatherers struct {
	Count int
	// Self says that the own router is one of them.
	Self bool
}

// Gatherers returns those of each shard whose place is known, also those that are
// absent now.
func (l *Layout) Gatherers() map[string]Gatherers {
	counted := make(map[string]Gatherers, len(l.shards))
	own := slices.IndexFunc(l.members[l.self.Zone], func(member Router) bool { return member.Name == l.self.Name })
	for shard, zones := range l.zones {
		var gatherers Gatherers
		for _, zone := range zones {
			cells, cell := l.cells(zone), l.cell(zone, shard)
			gatherers.Count += (len(l.members[zone]) + cells - 1 - cell) / cells
			if zone == l.self.Zone {
				gatherers.Self = own%cells == cell
			}
		}
		counted[shard] = gatherers
	}
	return counted
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
