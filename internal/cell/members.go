// Package cell assigns services to cells of routers, and divides each back end's connections
// and slots among the live routers of its cells.
//
// A back end accepts some tens of connections while a fleet has thousands of routers, so only
// a cell of routers connects to a service. Cells come from rendezvous hashing (Thaler and
// Ravishankar, "Using name-based mappings to increase hit rates", 1998): every router computes
// the same cells from the same list of live routers, and a router that joins or leaves changes
// only the cells that it belongs to.
//
// Routers receive a new list at different times. A Ledger therefore applies a smaller share at
// once and a larger one only after a hold time, when every other router has either received
// the list or lost its lease.
//
// The package is deterministic: times are arguments, and it does no I/O.
package cell

import (
	"iter"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/martenstage/martenstage/internal/plan"
)

// Members returns the routers that may connect to a service's back ends, by descending rank.
// Size 0 means all routers.
func Members(service string, routers []string, size int) []string {
	if size <= 0 {
		size = len(routers)
	}
	found := topRanked(service, routers, min(size, len(routers)))
	members := make([]string, len(found))
	for index, member := range found {
		members[index] = member.router
	}
	return members
}

// Share is a router's part of the limits of one back end.
type Share struct {
	Connections int
	Slots       int
}

// Shares returns a router's share of every back end of a plan. The routers are the live ones,
// including the router itself; a back end whose cells do not contain the router has a zero
// share.
func Shares(fullPlan *plan.Plan, routers []string, router string) map[netip.AddrPort]Share {
	shares := NewCells(routers).Shares(fullPlan, router)
	for address := range Limits(fullPlan) {
		if _, own := shares[address]; !own {
			shares[address] = Share{}
		}
	}
	return shares
}

// backend is a back end with the union of the cells of its services.
type backend struct {
	connections int
	slots       int
	members     []string
}

// replicasOf iterates over the replicas of all generations of a service.
func replicasOf(service *plan.Service) iter.Seq[plan.Replica] {
	return func(yield func(plan.Replica) bool) {
		for _, generation := range service.Generations {
			for _, shard := range generation.Shards {
				for _, replica := range shard.Replicas {
					if !yield(replica) {
						return
					}
				}
			}
		}
	}
}

func addReplica(backends map[netip.AddrPort]*backend, replica plan.Replica, members []string) {
	found, ok := backends[replica.Address]
	if !ok {
		backends[replica.Address] = &backend{
			connections: replica.Connections, slots: replica.Slots, members: members,
		}
		return
	}
	found.connections = min(found.connections, replica.Connections)
	found.slots = min(found.slots, replica.Slots)
	for _, member := range members {
		if !slices.Contains(found.members, member) {
			found.members = append(slices.Clip(found.members), member)
		}
	}
}

func (b *backend) share(address netip.AddrPort, router string) Share {
	if !slices.Contains(b.members, router) {
		return Share{}
	}
	key, digest := address.String(), xxhash.New()
	own := ranked{score: scoreWith(digest, key, router), router: router}
	rank := 0
	for _, member := range b.members {
		other := ranked{score: scoreWith(digest, key, member), router: member}
		if other.compare(own) < 0 {
			rank++
		}
	}
	// Connections are divided into one part more than there are members. The spare part lets a
	// joining router connect before the others have reduced their shares.
	connections := split(b.connections, len(b.members)+1, rank)
	if connections == 0 {
		return Share{}
	}
	// Without a slot the connections would be of no use. With more members than slots the sum
	// then exceeds the back end's slots; the back end enforces its own limit by queueing or
	// refusing calls before execution.
	return Share{Connections: connections, Slots: max(1, split(b.slots, len(b.members), rank))}
}

// split returns the part of a total for a rank when it is divided into a number of parts; the
// first ranks share the remainder.
func split(total, parts, rank int) int {
	part := total / parts
	if rank < total%parts {
		part++
	}
	return part
}

// Limits returns the limits of every back end of a plan, which are the shares of a router
// without peers.
func Limits(fullPlan *plan.Plan) map[netip.AddrPort]Share {
	backends := make(map[netip.AddrPort]*backend)
	for index := range fullPlan.Services {
		for replica := range replicasOf(&fullPlan.Services[index]) {
			addReplica(backends, replica, nil)
		}
	}
	limits := make(map[netip.AddrPort]Share, len(backends))
	for address, found := range backends {
		limits[address] = Share{Connections: found.connections, Slots: found.slots}
	}
	return limits
}
