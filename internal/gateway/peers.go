package gateway

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/evacuation"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/slicing"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// suspectDuration is for how long no slices are sent to a router that failed.
const suspectDuration = 1500 * time.Millisecond

// peers holds what a router knows of the other routers and of the placement of servers. It is
// safe for concurrent use.
type peers struct {
	self slicing.Router

	mutex   sync.Mutex
	routers []slicing.Router
	// calls is the rate of calls to servers of shards, over all routers, per second.
	calls float64
	// absent are the routers that get no slices according to the directory.
	absent        map[string]bool
	suspected     map[string]time.Time
	places        map[string]place
	zones         map[string][]string
	zonesOutdated bool
	// isolated is set while the routers of other zones are unreachable.
	isolated bool
	// evacuated tells which servers get no requests by order of an operator.
	evacuated evacuation.View
	// layouts caches the layout of each list of shards, by the address of the list's first
	// element. A layout is valid until something changes or a suspicion expires.
	layouts      map[*string]*slicing.Layout
	layoutsUntil time.Time
	// changed is set if the routers or placements differ from those last counted.
	changed bool
}

// place is the service and zone of a server that can get requests.
type place struct{ service, zone string }

func newPeers(self slicing.Router) *peers {
	return &peers{
		self: self, suspected: make(map[string]time.Time), places: make(map[string]place),
		layouts: make(map[*string]*slicing.Layout),
	}
}

// setRouters replaces the list of routers.
func (p *peers) setRouters(routers []directory.ListedRouter) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.invalidate()
	p.routers = lo.Map(routers, func(r directory.ListedRouter, _ int) slicing.Router {
		return slicing.Router{Name: r.Name, Zone: r.Zone, Address: r.Address, Identifies: r.Identifies}
	})
}

// setAbsent replaces the routers that get no slices for now. It does not change which router
// gathers which share.
func (p *peers) setAbsent(names []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.absent = lo.SliceToMap(names, func(name string) (string, bool) { return name, true })
	clear(p.layouts)
}

// setCalls updates the rate of calls over all routers.
func (p *peers) setCalls(calls float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.calls != calls {
		p.calls = calls
		p.invalidate()
	}
}

// setEvacuated updates which servers get no requests by order of an operator. It is also
// called with an unchanged view, since services are moved one after the other.
func (p *peers) setEvacuated(view evacuation.View) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.evacuated, p.zonesOutdated = view, true
	p.invalidate()
}

// invalidate discards cached layouts and counts. The caller holds the mutex.
func (p *peers) invalidate() {
	p.changed = true
	clear(p.layouts)
}

// setServers updates changed servers and deletes removed ones.
func (p *peers) setServers(changed []registry.Instance, removed []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, instance := range changed {
		if instance.State == registry.Ready {
			p.places[instance.ID] = place{instance.Service, instance.Zone}
		} else {
			delete(p.places, instance.ID)
		}
	}
	for _, id := range removed {
		delete(p.places, id)
	}
	if len(changed)+len(removed) > 0 {
		p.zonesOutdated = true
		p.invalidate()
	}
}

// suspect excludes a router that failed from gathering slices for a while. It reports whether
// the router was not suspected before.
func (p *peers) suspect(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := steadyclock.Now()
	before := p.suspected[name]
	p.suspected[name] = now.Add(suspectDuration)
	clear(p.layouts)
	return now.After(before)
}

// countGatherers returns, for each shard of the lists, how many routers gather it, and whether
// that may differ from the last count. If there are more routers than are listed, the counts
// are scaled up, so that no router takes the share of one that is not listed yet.
func (p *peers) countGatherers(lists [][]string, routerCount int) (map[string]scatter.Gatherers, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.changed {
		return nil, false
	}
	p.changed = false
	scale := max(1, float64(routerCount)/float64(max(1, len(p.routers))))
	counted := make(map[string]scatter.Gatherers)
	for _, shards := range lists {
		for shard, gatherers := range p.layoutOf(shards).Gatherers() {
			known := counted[shard]
			counted[shard] = scatter.Gatherers{
				Count: max(known.Count, int(math.Ceil(scale*float64(gatherers.Count)))),
				Self:  known.Self || gatherers.Self, Rank: max(known.Rank, gatherers.Rank),
			}
		}
	}
	return counted, true
}

// rank is the position of this router among the listed ones, by name.
func (p *peers) rank() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return lo.CountBy(p.routers, func(router slicing.Router) bool { return router.Name < p.self.Name })
}

// invalidateCount makes the next count start anew after a change of the document or of the
// number of routers.
func (p *peers) invalidateCount() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.invalidate()
}

// layout returns which routers can gather the shards of a route now.
func (p *peers) layout(shards []string) *slicing.Layout {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.layoutOf(shards)
}

// layoutOf is layout for callers that hold the mutex.
func (p *peers) layoutOf(shards []string) *slicing.Layout {
	now := steadyclock.Now()
	if !p.layoutsUntil.IsZero() && now.After(p.layoutsUntil) {
		clear(p.layouts)
	}
	if known, ok := p.layouts[&shards[0]]; ok {
		return known
	}
	p.updateZones()
	routers, until := p.currentRouters(now)
	if len(p.layouts) == 0 {
		p.layoutsUntil = until
	}
	built := slicing.NewLayout(p.self, shards, slicing.Inputs{
		Zones: func(shard string) []string { return p.zones[shard] }, Routers: routers, Calls: p.calls,
	})
	p.layouts[&shards[0]] = built
	return built
}

// currentRouters returns the routers, with suspected ones marked absent, and when the first
// suspicion expires; zero for never.
func (p *peers) currentRouters(now time.Time) ([]slicing.Router, time.Time) {
	var until time.Time
	routers := slices.Clone(p.routers)
	for index, router := range routers {
		routers[index].Unavailable = p.absent[router.Name] || p.isolated && router.Zone != p.self.Zone
		ends, suspected := p.suspected[router.Name]
		if !suspected || now.After(ends) {
			continue
		}
		routers[index].Unavailable = true
		if until.IsZero() || ends.Before(until) {
			until = ends
		}
	}
	return routers, until
}

// updateZones recomputes the zones of services if servers have changed.
func (p *peers) updateZones() {
	if !p.zonesOutdated {
		return
	}
	p.zonesOutdated = false
	p.zones = make(map[string][]string)
	now := steadyclock.Now()
	for _, at := range p.places {
		if p.evacuated.Evacuated(now, at.zone, at.service) {
			continue
		}
		if !slices.Contains(p.zones[at.service], at.zone) {
			p.zones[at.service] = append(p.zones[at.service], at.zone)
		}
	}
	for _, names := range p.zones {
		slices.Sort(names)
	}
}
