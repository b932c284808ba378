package scale

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/wait"
)

// changesPerDay is the target's rate of configuration changes.
const changesPerDay = 37000

const (
	joinTimeout   = 100 * time.Second
	joinPoll      = 500 * time.Millisecond
	settleTimeout = 30 * time.Second
	author        = "scale"
)

// RunConfig describes a run.
type RunConfig struct {
	// Regions have a control group each, which owns the region's services; 1
	// at least.
	Regions int
	Servers int
	Zones   int
	// Speeds are the factors over the stated rates, one phase for each.
	Speeds []int64
	// Duration of each phase.
	Duration time.Duration
	// CellRouters is how many routers connect to the servers of a service.
	CellRouters int
	// PlatformListen is where the platform's list of each region is served, one
	// address for each; empty for none.
	PlatformListen []string
	// Faults are phases after those of Speeds.
	Faults []Fault
	// Settle is the pause before the first phase.
	Settle time.Duration
}

// Connect returns a new client of the voters at some addresses.
type Connect func(voters []string) *control.Client

// Run drives changes into running processes and measures them.
type Run struct {
	config    RunConfig
	processes []Process
	groups    []*group
	logger    logrus.FieldLogger
	sampler   *sampler
	dead      *deaths
	started   time.Time
}

// NewRun returns a run over processes that are up.
func NewRun(config RunConfig, processes []Process, connect Connect, logger logrus.FieldLogger) *Run {
	config.Regions = max(config.Regions, 1)
	run := &Run{
		config: config, processes: processes, logger: logger, sampler: newSampler(), dead: newDeaths(),
	}
	run.groups = lo.Times(config.Regions, func(region int) *group { return newGroup(run, region, connect) })
	return run
}

// Do runs all phases. With an error it returns the phases that ended before.
func (r *Run) Do(ctx context.Context) (Result, error) {
	r.started = time.Now()
	for _, group := range r.groups {
		if err := group.open(); err != nil {
			return Result{}, err
		}
		defer group.close()
	}
	result := Result{
		Regions: r.config.Regions, Routers: followersOf(r.processes), Servers: r.config.Servers,
		Relays: len(withRole(r.processes, RoleRelay)), Voters: len(withRole(r.processes, RoleControl)),
		StartedAt: r.started.UTC(), LoadBefore: machineLoad(),
		TextBytes: lo.MaxBy(r.groups, func(a, b *group) bool { return a.textBytes() > b.textBytes() }).textBytes(),
	}
	if err := r.eachGroup(func(group *group) error { return group.join(ctx) }); err != nil {
		return result, err
	}
	result.JoinSeconds = time.Since(r.started).Seconds()
	taken, _, err := r.samples(ctx)
	if err != nil {
		return result, err
	}
	result.Join = joined(r.processes, taken)
	r.logger.WithFields(logrus.Fields{"followers": result.Routers, "seconds": result.JoinSeconds}).Info("all followers hold a lease")
	wait.For(ctx, r.config.Settle)
	if err := r.phases(ctx, &result); err != nil {
		return result, err
	}
	if len(result.Phases) > 0 {
		result.Phase = result.Phases[0]
	}
	result.LoadAfter = machineLoad()
	return result, nil
}

// eachGroup does something for all groups at once, and returns their errors.
func (r *Run) eachGroup(do func(*group) error) error {
	failures := make([]error, len(r.groups))
	var all sync.WaitGroup
	for index, group := range r.groups {
		all.Go(func() { failures[index] = errors.Wrapf(do(group), "region %d", group.region) })
	}
	all.Wait()
	return lo.Reduce(failures, func(joined, failure error, _ int) error {
		return errors.CombineErrors(joined, failure)
	}, nil)
}

// phases runs those of all speeds, then those of all faults.
func (r *Run) phases(ctx context.Context, result *Result) error {
	var planned []Phase
	for _, speed := range r.config.Speeds {
		planned = append(planned, Phase{Speed: speed})
	}
	for _, fault := range r.config.Faults {
		planned = append(planned, Phase{Speed: 1, Fault: fault})
	}
	for index, phase := range planned {
		if err := r.phase(ctx, &phase, r.struckRegion(index-len(r.config.Speeds))); err != nil {
			return errors.Wrapf(err, "phase of speed %d %s", phase.Speed, phase.Fault)
		}
		result.Phases = append(result.Phases, phase)
		r.logger.WithFields(logrus.Fields{"speed": phase.Speed, "fault": phase.Fault, "accepted": phase.Accepted}).Info("phase ended")
	}
	return nil
}

// struckRegion is the region of a fault by its place among the faults. Each
// strikes another region while there are enough, so that a voter that one has
// killed doesn't count for the next. The last regions come first, since the
// real routers are of the first.
func (r *Run) struckRegion(fault int) int {
	regions := len(r.groups)
	return regions - 1 - max(fault, 0)%regions
}

func machineLoad() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	return loadAverage(string(text))
}

// phase runs changes and restarts at one speed, with a fault in a region if it
// has one.
func (r *Run) phase(ctx context.Context, phase *Phase, struck int) error {
	phase.OfferedPerSecond = changesPerDay * float64(phase.Speed) / day.Seconds()
	if err := r.setChurn(ctx, phase.Speed); err != nil {
		return err
	}
	before, begin, err := r.samples(ctx)
	if err != nil {
		return err
	}
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watch sync.WaitGroup
	for _, group := range r.groups {
		group.watcher = newWatcher(group)
		watch.Go(func() { group.watcher.run(watching) })
	}
	if err := r.drive(ctx, phase, struck); err != nil {
		return err
	}
	after, end, err := r.samples(ctx)
	if err != nil {
		return err
	}
	if err := r.setChurn(ctx, 0); err != nil {
		return err
	}
	_ = r.eachGroup(func(group *group) error { group.settle(ctx); return nil })
	stopWatching()
	watch.Wait()
	phase.Seconds = end.Sub(begin).Seconds()
	return r.conclude(ctx, phase, measured{before: before, after: after, begin: begin, struck: struck})
}

// drive submits changes to all groups for the length of a phase, while servers
// restart and the phase's fault strikes.
func (r *Run) drive(ctx context.Context, phase *Phase, struck int) error {
	length := r.config.Duration
	if phase.Fault != "" {
		length = phase.Fault.duration()
	}
	bounded, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var beside sync.WaitGroup
	for _, group := range r.groups {
		beside.Go(func() { group.restartMachines(bounded, phase.Speed) })
	}
	var faultError error
	if phase.Fault != "" {
		beside.Go(func() {
			var recovery Recovery
			recovery, faultError = r.strike(bounded, phase.Fault, struck)
			phase.Recovery = &recovery
		})
	}
	perGroup := phase.OfferedPerSecond / float64(len(r.groups))
	err := r.eachGroup(func(group *group) error { return group.submit(ctx, length, perGroup) })
	beside.Wait()
	return errors.CombineErrors(err, faultError)
}

func (r *Run) setChurn(ctx context.Context, factor int64) error {
	for _, process := range withRole(r.processes, RoleHollow) {
		var state State
		if err := r.sampler.post(ctx, "http://"+process.Metrics+pathChurn, churnRequest{Factor: factor}, &state); err != nil {
			return errors.Wrapf(err, "restarts of %s", process.Name)
		}
	}
	return nil
}

// samples takes a sample of every process.
func (r *Run) samples(ctx context.Context) ([]sample, time.Time, error) {
	taken := make([]sample, len(r.processes))
	now := time.Now()
	for index, process := range r.processes {
		if r.dead.has(process) {
			continue
		}
		one, err := r.sampler.take(ctx, process)
		if err != nil {
			return nil, now, err
		}
		taken[index] = one
	}
	return taken, now, nil
}
