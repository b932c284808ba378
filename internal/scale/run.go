package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/control"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// changesPerDay is the target's rate of configuration changes.
const changesPerDay = 37000

const (
	joinTimeout   = 3 * time.Minute
	joinPoll      = 500 * time.Millisecond
	settleTimeout = 30 * time.Second
	// inForcePoll is the grain of the times at which control reports a
	// revision in force.
	inForcePoll = 50 * time.Millisecond
	author      = "scale"
)

// RunConfig describes a run.
type RunConfig struct {
	Servers int
	Zones   int
	// Speeds are the factors over the stated rates, one phase for each.
	Speeds []int64
	// Duration of each phase.
	Duration time.Duration
	// Settle is the pause before the first phase.
	Settle time.Duration
}

// Run drives changes into running processes and measures them.
type Run struct {
	config    RunConfig
	processes []Process
	client    *control.Client
	logger    logrus.FieldLogger
	sampler   *sampler
	text      *Configuration
	revision  uint64
	started   time.Time
}

// NewRun returns a run over processes that are up; the client is of their
// control.
func NewRun(config RunConfig, processes []Process, client *control.Client, logger logrus.FieldLogger) *Run {
	return &Run{
		config: config, processes: processes, client: client, logger: logger,
		sampler: newSampler(), text: NewConfiguration(config.Servers, config.Zones),
	}
}

// Do runs all phases.
func (r *Run) Do(ctx context.Context) (Result, error) {
	r.started = time.Now()
	result := Result{
		Routers: lo.SumBy(r.processes, func(process Process) int { return process.Followers }),
		Servers: r.config.Servers, Relays: len(r.withRole(RoleRelay)), StartedAt: r.started.UTC(),
		TextBytes: len(r.text.Text()), LoadBefore: machineLoad(),
	}
	if err := r.join(ctx, result.Routers); err != nil {
		return result, err
	}
	result.JoinSeconds = time.Since(r.started).Seconds()
	r.logger.WithFields(logrus.Fields{"followers": result.Routers, "seconds": result.JoinSeconds}).Info("all followers hold a lease")
	pause(ctx, r.config.Settle)
	for _, speed := range r.config.Speeds {
		phase, err := r.phase(ctx, speed)
		if err != nil {
			return result, errors.Wrapf(err, "phase of speed %d", speed)
		}
		result.Phases = append(result.Phases, phase)
		r.logger.WithFields(logrus.Fields{"speed": speed, "accepted": phase.Accepted}).Info("phase ended")
	}
	if len(result.Phases) > 0 {
		result.Phase = result.Phases[0]
	}
	result.LoadAfter = machineLoad()
	return result, nil
}

func machineLoad() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	return loadAverage(string(text))
}

func (r *Run) withRole(role Role) []Process {
	return lo.Filter(r.processes, func(process Process, _ int) bool { return process.Role == role })
}

// join submits the first configuration and waits until all followers hold a
// lease under it and control reports it in force.
func (r *Run) join(ctx context.Context, followers int) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if _, _, err := r.apply(ctx); err != nil {
		return err
	}
	var held, running int
	for {
		held, running = 0, 0
		for _, process := range r.withRole(RoleHollow) {
			var state State
			if body, err := r.sampler.get(ctx, "http://"+process.Metrics+pathState); err == nil && json.Unmarshal(body, &state) == nil {
				running += state.Running
				if state.LowestRevision >= r.revision {
					held += state.Holding
				}
			}
		}
		if held >= followers && r.inForce(ctx) >= r.revision {
			return nil
		}
		if !pause(ctx, joinPoll) {
			return errors.Newf("%d of %d followers run, %d hold a lease under revision %d, which is not in force after %s",
				running, followers, held, r.revision, joinTimeout)
		}
	}
}

// inForce returns the highest revision that a voter reports in force.
func (r *Run) inForce(ctx context.Context) uint64 {
	highest := 0.0
	for _, process := range r.withRole(RoleControl) {
		if values, err := r.sampler.metrics(ctx, process); err == nil {
			highest = max(highest, values["martenstage_revision_in_force"])
		}
	}
	return uint64(highest)
}

// apply submits the present text and returns when it was accepted.
func (r *Run) apply(ctx context.Context) (Accepted, time.Duration, error) {
	text := r.text.Text()
	begin := time.Now()
	response, err := r.client.Apply(ctx, &v1.ApplyRequest{
		ChangeId:         fmt.Sprintf("scale-%d-%d", r.started.UnixNano(), r.revision),
		ExpectedRevision: r.revision, Text: text, Author: author,
	})
	if err != nil {
		return Accepted{}, 0, err
	}
	if response.GetResult() != v1.ApplyResult_APPLY_RESULT_ACCEPTED {
		return Accepted{}, 0, errors.Newf("change refused: %s", response.GetDetail())
	}
	r.revision = response.GetRevision()
	now := time.Now()
	return Accepted{Revision: r.revision, At: now}, now.Sub(begin), nil
}

// phase runs changes and restarts at one speed.
func (r *Run) phase(ctx context.Context, speed int64) (Phase, error) {
	phase := Phase{Speed: speed, OfferedPerSecond: changesPerDay * float64(speed) / day.Seconds()}
	if err := r.setChurn(ctx, speed); err != nil {
		return phase, err
	}
	before, begin, err := r.samples(ctx)
	if err != nil {
		return phase, err
	}
	watcher := newWatcher(r)
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watch sync.WaitGroup
	watch.Go(func() { watcher.run(watching) })
	accepted, applied, err := r.submit(ctx, phase.OfferedPerSecond, watcher)
	if err != nil {
		return phase, err
	}
	after, end, err := r.samples(ctx)
	if err != nil {
		return phase, err
	}
	if err := r.setChurn(ctx, 0); err != nil {
		return phase, err
	}
	r.settle(ctx)
	stopWatching()
	watch.Wait()
	phase.Seconds = end.Sub(begin).Seconds()
	phase.setUsages(r.processes, before, after)
	phase.Accepted = len(accepted)
	phase.AcceptedPerSecond = float64(len(accepted)) / phase.Seconds
	phase.ApplyP50, phase.ApplyMax = middleAndMax(applied)
	phase.ReportedP50, phase.ReportedMax, phase.Unreported = watcher.delays(accepted)
	reports, err := r.reports(ctx, ReportRequest{Accepted: accepted, Since: begin})
	phase.setReports(accepted, reports)
	return phase, err
}

// submit sends changes at a rate for the duration of a phase. One that takes
// longer than the pause between two delays the next; the accepted rate shows it.
func (r *Run) submit(ctx context.Context, perSecond float64, watcher *watcher) (accepted []Accepted, applied []float64, err error) {
	begin := time.Now()
	if perSecond == 0 {
		pause(ctx, r.config.Duration)
		return nil, nil, ctx.Err()
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	for next := begin; time.Since(begin) < r.config.Duration; next = next.Add(interval) {
		if !pause(ctx, time.Until(next)) {
			return accepted, applied, ctx.Err()
		}
		r.text.Change()
		one, took, err := r.apply(ctx)
		if err != nil {
			return accepted, applied, err
		}
		accepted = append(accepted, one)
		applied = append(applied, took.Seconds())
		watcher.want(one.Revision)
		if time.Since(next) > interval {
			next = time.Now() // behind: what was missed is not made up for
		}
	}
	return accepted, applied, nil
}

// settle waits until the last revision is reported in force.
func (r *Run) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for r.inForce(ctx) < r.revision && pause(ctx, joinPoll) {
		continue
	}
}

func (r *Run) setChurn(ctx context.Context, factor int64) error {
	for _, process := range r.withRole(RoleHollow) {
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
		one, err := r.sampler.take(ctx, process)
		if err != nil {
			return nil, now, err
		}
		taken[index] = one
	}
	return taken, now, nil
}

func (r *Run) reports(ctx context.Context, request ReportRequest) ([]Report, error) {
	var reports []Report
	for _, process := range r.withRole(RoleHollow) {
		var report Report
		if err := r.sampler.post(ctx, "http://"+process.Metrics+pathReport, request, &report); err != nil {
			return reports, errors.Wrapf(err, "report of %s", process.Name)
		}
		reports = append(reports, report)
	}
	return reports, nil
}
