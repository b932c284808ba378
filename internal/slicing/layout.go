// Package slicing divides the shards of one request among routers, so that server traffic
// stays within a zone, only merged results cross zones, and few routers hold connections to
// each server. It also decides when an answer assembled from slices is returned. It does no
// I/O and reads no clock.
package slicing

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Router is a router that can gather a slice.
type Router struct {
	Name string
	Zone string
	// Address is where other routers connect to it.
	Address string
	// Identifies says that the router includes its name in its replies.
	Identifies bool
	// Unavailable says that no slices are sent to it now: it is stopping, silent or failed. It
	// keeps its position in its cell, so that other routers keep theirs.
	Unavailable bool
}

// Slice is the part of a request's shards that one router gathers.
type Slice struct {
	// Router gathers the slice; an empty name means the local router.
	Router Router
	Shards []string
}

// Sizes of cells. The routers of a zone form cells; each cell gathers some of the shards that
// have servers in the zone.
const (
	// targetShardsPerCell is how many shards with servers in a zone one cell gathers, if there
	// are enough routers. Each router has connections to the shards of its cell only.
	targetShardsPerCell = 14
	// minGatherers is how many routers of a cell gather regardless of load, so that losing one
	// affects only a part of the calls.
	minGatherers = 2
	// backupGatherers is how many routers after the gatherers also have a share of the
	// servers' capacity, for when they replace one.
	backupGatherers = 1
	// callsPerSecondPerGatherer is the call rate to servers that one gatherer is sized for. At
	// 180 microseconds per call (docs/results/0013) it uses a tenth of the smallest router
	// measured, of 0.19 cores. Fewer gatherers keep their connections warm and detect changes
	// of a server sooner; a slice is late where its router is busy.
	callsPerSecondPerGatherer = 110.0
	// stickyBelowSlicesPerPair is the rate of slices a second between a pair of routers, with
	// requests spread over all gatherers, below which each router sends to few gatherers. At
	// lower rates most slices would need a new connection, opened at both ends by routers with
	// little processor time. Small fleets are above 1, fleets of 60 and 300 routers below 0.2.
	stickyBelowSlicesPerPair = 0.5
)

// Layout is where the shards of a route can be gathered. Except for the local router, it is
// the same at all routers that know the same routers, servers and call rate. It is immutable.
type Layout struct {
	self   Router
	shards []string
	// sticky says that slices are assigned by the sending router and not by the request, and
	// stickySlices returns those of all shards then.
	sticky       bool
	stickySlices func() []Slice
	// zones are those with routers, by name.
	zones map[string]*zoneLayout
	// shardZones are the zones of each shard that have servers and routers; reachableZones are
	// those of them that have an available router.
	shardZones     map[string][]string
	reachableZones map[string][]string
}

// zoneLayout is how the routers of a zone divide the shards that have servers in it.
type zoneLayout struct {
	routers []Router
	// available are the routers that slices can be sent to now.
	available []Router
	// shards are the shards with servers in the zone.
	shards []string
	cells  []cell
}

// cell is a group of routers of a zone, in the order in which they gather.
type cell struct {
	members []Router
	// gatherers is how many of the members gather when all are available.
	gatherers int
	// active are the current gatherers: the first members that are available.
	active []Router
}

// Inputs is the input of a layout besides the shards.
type Inputs struct {
	// Zones returns the zones in which a shard has servers.
	Zones func(shard string) []string
	// Routers may include the local router or not.
	Routers []Router
	// Calls is how many calls a second all routers together make to servers of shards.
	Calls float64
}

// NewLayout returns the layout of shards from the point of view of self.
func NewLayout(self Router, shards []string, site Inputs) *Layout {
	self.Unavailable = false
	layout := &Layout{
		self: self, shards: shards, zones: groupByZone(self, site.Routers),
		shardZones: make(map[string][]string, len(shards)), reachableZones: make(map[string][]string, len(shards)),
	}
	shardZonePairs := 0
	for _, shard := range shards {
		for _, zoneName := range site.Zones(shard) {
			zone, ok := layout.zones[zoneName]
			if !ok {
				continue
			}
			shardZonePairs++
			zone.shards = append(zone.shards, shard)
			layout.shardZones[shard] = append(layout.shardZones[shard], zoneName)
			if len(zone.available) > 0 {
				layout.reachableZones[shard] = append(layout.reachableZones[shard], zoneName)
			}
		}
	}
	routers, gatherers := 0, 0
	for _, zone := range layout.zones {
		zone.formCells(site.Calls / float64(max(1, shardZonePairs)))
		routers += len(zone.routers)
		gatherers += lo.SumBy(zone.cells, func(formed cell) int { return formed.gatherers })
	}
	slicesPerPair := site.Calls / targetShardsPerCell / float64(max(1, routers*gatherers))
	layout.sticky = site.Calls > 0 && slicesPerPair < stickyBelowSlicesPerPair
	layout.stickySlices = sync.OnceValue(func() []Slice { return layout.assign(self.Name, shards) })
	return layout
}

func groupByZone(self Router, routers []Router) map[string]*zoneLayout {
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
		zone.available = available(zone.routers)
	}
	return zones
}

// formCells divides the routers into cells, given the calls a second to each shard in this
// zone.
func (z *zoneLayout) formCells(callsPerShard float64) {
	count := min(len(z.routers), (len(z.shards)+targetShardsPerCell-1)/targetShardsPerCell)
	z.cells = make([]cell, count)
	for position, router := range z.routers {
		if count > 0 {
			current := &z.cells[position%count]
			current.members = append(current.members, router)
		}
	}
	shards := make([]int, count)
	for _, shard := range z.shards {
		shards[z.cellIndex(shard)]++
	}
	for index := range z.cells {
		current := &z.cells[index]
		needed := int(math.Ceil(callsPerShard * float64(shards[index]) / callsPerSecondPerGatherer))
		current.gatherers = min(len(current.members), max(minGatherers, needed))
		current.active = lo.Slice(available(current.members), 0, current.gatherers)
		if len(current.active) == 0 {
			current.active = z.available
		}
	}
}

// cellIndex returns the index of the cell that gathers a shard.
func (z *zoneLayout) cellIndex(shard string) int {
	return int(xxhash.Sum64String(shard) % uint64(len(z.cells)))
}

func available(routers []Router) []Router {
	return lo.Filter(routers, func(router Router, _ int) bool { return !router.Unavailable })
}

// Gatherers describes the routers that have a share of the capacity of a shard's servers. It
// is the same from the point of view of every router, except for Self and Rank.
type Gatherers struct {
	Count int
	// Self says that the local router is one of them; Rank is then its position among them,
	// from 0, ordered by zone and name.
	Self bool
	Rank int
}

func (l *Layout) isSelf(router Router) bool { return router.Name == l.self.Name }

// Gatherers returns, for each shard with a known zone, the routers that gather it and their
// backups, including those that are unavailable now.
func (l *Layout) Gatherers() map[string]Gatherers {
	byShard := make(map[string]Gatherers, len(l.shardZones))
	for shard, names := range l.shardZones {
		var gatherers Gatherers
		for _, name := range names {
			zone := l.zones[name]
			current := zone.cells[zone.cellIndex(shard)]
			sharing := lo.Slice(current.members, 0, current.gatherers+backupGatherers)
			if position := slices.IndexFunc(sharing, l.isSelf); position >= 0 {
				gatherers.Self, gatherers.Rank = true, gatherers.Count+position
			}
			gatherers.Count += len(sharing)
		}
		byShard[shard] = gatherers
	}
	return byShard
}
