package experiment

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/experiment/sockets"
	"github.com/martenstage/martenstage/internal/proof/lag"
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
	// socketProbeEvery is the routers' default.
	socketProbeEvery = 250 * time.Millisecond
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
	result.describe(made, &config)
	runs, err := made.startAll(&config)
	if err != nil {
		return result, err
	}
	failure := runAll(ctx, runs, config.Duration, config.longestLag(made.slowdown))
	result.DisturbedSeconds = lo.Count(runs[0].recorder.disturbed, true)
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
func runAll(ctx context.Context, runs []socketRun, duration, limit time.Duration) error {
	failures := make([]error, len(runs))
	observing, end := context.WithCancel(ctx)
	defer end()
	var meter lag.Meter
	go meter.Run(observing)
	var running sync.WaitGroup
	for index, one := range runs {
		running.Go(func() { failures[index] = one.world.Run(ctx) })
	}
	running.Wait()
	disturbed := disturbedSeconds(&meter, runs[0].recorder.begin, duration, limit)
	for index, one := range runs {
		one.recorder.disturbed = disturbed
		failures[index] = errors.Wrapf(errors.CombineErrors(failures[index], one.world.Close()), "variant %s", one.variant)
	}
	return errors.Join(failures...)
}

const (
	// disturbance is the longest single lag of this process within a second,
	// before any slowdown, from which on that second says more about the
	// machine than about the variants.
	disturbance = 5 * time.Millisecond
	// disturbedBefore is how many seconds before a disturbed one are left out,
	// too: requests of theirs may be under way when it begins.
	disturbedBefore = 1
)

// disturbedSeconds returns which seconds of a run are left out: those with a
// lag above the limit, and some before. The choice is by time alone, the same for all variants, and so favours none.
func disturbedSeconds(meter *lag.Meter, begin time.Time, duration, limit time.Duration) []bool {
	seconds := make([]bool, (duration+time.Second-1)/time.Second)
	for second := range len(seconds) + 1 {
		from := begin.Add(time.Duration(second) * time.Second)
		if meter.Worst(from, from.Add(time.Second)) < limit {
			continue
		}
		for left := max(0, second-disturbedBefore); left <= min(second, len(seconds)-1); left++ {
			seconds[left] = true
		}
	}
	return seconds
}

func (s *setting) socketConfig(variant string, seed uint64, begin time.Time) sockets.Config {
	return sockets.Config{
		Begin: begin, Model: s.model, Script: s.script, Rolls: s.rolls, ZoneDelay: s.zoneDelay, ProbeInterval: socketProbeEvery * s.slowdown,
		Variant: variant, Seed: seed, Rates: s.rates(), Duration: s.duration,
		Resends: s.resends, ResendPause: resendPause, HonorRetryAfter: s.honorRetryAfter,
		Zones: s.routerZones(), Plans: s.plans, Stops: s.routerStops,
	}
}

// socketEngines returns the constructor of a variant's engines.
func (s *setting) socketEngines(variant string, seed uint64) sockets.NewEngine {
	zones := s.routerZones()
	return func(world *sockets.World, index, engine int) router.Engine {
		config := query.Config{Zone: zones[index], Seed: seed + uint64(index*engineSeeds+engine)}
		return s.engine(variant, config, world, index)
	}
}
