package plan

import "iter"

// Placement is one replica with the shard, generation and service that it
// belongs to.
type Placement struct {
	Service    *Service
	Generation *Generation
	Shard      *Shard
	Replica    *Replica
}

// Placements yields every replica of the plan in the plan's order. A server
// that holds several shards, such as during a repartitioning, is yielded once
// per shard.
func (p *Plan) Placements() iter.Seq[Placement] {
	return func(yield func(Placement) bool) {
		for s := range p.Services {
			if !p.Services[s].placements(yield) {
				return
			}
		}
	}
}

// placements yields the replicas of one service. It returns false once yield has
// asked to stop.
func (s *Service) placements(yield func(Placement) bool) bool {
	for g := range s.Generations {
		generation := &s.Generations[g]
		for h := range generation.Shards {
			shard := &generation.Shards[h]
			for r := range shard.Replicas {
				if !yield(Placement{Service: s, Generation: generation, Shard: shard, Replica: &shard.Replicas[r]}) {
					return false
				}
			}
		}
	}
	return true
}
