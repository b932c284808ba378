package experiment

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/experiment/virtual"
	"github.com/martenstage/martenstage/internal/proof/load"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/proof/virtualtime"
	"github.com/martenstage/martenstage/internal/query"
)

// VariantOracle is the variant that knows service times beforehand.
const VariantOracle = "oracle"

// Variants returns the names of all variants.
func Variants() []string {
	return []string{
		string(query.VariantNaive), string(query.VariantHedgeFixed), string(query.VariantMartenstage), VariantOracle,
	}
}

// Config describes an experiment.
type Config struct {
	Deployment string
	Plan       *plan.Plan
	Scenario   string
	Variants   []string
	Seed       uint64
	Duration   time.Duration
	// Utilization overrides the scenario's if it is not 0.
	Utilization float64
	// Median overrides the median service time and Slots the slots of every
	// server if they are not 0.
	Median time.Duration
	Slots  int
	// Slowdown multiplies service times, delays and the stragglers' period if
	// it is not 0. It goes with a plan of LoadSlowPlan: on a busy machine, the
	// machine's own delays weigh less against slower times.
	Slowdown int
	// KeepBusySeconds keeps requests of seconds in which the machine was busy.
	// It is for runs whose counts and invariants matter, and not their times.
	KeepBusySeconds bool
}

// longestLag is the lag from which on a second is left out of the figures.
func (c *Config) longestLag(slowdown time.Duration) time.Duration {
	if c.KeepBusySeconds {
		return math.MaxInt64
	}
	return disturbance * slowdown
}

func (c *Config) validate() error {
	for _, variant := range c.Variants {
		if !slices.Contains(Variants(), variant) {
			return errors.Newf("unknown variant %q; there are %v", variant, Variants())
		}
	}
	if c.Duration < time.Second {
		return errors.Newf("an experiment takes at least a second, not %v", c.Duration)
	}
	return nil
}

// setting returns what the scenario decides, with the overrides applied.
func (c *Config) setting(compiled *plan.Plan) (*setting, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	if c.Slots > 0 {
		compiled = withReplicas(compiled, func(replica *plan.Replica) { replica.Slots = c.Slots })
	}
	made, err := newSetting(c.Scenario, compiled, c.Seed, c.Duration)
	if err != nil {
		return nil, err
	}
	if c.Utilization > 0 {
		made.utilization = c.Utilization
	}
	if c.Median > 0 {
		made.model.Default.Median = c.Median
	}
	if c.Slowdown > 1 {
		made.slowDown(time.Duration(c.Slowdown))
	}
	return made, nil
}

// Delays of the virtual network.
const (
	localDelay  = 100 * time.Microsecond
	zoneDelay   = time.Millisecond
	probeEvery  = 500 * time.Millisecond
	platformLag = 5 * time.Second
	// virtualRouters is how many routers share the load.
	virtualRouters = 2
	resendPause    = 20 * time.Millisecond
)

// RunVirtual runs the variants on the virtual clock, one world for each.
func RunVirtual(config Config) (Result, error) {
	result := Result{
		Scenario: config.Scenario, Deployment: config.Deployment, Virtual: true, Seed: config.Seed,
		Seconds: config.Duration.Seconds(), Variants: map[string]VariantResult{},
	}
	made, err := config.setting(config.Plan)
	if err != nil {
		return result, err
	}
	result.describe(made, &config)
	// Worlds share nothing, so they may run side by side.
	outcomes := make([]VariantResult, len(config.Variants))
	var running sync.WaitGroup
	for index, variant := range config.Variants {
		running.Go(func() { outcomes[index] = made.runVirtual(variant, config.Seed) })
	}
	running.Wait()
	for index, variant := range config.Variants {
		result.Variants[variant] = outcomes[index]
	}
	return result, nil
}

func (s *setting) runVirtual(variant string, seed uint64) VariantResult {
	recorder := newRecorder(s, virtualtime.Epoch)
	world := virtual.New(s.world(), s.engines(variant, seed), recorder)
	arrivals := load.NewArrivals(seed, s.rates(), s.duration, variant)
	world.Run(arrivals.Next)
	result := recorder.result(s.duration)
	result.Probes = world.Probes()
	return result
}

func (s *setting) world() virtual.Config {
	return virtual.Config{
		Model: s.model, Script: s.script, Rolls: s.rolls, Horizon: s.duration,
		LocalDelay: localDelay, ZoneDelay: s.zoneDelay, ConnectionSetup: emulator.DefaultConnectionSetup,
		QueuePerSlot: emulator.DefaultQueuePerSlot, ColdStart: emulator.DefaultColdStart,
		ColdFactor: emulator.DefaultColdFactor, ProbeEvery: probeEvery, PlatformLag: platformLag,
		Resends: s.resends, ResendPause: resendPause, HonorRetryAfter: s.honorRetryAfter,
		Zones: s.routerZones(), Plans: s.plans, Stops: s.routerStops,
	}
}

// engines returns the constructor of a variant's engines.
func (s *setting) engines(variant string, seed uint64) virtual.NewEngine {
	zones := s.routerZones()
	return func(world *virtual.World, router int) virtual.Engine {
		config := query.Config{Zone: zones[router], Seed: seed + uint64(router)}
		return s.engine(variant, config, virtualFuture{world}, router)
	}
}

// engine makes an engine of a variant.
func (s *setting) engine(variant string, config query.Config, known future, router int) virtual.Engine {
	config.Tuning.Variant = query.Variant(variant)
	config.Tuning.FixedHedgeDelay = fixedHedgeDelay(&s.model, s.zoneDelay)
	if variant != VariantOracle {
		return query.New(config)
	}
	config.Tuning.Variant = query.VariantNaive
	return &oracle{core: query.New(config), future: known, router: router}
}

// fixedHedgeDelay is the best fixed delay for steady load: the 95th percentile
// of an attempt on an idle server of another zone.
func fixedHedgeDelay(model *servicetime.Model, zoneDelay time.Duration) time.Duration {
	const deviationsOfP95 = 1.645
	slow := math.Exp(model.Default.Sigma * deviationsOfP95)
	return time.Duration(float64(model.Default.Median)*slow) + 2*zoneDelay
}
