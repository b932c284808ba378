package admission

import (
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/routing"
)

// RouteInput is what the planner needs to know of a route of the routing document.
type RouteInput struct {
	Name string
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Target is the latency up to which an answer has its full value; 0 for none.
	Target time.Duration
	// Shards are the services that each hold a part of every answer, and LeastShare is the
	// minimum fraction of them that an answer needs.
	Shards     []string
	LeastShare float64
	// Targets are the services between which the requests are split by weight, if the route
	// has no shards.
	Targets []routing.Target
}

// RouteInputs returns the inputs of all routes of a document.
func RouteInputs(document *routing.Document) []RouteInput {
	return lo.Map(document.Routes, func(route routing.Route, _ int) RouteInput {
		return RouteInput{
			Name: route.Name, Priority: route.Priority, Target: route.Target,
			Shards: route.Shards, LeastShare: route.LeastShare, Targets: route.Targets,
		}
	})
}

// TenantRates returns the rates of all tenants of a document by name, in requests per second (0
// for no limit); nil if the document has no tenants.
func TenantRates(document *routing.Document) map[string]float64 {
	if len(document.Tenants) == 0 {
		return nil
	}
	return lo.SliceToMap(document.Tenants, func(tenant routing.Tenant) (string, float64) {
		return tenant.Name, tenant.Rate
	})
}

// part is the fraction of a route's requests that call a service.
type part struct {
	service string
	share   float64
}

func (r *RouteInput) parts() []part {
	if len(r.Shards) > 0 {
		return lo.Map(r.Shards, func(shard string, _ int) part { return part{service: shard, share: 1} })
	}
	weights := lo.SumBy(r.Targets, func(target routing.Target) int { return target.Weight })
	if weights == 0 {
		return nil
	}
	return lo.Map(r.Targets, func(target routing.Target, _ int) part {
		return part{service: target.Service, share: float64(target.Weight) / float64(weights)}
	})
}

// omittable returns how many shards an answer may omit.
func (r *RouteInput) omittable() int {
	// The sum of the shares that an answer needs is not exact: 0.9 of 10 shards are 9, but
	// (1-0.9)*10 is less than 1.
	const rounding = 1e-9
	return max(0, int((1-r.LeastShare)*float64(len(r.Shards))+rounding))
}
