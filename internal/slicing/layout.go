// Package slicing divides the shards of one request among routers, so that each
// part travels within its server's zone and only what was merged crosses zones,
// and so that few routers hold connections to each server. It also decides when
// an answer put together from slices is given. It has no I/O and no clock.
package slicing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Router is a router that can gather a slice.
type Router struct {
	Name string
	Zone string
	// Address is where other routers reach it.
	Address string
	// Identifies says that it names itself in what it answers.
	Identifies bool
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

// Sizes of cells. The routers of a zone form cells; a cell gathers some of the shards
// that have servers in the zone.
const (
	// shardsPerCell is how many shards with servers in a zone one cell holds, as far
	// as there are routers: each router has connections to its own share only.
	shardsPerCell = 14
	// leastGathering is how many routers of a cell gather however few calls there
	// are, so that one that is lost takes only a part of them with it.
	leastGathering = 2
	// reserves is how many routers after those have a share of what the servers allow
	// as well, for when they stand in.
	reserves = 1
	// callsPerGatherer is how many calls to servers a second a router of a cell is
	// given: at 180 microseconds for each (docs/results/0013) a tenth of the smallest
	// router measured, of 0.19 cores. Fewer routers keep their connections warm and
	// learn sooner what a server does; a slice is late where its router is busy.
	callsPerGatherer = 110.0
	// stickyBelow is how many slices a second one router asks of another, if requests are
	// spread over all that gather, below which each asks few of them: with fewer, most
	// slices meet a connection that has yet to be opened, at both ends by routers with
	// little processor time. Small fleets lie above 1, those of 60 and 300 below 0.2.
	stickyBelow = 0.5
)

// Layout is where the shards of a route can be gathered. But for the router that
// asks, it is the same at all routers that know the same routers, servers and calls
// a second. It is not changed once made.
type Layout struct {
	self Router
	// sticky says that slices go by the router that asks and not by the request.
	sticky bool
	// zones are those with routers, by name.
	zones map[string]*zoneLayout
	// held are the zones of each shard with servers and routers, places those of them
	// in which a router can be asked now.
	held   map[string][]string
	places map[string][]string
}

// zoneLayout is how the routers of a zone share out the shards that have servers in it.
type zoneLayout struct {
	routers []Router
	// present are those that can be asked now.
	present []Router
	// held are the shards.
	held  []string
	cells []cell
}

// cell is some routers of a zone, in the order in which they gather.
type cell struct {
	members []Router
	// gathering is how many of them gather, while none is absent.
	gathering int
	// asked are those that gather now: the first ones that are not absent.
	asked []Router
}

// Site is what a layout is worked out from beside the shards.
type Site struct {
	// Zones names the zones in which a shard has servers.
	Zones func(shard string) []string
	// Routers may name the router that asks or not.
	Routers []Router
	// Calls is how many calls to servers of shards all routers make a second.
	Calls float64
}

// NewLayout returns the layout of shards as self sees it.
func NewLayout(self Router, shards []string, site Site) *Layout {
	self.Absent = false
	made := &Layout{
		self: self, zones: zonesOf(self, site.Routers),
		held: make(map[string][]string, len(shards)), places: make(map[string][]string, len(shards)),
	}
	places := 0
	for _, shard := range shards {
		for _, name := range site.Zones(shard) {
			zone, ok := made.zones[name]
			if !ok {
				continue
			}
			places++
			zone.held = append(zone.held, shard)
			made.held[shard] = append(made.held[shard], name)
			if len(zone.present) > 0 {
				made.places[shard] = append(made.places[shard], name)
			}
		}
	}
	routers, gatherers := 0, 0
	for _, zone := range made.zones {
		zone.formCells(site.Calls / float64(max(1, places)))
		routers += len(zone.routers)
		gatherers += lo.SumBy(zone.cells, func(formed cell) int { return formed.gathering })
	}
	slicesPerPair := site.Calls / shardsPerCell / float64(max(1, routers*gatherers))
	made.sticky = site.Calls > 0 && slicesPerPair < stickyBelow
	return made
}

func zonesOf(self Router, routers []Router) map[string]*zoneLayout {
	zones := map[string]*zoneLayout{self.Zone: {routers: []Router{self}}}
	for _, router := range routers {
		if router.Name == self.Name {
			continue
		}
		if zones[router.Zone] == nil {
			zones[router.Zone] = &zoneLayout{}
		}
		zones[router.Zone].routers = append(zones[router.Zone].routers, router)
	}
	for _, zone := range zones {
		slices.SortFunc(zone.routers, func(a, b Router) int { return cmp.Compare(a.Name, b.Name) })
		zone.present = present(zone.routers)
	}
	return zones
}

// formCells divides the routers into cells, given how many calls a second come for
// each shard in this zone.
func (z *zoneLayout) formCells(callsPerShard float64) {
	count := min(len(z.routers), (len(z.held)+shardsPerCell-1)/shardsPerCell)
	z.cells = make([]cell, count)
	for position, router := range z.routers {
		if count > 0 {
			in := &z.cells[position%count]
			in.members = append(in.members, router)
		}
	}
	shards := make([]int, count)
	for _, shard := range z.held {
		shards[z.cellOf(shard)]++
	}
	for number := range z.cells {
		formed := &z.cells[number]
		needed := int(math.Ceil(callsPerShard * float64(shards[number]) / callsPerGatherer))
		formed.gathering = min(len(formed.members), max(leastGathering, needed))
		formed.asked = lo.Slice(present(formed.members), 0, formed.gathering)
		if len(formed.asked) == 0 {
			formed.asked = z.present
		}
	}
}

// cellOf returns the number of the cell that gathers a shard.
func (z *zoneLayout) cellOf(shard string) int {
	return int(xxhash.Sum64String(shard) % uint64(len(z.cells)))
}

func present(routers []Router) []Router {
	return lo.Filter(routers, func(router Router, _ int) bool { return !router.Absent })
}

// Gatherers are the routers that have a share of what the servers of a shard allow,
// whoever asks.
type Gatherers struct {
	Count int
	// Self says that the own router is one of them; Rank is its position among them then,
	// from 0, by zone and name.
	Self bool
	Rank int
}

func (l *Layout) isSelf(router Router) bool { return router.Name == l.self.Name }

// Gatherers returns those of each shard whose place is known: the routers that gather
// and the first ones that stand in for them, also those that are absent now.
func (l *Layout) Gatherers() map[string]Gatherers {
	counted := make(map[string]Gatherers, len(l.held))
	for shard, names := range l.held {
		var gatherers Gatherers
		for _, name := range names {
			zone := l.zones[name]
			in := zone.cells[zone.cellOf(shard)]
			sharing := lo.Slice(in.members, 0, in.gathering+reserves)
			if position := slices.IndexFunc(sharing, l.isSelf); position >= 0 {
				gatherers.Self, gatherers.Rank = true, gatherers.Count+position
			}
			gatherers.Count += len(sharing)
		}
		counted[shard] = gatherers
	}
	return counted
}
