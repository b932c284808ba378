package sockets

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/experiment/schedule"
	"github.com/martenstage/martenstage/internal/proof/load"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/wait"
)

// World is one run: a fleet, its routers and its callers.
type World struct {
	config    Config
	newEngine NewEngine
	recorder  memoryRecorder
	judging   schedule.Recorder
	fleet     *emulator.Fleet
	claims    *router.LocalClaims
	foresight *foresight
	nodes     []*node
	listeners []net.Listener
	duties    sync.WaitGroup
	failures  chan error
	end       context.CancelFunc
}

// callersProbe is how often callers ask whether a router is ready: several
// times within the notice that a stopping router gives.
const callersProbe = 50 * time.Millisecond

// Start starts back ends and routers; what it started is ended by Close.
func Start(config Config, newEngine NewEngine, recorder schedule.Recorder) (*World, error) {
	world := &World{
		config: config, newEngine: newEngine, judging: recorder,
		claims: router.NewLocalClaims(), failures: make(chan error, len(config.Zones)),
	}
	if err := world.startFleet(); err != nil {
		return nil, err
	}
	world.foresight = newForesight(world.fleet, config.ZoneDelay)
	for index := range config.Zones {
		made, listener, err := newNode(world, index)
		if err != nil {
			world.fleet.Close()
			return nil, err
		}
		world.nodes = append(world.nodes, made)
		world.listeners = append(world.listeners, listener)
	}
	running, end := context.WithCancel(context.Background())
	world.end = end
	for index, made := range world.nodes {
		world.duties.Go(func() { world.failures <- made.run(running, world.listeners[index]) })
	}
	return world, nil
}

// startFleet starts the back ends. Their script counts from their own start.
func (w *World) startFleet() error {
	config := emulator.DefaultConfig(w.config.Seed, lo.Map(w.config.Plans, func(step schedule.PlanStep, _ int) *plan.Plan { return step.Plan })...)
	config.Model = w.config.Model
	config.ZoneDelay = w.config.ZoneDelay
	config.PlannedNames = true
	before := time.Until(w.config.Begin)
	config.Script = slices.Clone(w.config.Script)
	for index := range config.Script {
		config.Script[index].At += before
	}
	config.Rolls = slices.Clone(w.config.Rolls)
	for index := range config.Rolls {
		config.Rolls[index].At += before
	}
	fleet, err := emulator.New(config, emulator.Dependencies{Recorder: &w.recorder})
	if err != nil {
		return err
	}
	if err := fleet.Start(); err != nil {
		return err
	}
	w.fleet = fleet
	w.config.Plans = lo.Map(w.config.Plans, func(step schedule.PlanStep, _ int) schedule.PlanStep {
		return schedule.PlanStep{At: step.At, Plan: fleet.BoundPlan(step.Plan)}
	})
	return nil
}

// Run sends the load from Begin on and returns after the last answer.
func (w *World) Run(ctx context.Context) error {
	routers := lo.Map(w.nodes, func(made *node, _ int) netip.AddrPort { return made.address })
	sender, err := load.New(load.Config{
		Routers: routers, Plan: w.config.Plans[0].Plan, Rates: w.config.Rates, Duration: w.config.Duration,
		Seed: w.config.Seed, Variant: w.config.Variant, Resends: w.config.Resends,
		ResendPause: w.config.ResendPause, HonorRetryAfter: w.config.HonorRetryAfter,
		ProbeInterval: callersProbe,
	}, &w.recorder)
	if err != nil {
		return err
	}
	const readyLimit = time.Minute
	if err := load.AwaitReady(ctx, routers, readyLimit); err != nil {
		return err
	}
	if !wait.Until(ctx, w.config.Begin) {
		return ctx.Err()
	}
	sender.Run(ctx)
	return ctx.Err()
}

// Close stops the routers as planned and then the back ends, and hands the
// records over. It returns the first failure of a router.
func (w *World) Close() error {
	w.end()
	w.duties.Wait()
	close(w.failures)
	w.fleet.Close()
	w.recorder.replay(w.judging)
	var failure error
	for err := range w.failures {
		failure = errors.CombineErrors(failure, err)
	}
	return failure
}
