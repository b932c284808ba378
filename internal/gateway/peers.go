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

// peerDoubt is how long a router that failed is not asked.
const peerDoubt = 1500 * time.Millisecond

// peers is what a router knows of the others, and of where servers are. It is
// safe for concurrent use.
type peers struct {
	self slicing.Router

	mutex   sync.Mutex
	routers []slicing.Router
	// calls is how many calls to servers of shards all routers make a second.
	calls float64
	// absent are those of them that the directory says are not to be asked.
	absent   map[string]bool
	doubted  map[string]time.Time
	places   map[string]place
	zones    map[string][]string
	outdated bool
	// isolated says that the routers of other zones are out of reach.
	isolated bool
	// evacuated says which servers get nothing by an operator's order.
	evacuated evacuation.View
	// layouts are those of the lists of shards that were asked for, by the list's
	// first element; they hold until something changes or a doubt ends.
	layouts map[*string]*slicing.Layout
	until   time.Time
	// changed says that routers or places are others than those last counted.
	changed bool
}

// place is the service and zone of a server that may get work.
type place struct{ service, zone string }

func newPeers(self slicing.Router) *peers {
	return &peers{
		self: self, doubted: make(map[string]time.Time), places: make(map[string]place),
		layouts: make(map[*string]*slicing.Layout),
	}
}

// setRouters replaces the routers that are known.
func (p *peers) setRouters(routers []directory.ListedRouter) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.change()
	p.routers = lo.Map(routers, func(r directory.ListedRouter, _ int) slicing.Router {
		return slicing.Router{Name: r.Name, Zone: r.Zone, Address: r.Address, Identifies: r.Identifies}
	})
}

// setAbsent replaces which routers are not to be asked now. That moves no share.
func (p *peers) setAbsent(names []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.absent = lo.SliceToMap(names, func(name string) (string, bool) { return name, true })
	clear(p.layouts)
}

// setCalls takes in how many calls all routers make a second.
func (p *peers) setCalls(calls float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.calls != calls {
		p.calls = calls
		p.change()
	}
}

// setEvacuated takes in which servers get nothing by an operator's order; also the same
// again, since their services leave one after the other.
func (p *peers) setEvacuated(view evacuation.View) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.evacuated, p.outdated = view, true
	p.change()
}

// change forgets what was worked out. The caller holds the mutex.
func (p *peers) change() {
	p.changed = true
	clear(p.layouts)
}

// setServers takes in changed servers and those that are gone.
func (p *peers) setServers(changed []registry.Instance, gone []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, instance := range changed {
		if instance.State == registry.Ready {
			p.places[instance.ID] = place{instance.Service, instance.Zone}
		} else {
			delete(p.places, instance.ID)
		}
	}
	for _, id := range gone {
		delete(p.places, id)
	}
	if len(changed)+len(gone) > 0 {
		p.outdated = true
		p.change()
	}
}

// doubt keeps a router from being asked for a while. It reports whether that is
// news.
func (p *peers) doubt(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := steadyclock.Now()
	before := p.doubted[name]
	p.doubted[name] = now.Add(peerDoubt)
	clear(p.layouts)
	return now.After(before)
}

// countGatherers returns, for the shards of lists, how many routers gather each,
// and whether that may differ from the last count. If there are more routers than
// are listed, as many of them are taken to gather a shard in proportion, so that
// none takes the share of one that is only out of sight.
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

// rank is the position of this router among those that are listed, by name.
func (p *peers) rank() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return lo.CountBy(p.routers, func(router slicing.Router) bool { return router.Name < p.self.Name })
}

// recount makes the next count a new one: the document or the number of routers
// is another.
func (p *peers) recount() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.change()
}

// layout returns where the shards of a route can be gathered now.
func (p *peers) layout(shards []string) *slicing.Layout {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.layoutOf(shards)
}

// layoutOf is layout for callers that hold the mutex.
func (p *peers) layoutOf(shards []string) *slicing.Layout {
	now := steadyclock.Now()
	if !p.until.IsZero() && now.After(p.until) {
		clear(p.layouts)
	}
	if known, ok := p.layouts[&shards[0]]; ok {
		return known
	}
	p.updateZones()
	routers, until := p.present(now)
	if len(p.layouts) == 0 {
		p.until = until
	}
	made := slicing.NewLayout(p.self, shards, slicing.Site{
		Zones: func(shard string) []string { return p.zones[shard] }, Routers: routers, Calls: p.calls,
	})
	p.layouts[&shards[0]] = made
	return made
}

// present returns the routers, of which doubted ones are absent, and when the
// first doubt ends; zero for never.
func (p *peers) present(now time.Time) ([]slicing.Router, time.Time) {
	var until time.Time
	routers := slices.Clone(p.routers)
	for index, router := range routers {
		routers[index].Absent = p.absent[router.Name] || p.isolated && router.Zone != p.self.Zone
		ends, doubted := p.doubted[router.Name]
		if !doubted || now.After(ends) {
			continue
		}
		routers[index].Absent = true
		if until.IsZero() || ends.Before(until) {
			until = ends
		}
	}
	return routers, until
}

// updateZones works the zones of services out anew if servers have changed.
func (p *peers) updateZones() {
	if !p.outdated {
		return
	}
	p.outdated = false
	p.zones = make(map[string][]string)
	now := steadyclock.Now()
	for _, at := range p.places {
		if p.evacuated.Empty(now, at.zone, at.service) {
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
