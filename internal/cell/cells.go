package cell

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/martenstage/martenstage/internal/plan"
)

// Cells holds the cells of all services for one list of live routers. Cells are computed on
// first use and cached, because the list changes less often than the plan. Cells is safe for
// concurrent use.
type Cells struct {
	routers []string

	mutex sync.Mutex
	known map[cellKey][]string
}

// cellKey is what the members of a cell depend on besides the routers.
type cellKey struct {
	service string
	size    int
}

// NewCells returns the cells of a list of live routers, which the caller must not modify any
// more.
func NewCells(routers []string) *Cells {
	return &Cells{routers: routers, known: make(map[cellKey][]string)}
}

// Members returns the routers that may connect to a service's back ends, by descending rank.
// Size 0 means all routers. The caller must not modify the result.
func (c *Cells) Members(service string, size int) []string {
	key := cellKey{service: service, size: size}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	members, known := c.known[key]
	if !known {
		members = Members(service, c.routers, size)
		c.known[key] = members
	}
	return members
}

// LocalPlan returns the part of a plan that a router serves itself: the services whose cells it
// belongs to, with their routes.
func (c *Cells) LocalPlan(fullPlan *plan.Plan, router string) *plan.Plan {
	local := &plan.Plan{}
	served := make(map[string]bool)
	for index := range fullPlan.Services {
		service := &fullPlan.Services[index]
		if c.contains(service, router) {
			local.Services = append(local.Services, *service)
			served[service.Name] = true
		}
	}
	for _, route := range fullPlan.Routes {
		if served[route.Service] {
			local.Routes = append(local.Routes, route)
		}
	}
	return local
}

func (c *Cells) contains(service *plan.Service, router string) bool {
	return slices.Contains(c.Members(service.Name, service.CellRouters), router)
}

// Shares returns a router's share of every back end of the services whose cells it belongs to,
// and no entry for other back ends. Where a back end also serves another service, the routers
// of that service's cell count too.
func (c *Cells) Shares(fullPlan *plan.Plan, router string) map[netip.AddrPort]Share {
	backends := make(map[netip.AddrPort]*backend)
	var otherServices []*plan.Service
	for index := range fullPlan.Services {
		service := &fullPlan.Services[index]
		if !c.contains(service, router) {
			otherServices = append(otherServices, service)
			continue
		}
		members := c.Members(service.Name, service.CellRouters)
		for replica := range replicasOf(service) {
			addReplica(backends, replica, members)
		}
	}
	for _, service := range otherServices {
		members := c.Members(service.Name, service.CellRouters)
		for replica := range replicasOf(service) {
			if _, shared := backends[replica.Address]; shared {
				addReplica(backends, replica, members)
			}
		}
	}
	shares := make(map[netip.AddrPort]Share, len(backends))
	for address, found := range backends {
		shares[address] = found.share(address, router)
	}
	return shares
}

// ranked is a router with its score for a service.
type ranked struct {
	score  uint64
	router string
}

func (r ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(other.score, r.score), strings.Compare(r.router, other.router))
}

// topRanked returns the routers with the highest scores, highest first. Most routers of a
// large fleet rank below the lowest one kept so far and cost one comparison.
func topRanked(key string, routers []string, size int) []ranked {
	top := make([]ranked, 0, size+1)
	digest := xxhash.New()
	for _, router := range routers {
		candidate := ranked{score: scoreWith(digest, key, router), router: router}
		if len(top) == size && top[size-1].compare(candidate) <= 0 {
			continue
		}
		position, _ := slices.BinarySearchFunc(top, candidate, ranked.compare)
		top = slices.Insert(top, position, candidate)
		top = top[:min(len(top), size)]
	}
	return top
}

func scoreWith(digest *xxhash.Digest, key, router string) uint64 {
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(router)
	return digest.Sum64()
}
