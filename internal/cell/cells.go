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

// Cells are the cells of all services for one list of live routers. They are
// worked out when first asked for and remembered, because the list changes
// less often than the plan. Cells are safe for concurrent use.
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

// NewCells returns the cells of a list of live routers, which the caller does
// not change any more.
func NewCells(routers []string) *Cells {
	return &Cells{routers: routers, known: make(map[cellKey][]string)}
}

// Members returns the routers that may connect to a service's back ends, by
// descending rank. Size 0 means all routers. The caller must not change them.
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

// Own returns the part of a plan that a router serves itself: the services
// whose cells it belongs to, with their routes.
func (c *Cells) Own(whole *plan.Plan, router string) *plan.Plan {
	own := &plan.Plan{}
	served := make(map[string]bool)
	for index := range whole.Services {
		service := &whole.Services[index]
		if c.contains(service, router) {
			own.Services = append(own.Services, *service)
			served[service.Name] = true
		}
	}
	for _, route := range whole.Routes {
		if served[route.Service] {
			own.Routes = append(own.Routes, route)
		}
	}
	return own
}

func (c *Cells) contains(service *plan.Service, router string) bool {
	return slices.Contains(c.Members(service.Name, service.CellRouters), router)
}

// Shares returns a router's share of every back end of the services whose
// cells it belongs to. It has no share of any other back end. The routers of
// other services' cells count where a back end serves both.
func (c *Cells) Shares(whole *plan.Plan, router string) map[netip.AddrPort]Share {
	backends := make(map[netip.AddrPort]*backend)
	var foreign []*plan.Service
	for index := range whole.Services {
		service := &whole.Services[index]
		if !c.contains(service, router) {
			foreign = append(foreign, service)
			continue
		}
		members := c.Members(service.Name, service.CellRouters)
		for replica := range replicasOf(service) {
			add(backends, replica, members)
		}
	}
	for _, service := range foreign {
		members := c.Members(service.Name, service.CellRouters)
		for replica := range replicasOf(service) {
			if _, shared := backends[replica.Address]; shared {
				add(backends, replica, members)
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

// best returns the routers of the highest scores, highest first. Most routers
// of a large fleet are below the lowest of the best so far and cost one
// comparison.
func best(key string, routers []string, size int) []ranked {
	found := make([]ranked, 0, size+1)
	digest := xxhash.New()
	for _, router := range routers {
		candidate := ranked{score: scoreWith(digest, key, router), router: router}
		if len(found) == size && found[size-1].compare(candidate) <= 0 {
			continue
		}
		place, _ := slices.BinarySearchFunc(found, candidate, ranked.compare)
		found = slices.Insert(found, place, candidate)
		found = found[:min(len(found), size)]
	}
	return found
}

func scoreWith(digest *xxhash.Digest, key, router string) uint64 {
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(router)
	return digest.Sum64()
}
