package cell

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/martenstage/martenstage/internal/plan"
)

// largePlan has the target's shape: 71 services of 270 shards with three
// replicas each, and cells of 64 routers.
func largePlan() *plan.Plan {
	const services, shards, replicas, cellRouters, connections, slots = 71, 270, 3, 64, 70, 5
	whole := &plan.Plan{}
	next := uint32(0x0a000000) // 10.0.0.0
	for service := range services {
		generation := plan.Generation{Number: 1}
		for shard := range shards {
			made := plan.Shard{ID: uint32(shard), Name: fmt.Sprintf("g%03d", shard)}
			for range replicas {
				next++
				address := netip.AddrFrom4([4]byte{byte(next >> 24), byte(next >> 16), byte(next >> 8), byte(next)})
				made.Replicas = append(made.Replicas, plan.Replica{
					Address: netip.AddrPortFrom(address, 7000), Zone: "zone-00", Slots: slots, Connections: connections,
				})
			}
			generation.Shards = append(generation.Shards, made)
		}
		whole.Services = append(whole.Services, plan.Service{
			Name: fmt.Sprintf("service-%02d", service), CellRouters: cellRouters, Generations: []plan.Generation{generation},
		})
	}
	return whole
}

// BenchmarkSharesOfTarget measures what a change of the live routers, and one
// of the plan alone, costs a router of a fleet of 4,500.
func BenchmarkSharesOfTarget(b *testing.B) {
	whole := largePlan()
	var routers []string
	for index := range 4500 {
		routers = append(routers, fmt.Sprintf("router-%04d", index))
	}
	b.Run("routers", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			NewCells(routers).Shares(whole, routers[7])
		}
	})
	b.Run("plan", func(b *testing.B) {
		cells := NewCells(routers)
		b.ReportAllocs()
		for b.Loop() {
			cells.Shares(whole, routers[7])
		}
	})
}
