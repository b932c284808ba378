package cell

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/martenstage/martenstage/internal/plan"
)

// largePlan has the size of the target fleet: 71 services of 270 shards with three replicas
// each, and cells of 64 routers.
func largePlan() *plan.Plan {
	const services, shards, replicas, cellRouters, connections, slots = 71, 270, 3, 64, 70, 5
	fullPlan := &plan.Plan{}
	next := uint32(0x0a000000) // 10.0.0.0
	for service := range services {
		generation := plan.Generation{Number: 1}
		for shard := range shards {
			built := plan.Shard{ID: uint32(shard), Name: fmt.Sprintf("g%03d", shard)}
			for range replicas {
				next++
				address := netip.AddrFrom4([4]byte{byte(next >> 24), byte(next >> 16), byte(next >> 8), byte(next)})
				built.Replicas = append(built.Replicas, plan.Replica{
					Address: netip.AddrPortFrom(address, 7000), Zone: "zone-00", Slots: slots, Connections: connections,
				})
			}
			generation.Shards = append(generation.Shards, built)
		}
		fullPlan.Services = append(fullPlan.Services, plan.Service{
			Name: fmt.Sprintf("service-%02d", service), CellRouters: cellRouters, Generations: []plan.Generation{generation},
		})
	}
	return fullPlan
}

// BenchmarkSharesOfTarget measures the cost of a change of the live routers, and of the plan
// alone, for a router of a fleet of 4,500.
func BenchmarkSharesOfTarget(b *testing.B) {
	fullPlan := largePlan()
	var routers []string
	for index := range 4500 {
		routers = append(routers, fmt.Sprintf("router-%04d", index))
	}
	b.Run("routers", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			NewCells(routers).Shares(fullPlan, routers[7])
		}
	})
	b.Run("plan", func(b *testing.B) {
		cells := NewCells(routers)
		b.ReportAllocs()
		for b.Loop() {
			cells.Shares(fullPlan, routers[7])
		}
	})
}
