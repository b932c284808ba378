package experiment

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
	"github.com/martenstage/martenstage/internal/proof/load"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
)

// DeploymentWide is a made-up deployment with one service of many shards.
const DeploymentWide = "wide"

// Size of the wide deployment.
const (
	wideShards   = 270
	wideReplicas = 3
	wideSlots    = 2
	wideZones    = 3
)

const widePolicy = `
policy search {
	deadline 100ms
	priority interactive
	repeatable
	snapshot coverage 100%%
	hedge at p95 between 3ms and 30ms at most 1
	retry at most 1
	merge top 10 by rank descending
	answer when coverage >= 100%%
	answer when coverage >= 95%% and elapsed >= 60ms
	at 90ms answer
}
policy sweep {
	deadline 2s
	priority normal
	repeatable
	snapshot coverage 100%%
	hedge at p95 between 10ms and 250ms at most 1
	retry at most 2 backoff 20ms
	merge concat
	answer when coverage >= 100%%
	answer when coverage >= 90%% and elapsed >= 1800ms
	at 1900ms fail
}
route search { service index policy search target all }
route sweep { service index policy sweep target all }
service index {
	slots %d
	connections 100
	hedge budget 10%% burst 540
	retry budget 10%% burst 540
	cold start 5s
	generation 1 {
%s	}
}
`

// LoadPlan returns the configuration of a deployment: that of a policy file if
// one is named, else deploy/NAME/NAME.policy, or the wide one.
func LoadPlan(deployment, policyFile string) (*plan.Plan, error) {
	return LoadSlowPlan(deployment, policyFile, 1)
}

// LoadSlowPlan is LoadPlan with every time of the configuration multiplied.
func LoadSlowPlan(deployment, policyFile string, factor int) (*plan.Plan, error) {
	if deployment == DeploymentWide && policyFile == "" {
		return policy.Compile(DeploymentWide, slowed([]byte(wideText()), factor))
	}
	if policyFile == "" {
		policyFile = fmt.Sprintf("deploy/%[1]s/%[1]s.policy", deployment)
	}
	text, err := os.ReadFile(policyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "deployment %s", deployment)
	}
	return policy.Compile(policyFile, slowed(text, factor))
}

var durationPattern = regexp.MustCompile(`\b([0-9]+)(ms|s)\b`)

// slowed multiplies the durations in the text of a configuration.
func slowed(text []byte, factor int) []byte {
	return durationPattern.ReplaceAllFunc(text, func(duration []byte) []byte {
		parts := durationPattern.FindSubmatch(duration)
		number, err := strconv.Atoi(string(parts[1]))
		if err != nil {
			return duration // too great for a number; the compiler says so
		}
		return append(strconv.AppendInt(nil, int64(number*factor), 10), parts[2]...)
	})
}

func wideText() string {
	groups := ""
	for shard := range wideShards {
		groups += fmt.Sprintf("\t\tgroup g%03d {\n", shard)
		for replica := range wideReplicas {
			number := shard*wideReplicas + replica
			groups += fmt.Sprintf("\t\t\treplica 127.2.%d.%d:7000 zone zone-%d\n",
				number/250, number%250+1, (shard+replica)%wideZones)
		}
		groups += "\t\t}\n"
	}
	return fmt.Sprintf(widePolicy, wideSlots, groups)
}

// routerZones returns the zone of each router; routers take the zones of the
// replicas in turn.
func (s *setting) routerZones() []string {
	zones := zonesOf(s.plan)
	return lo.Times(virtualRouters, func(index int) string { return zones[index%len(zones)] })
}

// zonesOf returns the zones of the replicas, sorted.
func zonesOf(compiled *plan.Plan) []string {
	zones := lo.Uniq(lo.Map(replicasOf(compiled), func(replica plan.Replica, _ int) string { return replica.Zone }))
	slices.Sort(zones)
	return zones
}

func replicasOf(compiled *plan.Plan) []plan.Replica {
	return lo.FlatMap(shardsOf(compiled), func(shard plan.Shard, _ int) []plan.Replica { return shard.Replicas })
}

func shardsOf(compiled *plan.Plan) []plan.Shard {
	return lo.FlatMap(compiled.Services, func(service plan.Service, _ int) []plan.Shard {
		return service.Generations[len(service.Generations)-1].Shards
	})
}

// ratesAt returns rates that keep every service's busiest shard at a
// utilization: the share of its slots that first attempts occupy. The routes
// of a service share its load.
func ratesAt(utilization float64, compiled *plan.Plan, model *servicetime.Model) []load.RouteRate {
	return lo.Map(compiled.Routes, func(route plan.Route, _ int) load.RouteRate {
		sharing := lo.CountBy(compiled.Routes, func(other plan.Route) bool { return other.Service == route.Service })
		service, _ := compiled.ServiceNamed(route.Service)
		capacity := capacityOf(service, route.Target, model)
		return load.RouteRate{Route: route.Name, PerSecond: utilization * capacity / float64(sharing)}
	})
}

// capacityOf is the rate of queries that would fill all slots of the smallest
// shard.
func capacityOf(service *plan.Service, target plan.Target, model *servicetime.Model) float64 {
	shards := service.Generations[len(service.Generations)-1].Shards
	slots := lo.Min(lo.Map(shards, func(shard plan.Shard, _ int) int {
		return lo.SumBy(shard.Replicas, func(replica plan.Replica) int { return replica.Slots })
	}))
	perShard := float64(slots) / meanServiceTime(service.Name, model).Seconds()
	if target == plan.TargetKey {
		return perShard * float64(len(shards))
	}
	return perShard
}

// meanServiceTime is the mean of the lognormal distribution of a service.
func meanServiceTime(service string, model *servicetime.Model) time.Duration {
	distribution := distributionOf(service, model)
	return time.Duration(float64(distribution.Median) * math.Exp(distribution.Sigma*distribution.Sigma/2))
}

func distributionOf(service string, model *servicetime.Model) servicetime.Distribution {
	if named, ok := model.Services[service]; ok {
		return named
	}
	return model.Default
}

// repartitioned returns the plan with a second generation of every service, in
// which pairs of shards are one, or a single shard is two.
func repartitioned(compiled *plan.Plan) (both, after *plan.Plan) {
	change := func(keepOld bool) *plan.Plan {
		return &plan.Plan{
			Routes: compiled.Routes,
			Services: lo.Map(compiled.Services, func(service plan.Service, _ int) plan.Service {
				old := service.Generations[len(service.Generations)-1]
				next := plan.Generation{Number: old.Number + 1, Shards: regroup(old.Shards)}
				service.Generations = lo.Ternary(keepOld, []plan.Generation{old, next}, []plan.Generation{next})
				return service
			}),
		}
	}
	return change(true), change(false)
}

func regroup(old []plan.Shard) []plan.Shard {
	var replicas [][]plan.Replica
	if len(old) == 1 {
		replicas = lo.Chunk(old[0].Replicas, max(1, (len(old[0].Replicas)+1)/2))
	} else {
		replicas = lo.Map(lo.Chunk(old, 2), func(pair []plan.Shard, _ int) []plan.Replica {
			return lo.FlatMap(pair, func(shard plan.Shard, _ int) []plan.Replica { return shard.Replicas })
		})
	}
	return lo.Map(replicas, func(members []plan.Replica, index int) plan.Shard {
		return plan.Shard{ID: uint32(index), Name: fmt.Sprintf("h%03d", index+1), Replicas: members}
	})
}

// withReplicas returns a copy of a plan with every replica changed.
func withReplicas(compiled *plan.Plan, change func(replica *plan.Replica)) *plan.Plan {
	changed := &plan.Plan{Routes: compiled.Routes, Services: slices.Clone(compiled.Services)}
	for s := range changed.Services {
		generations := slices.Clone(changed.Services[s].Generations)
		for g := range generations {
			shards := slices.Clone(generations[g].Shards)
			for h := range shards {
				shards[h].Replicas = slices.Clone(shards[h].Replicas)
				for r := range shards[h].Replicas {
					change(&shards[h].Replicas[r])
				}
			}
			generations[g].Shards = shards
		}
		changed.Services[s].Generations = generations
	}
	return changed
}

// addressesOf returns the addresses of the nth replica of every shard that has
// one.
func addressesOf(compiled *plan.Plan, nth int) []netip.AddrPort {
	return lo.FilterMap(shardsOf(compiled), func(shard plan.Shard, _ int) (netip.AddrPort, bool) {
		if nth >= len(shard.Replicas) {
			return netip.AddrPort{}, false
		}
		return shard.Replicas[nth].Address, true
	})
}
