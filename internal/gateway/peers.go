package gateway

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/slicing"
)

// peerDoubt is how long a router that failed is not asked.
const peerDoubt = 1500 * time.Millisecond

// peers is what a router knows of the others, and of where servers are. It is
// safe for concurrent use.
type peers struct {
	mutex    sync.Mutex
	routers  []slicing.Router
	doubted  map[string]time.Time
	places   map[string]place
	zones    map[string][]string
	outdated bool
	// changed says that routers or places are others than those last counted.
	changed bool
}

// place is the service and zone of a server that may get work.
type place struct{ service, zone string }

func newPeers() *peers {
	return &peers{doubted: make(map[string]time.Time), places: make(map[string]place)}
}

// setRouters replaces the routers that may be asked.
func (p *peers) setRouters(routers []directory.Router) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.changed = true
	p.routers = lo.Map(routers, func(r directory.Router, _ int) slicing.Router {
		return slicing.Router{Name: r.Name, Zone: r.Zone, Address: r.Address}
	})
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
		p.outdated, p.changed = true, true
	}
}

// doubt keeps a router from being asked for a while. It reports whether that is
// news.
func (p *peers) doubt(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	before := p.doubted[name]
	p.doubted[name] = now.Add(peerDoubt)
	return now.After(before)
}

// countGatherers returns, for the shards of routes, how many routers gather each,
// and whether that may differ from the last count. Of all routers, as many are
// taken to gather a shard in proportion as of those that can be asked, so that
// none takes the share of one that is only out of sight.
func (p *peers) countGatherers(self slicing.Router, routes []routing.Route, routerCount int) (map[string]scatter.Gatherers, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.changed {
		return nil, false
	}
	p.changed = false
	p.updateZones()
	scale := max(1, float64(routerCount)/float64(max(1, len(p.routers))))
	counted := make(map[string]scatter.Gatherers)
	for _, route := range routes {
		for shard, gatherers := range slicing.CountGatherers(self, route.Shards, func(shard string) []string { return p.zones[shard] }, p.routers) {
			counted[shard] = scatter.Gatherers{
				Count: max(counted[shard].Count, int(math.Ceil(scale*float64(gatherers.Count)))),
				Self:  counted[shard].Self || gatherers.Self,
			}
		}
	}
	return counted, true
}

// recount makes the next count a new one.
func (p *peers) recount() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.changed = true
}

// view returns the routers that may be asked now and the zones of each service.
// The results are not changed afterwards.
func (p *peers) view() (routers []slicing.Router, zones map[string][]string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.updateZones()
	now := time.Now()
	routers = lo.Filter(p.routers, func(r slicing.Router, _ int) bool { return now.After(p.doubted[r.Name]) })
	return routers, p.zones
}

// updateZones works the zones of services out anew if servers have changed.
func (p *peers) updateZones() {
	if !p.outdated {
		return
	}
	p.outdated = false
	p.zones = make(map[string][]string)
	for _, at := range p.places {
		if !slices.Contains(p.zones[at.service], at.zone) {
			p.zones[at.service] = append(p.zones[at.service], at.zone)
		}
	}
	for _, names := range p.zones {
		slices.Sort(names)
	}
}
