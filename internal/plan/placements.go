package plan

import "iter"

// Placement is one replica with the shard, generation and service that it
// stands in.
type Placement struct {
	Service    *Service
	Generation *Generation
	Shard      *Shard
	Replica    *Replica
}

// Placements yields every replica of the plan in the plan's order. A server
// that holds several shards, as while a service is repartitioned, comes once
// for each.
func (p *Plan) Placements() iter.Seq[Placement] {
	return func(yield func(Placement) bool) {
		for s := range p.Services {
			if !p.Services[s].placements(yield) {
				return
			}
		}
	}
}

// placements reports whether yield wants more.
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
