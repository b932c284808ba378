package experiment

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/experiment/sockets"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
)

// Size of runs over sockets. All variants share this machine with their back
// ends and callers, so they run at a lower load than on the virtual clock;
// scenarios of overload get slower back ends with fewer slots instead.
const (
	socketUtilization    = 0.01
	socketOverloadSlots  = 1
	socketOverloadMedian = 20 * time.Millisecond
	// connectionsPerSlot bounds what routers open to a back end, so that both
	// ends of all connections fit into the process's open files.
	connectionsPerSlot = 2
	// warmUp is how long back ends and routers run before the load.
	warmUp = 4 * time.Second
	// engineSeeds keeps the seeds of a router's engines apart.
	engineSeeds = 100
)

// RunSockets runs the variants over real sockets, side by side: the same
// arrivals meet the same service times and faults at the same time, each
// variant with routers and back ends of its own.
func RunSockets(ctx context.Context, config Config) (Result, error) {
	config = config.forSockets()
	result := Result{
		Scenario: config.Scenario, Deployment: config.Deployment, Seed: config.Seed,
		Seconds: config.Duration.Seconds(), Variants: map[string]VariantResult{},
	}
	// Port 0 lets the back ends of every variant take ports of their own under
	// equal names, on which service times depend.
	made, err := config.setting(withReplicas(config.Plan, func(replica *plan.Replica) {
		replica.Address = netip.AddrPortFrom(replica.Address.Addr(), 0)
		replica.Connections = min(replica.Connections, virtualRouters*connectionsPerSlot*replica.Slots)
	}))
	if err != nil {
		return result, err
	}
	runs, err := made.startAll(&config)
	if err != nil {
		return result, err
	}
	failure := runAll(ctx, runs)
	for _, one := range runs {
		result.Variants[one.variant] = one.recorder.result(config.Duration)
	}
	return result, failure
}

// forSockets fills in the size of runs over sockets.
func (c Config) forSockets() Config {
	switch {
	case c.Utilization > 0:
	case c.Scenario == "surge" || c.Scenario == "retry-storm":
		c.Slots = lo.CoalesceOrEmpty(c.Slots, socketOverloadSlots)
		c.Median = lo.CoalesceOrEmpty(c.Median, socketOverloadMedian)
	default:
		c.Utilization = socketUtilization
	}
	return c
}

// socketRun is the run of one variant.
type socketRun struct {
	variant  string
	world    *sockets.World
	recorder *recorder
}

// startAll starts the worlds of all variants, or none.
func (s *setting) startAll(config *Config) ([]socketRun, error) {
	begin := time.Now().Add(warmUp)
	var runs []socketRun
	for _, variant := range config.Variants {
		made := newRecorder(s, begin)
		world, err := sockets.Start(s.socketConfig(variant, config.Seed, begin), s.socketEngines(variant, config.Seed), made)
		if err != nil {
			for _, one := range runs {
				err = errors.CombineErrors(err, one.world.Close())
			}
			return nil, errors.Wrapf(err, "variant %s", variant)
		}
		runs = append(runs, socketRun{variant: variant, world: world, recorder: made})
	}
	return runs, nil
}

// runAll runs and closes all worlds and returns the first failure.
func runAll(ctx context.Context, runs []socketRun) error {
	failures := make([]error, len(runs))
	var running sync.WaitGroup
	for index, one := range runs {
		running.Go(func() {
			err := one.world.Run(ctx)
			failures[index] = errors.Wrapf(errors.CombineErrors(err, one.world.Close()), "variant %s", one.variant)
		})
	}
	running.Wait()
	return errors.Join(failures...)
}

func (s *setting) socketConfig(variant string, seed uint64, begin time.Time) sockets.Config {
	zones := zonesOf(s.plan)
	config := sockets.Config{
		Begin: begin, Model: s.model, Script: s.script, Rolls: s.rolls, ZoneDelay: zoneDelay,
		Variant: variant, Seed: seed, Rates: s.rates(), Duration: s.duration,
		Resends: s.resends, ResendPause: resendPause, HonorRetryAfter: s.honorRetryAfter,
	}
	for index := range virtualRouters {
		config.Zones = append(config.Zones, zones[index%len(zones)])
	}
	for _, step := range s.plans {
		config.Plans = append(config.Plans, sockets.PlanStep{At: step.at, Plan: step.plan})
	}
	for _, stop := range s.routerStops {
		config.Stops = append(config.Stops, sockets.RouterStop{Router: stop.router, At: stop.at, Away: stop.away})
	}
	return config
}

// socketEngines returns the constructor of a variant's engines.
func (s *setting) socketEngines(variant string, seed uint64) sockets.NewEngine {
	zones := zonesOf(s.plan)
	return func(world *sockets.World, index, engine int) router.Engine {
		config := query.Config{Zone: zones[index%len(zones)], Seed: seed + uint64(index*engineSeeds+engine)}
		return s.engine(variant, config, world, index)
	}
}
