package query

import (
	"github.com/cespare/xxhash/v2"

	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/plan"
)

// ShardOfKey returns the index of the shard that a key belongs to in a
// generation of a number of shards.
func ShardOfKey(key string, shards int) int {
	return int(xxhash.Sum64String(key) % uint64(shards))
}

// pin is the snapshot that a request is answered from.
type pin struct {
	partition *partition
	version   uint64
}

// enoughCapacity is the share of every shard's slots from which a version is as
// good as one that all slots can serve. The newest version of equally good ones
// is pinned; without the bound, the first replica to get a version would get
// the whole load of its shard at once.
const enoughCapacity = 0.5

// betterPin reports whether a candidate that is older than the best so far is
// to be preferred: for more shards, or else for the capacity that the newer
// one lacks.
func betterPin(coverage, capacity, bestCoverage, bestCapacity float64) bool {
	if coverage != bestCoverage {
		return coverage > bestCoverage
	}
	return min(capacity, enoughCapacity) > min(bestCapacity, enoughCapacity)
}

// pinSnapshot picks the shard map and index version for a request: of those
// that enough shards can serve, the one that most shards can serve, of equals
// one that enough slots can serve, and of these the newest. Taking the newest
// as soon as enough shards have it would lose the parts of all others during
// every roll-out of an index.
func (e *Engine) pinSnapshot(route *routeView, key string) (pin, bool) {
	best, bestCoverage, bestCapacity := pin{}, 0.0, 0.0
	for index := len(route.service.partitions) - 1; index >= 0; index-- {
		partition := route.service.partitions[index]
		for _, candidate := range partition.Candidates() {
			coverage := partition.coverage(candidate)
			if coverage < route.Policy.SnapshotCoverage || !partition.targetServes(route, key, candidate.Version) ||
				!betterPin(coverage, candidate.Capacity, bestCoverage, bestCapacity) {
				continue
			}
			best = pin{partition: partition, version: candidate.Version}
			bestCoverage, bestCapacity = coverage, candidate.Capacity
		}
	}
	if best.partition == nil && route.Target == plan.TargetKey {
		return pinForKey(route, key)
	}
	return best, best.partition != nil
}

// pinForKey serves a request for one shard while other shards of the service
// are lost: it needs no other shard to be answered in full.
func pinForKey(route *routeView, key string) (pin, bool) {
	for index := len(route.service.partitions) - 1; index >= 0; index-- {
		partition := route.service.partitions[index]
		for _, candidate := range partition.Candidates() {
			if partition.targetServes(route, key, candidate.Version) {
				return pin{partition: partition, version: candidate.Version}, true
			}
		}
	}
	return pin{}, false
}

func (p *partition) coverage(candidate balancer.Candidate) float64 {
	return float64(candidate.Shards) / float64(len(p.Groups))
}

// coverageOf is the share of shards that can serve a version now.
func (p *partition) coverageOf(version uint64) float64 {
	for _, candidate := range p.Candidates() {
		if candidate.Version == version {
			return p.coverage(candidate)
		}
	}
	return 0
}

// targetServes reports whether the one shard of a request by key can serve the
// version; requests to all shards need no particular one.
func (p *partition) targetServes(route *routeView, key string, version uint64) bool {
	return route.Target != plan.TargetKey || p.Groups[ShardOfKey(key, len(p.Groups))].CanServe(version)
}

// superseded reports whether a newer version than the request's could be
// pinned now.
func (r *request) superseded() bool {
	for _, partition := range r.route.service.partitions {
		for _, candidate := range partition.Candidates() {
			if candidate.Version <= r.version {
				break
			}
			if partition.coverage(candidate) >= r.route.Policy.SnapshotCoverage {
				return true
			}
		}
	}
	return false
}
