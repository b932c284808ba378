package query

import (
	"github.com/cespare/xxhash/v2"

	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/plan"
)

// ShardOfKey returns the index of the shard that owns a key in a generation with the
// given number of shards.
func ShardOfKey(key string, shards int) int {
	return int(xxhash.Sum64String(key) % uint64(shards))
}

// pin is the snapshot that a request reads.
type pin struct {
	partition *partition
	version   uint64
}

// enoughCapacity is the share of every shard's slots from which a version counts as
// fully served. The newest of equally good versions is pinned; without the bound, the
// first replica to load a version would receive the complete load of its shard at
// once.
const enoughCapacity = 0.5

// betterPin reports whether an older candidate is preferred to the best so far:
// because it covers more shards, or else because the newer one lacks capacity.
func betterPin(coverage, capacity, bestCoverage, bestCapacity float64) bool {
	if coverage != bestCoverage {
		return coverage > bestCoverage
	}
	return min(capacity, enoughCapacity) > min(bestCapacity, enoughCapacity)
}

// pinSnapshot picks the shard map and index version for a request: among those with
// enough shards, the one served by the most shards, then one with enough slots, then
// the newest. Picking the newest as soon as enough shards have it would lose the
// parts of all others during every index rollout.
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

// pinForKey picks a snapshot for a request by key while other shards of the service
// are unavailable: it needs only its own shard for a complete answer.
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

// targetServes reports whether the target shard of a request by key can serve the
// version; it is always true for requests to all shards.
func (p *partition) targetServes(route *routeView, key string, version uint64) bool {
	return route.Target != plan.TargetKey || p.Groups[ShardOfKey(key, len(p.Groups))].CanServe(version)
}

// superseded reports whether a version newer than the request's could be pinned now.
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
